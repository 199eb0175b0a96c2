"""Decides when a node may act on its document after a restart."""

from collections.abc import Iterator

from basilcove.core.ids import Role
from basilcove.distribution.const import CUT_OFF_AFTER_S, HIGHEST_OFFER_WAIT_S, LEADERLESS_AFTER_S
from basilcove.distribution.models import DistributionState, PeerView


def is_ready(state: DistributionState, now: float) -> bool:
    """Tell whether the document is at least as new as any that this node had in effect before its restart.

    The same holds for the evacuated zones, which come with the same offers and the same confirmation.

    A majority of the control group has every accepted revision, but may not
    yet know that it was accepted if the leader died just then. Therefore the
    node also asks the leader. A majority confirms the answer after the node
    started, so the answer is not older than the node's revision before its
    restart. A node that is cut off from a majority relies on the peers of its
    availability zone instead, and waits for the highest offer.
    """
    local = state.own
    if local.revision == 0 or local.revision < max(_highest_offer(state), state.confirmed_revision or 0):
        return False
    if state.evacuations.version < max(_highest_evacuations(state), state.confirmed_evacuations):
        return False
    if not _has_zone_offered(state, now):
        return False
    if state.confirmed_revision is not None and _is_majority_caught_up(state):
        return True
    return _is_cut_off_long_enough(state, now)


def _highest_offer(state: DistributionState) -> int:
    offers = (view.offers.get(state.key) for view in state.peers.values())
    return max((offer.revision for offer in offers if offer is not None), default=0)


def _highest_evacuations(state: DistributionState) -> int:
    return max((view.evacuations_version for view in state.peers.values()), default=0)


def _is_majority_caught_up(state: DistributionState) -> bool:
    # A replica that has only replayed its disk may lag behind, and one without contact to a leader may have
    # been removed; either is counted once it has caught up.
    replicas = int(state.caught_up and state.node in state.control_nodes)
    for view in state.peers.values():
        offer = view.offers.get(state.key)
        is_member = view.peer.node in state.control_nodes and Role.CONTROL in view.peer.roles
        if is_member and offer is not None and offer.caught_up:
            replicas += 1
    return replicas > len(state.control_nodes) // 2


def _has_zone_offered(state: DistributionState, now: float) -> bool:
    for view in _zone_peers(state):
        if state.key not in view.offers and now - view.found_at < HIGHEST_OFFER_WAIT_S:
            return False
    return True


def _is_cut_off_long_enough(state: DistributionState, now: float) -> bool:
    if state.started_at is None:
        return False
    is_leaderless = state.confirmed_revision is None and _is_majority_linked(state)
    after = LEADERLESS_AFTER_S if is_leaderless else CUT_OFF_AFTER_S
    first_link = min((view.found_at for view in _zone_peers(state)), default=state.started_at)
    return now - max(state.started_at + after, first_link) >= HIGHEST_OFFER_WAIT_S


def _is_majority_linked(state: DistributionState) -> bool:
    linked = {view.peer.node for view in state.peers.values() if Role.CONTROL in view.peer.roles}
    if state.is_control:
        linked.add(state.node)
    return len(linked & state.control_nodes) > len(state.control_nodes) // 2


def _zone_peers(state: DistributionState) -> Iterator[PeerView]:
    for view in state.peers.values():
        if view.peer.zone == state.zone:
            yield view
