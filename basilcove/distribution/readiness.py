"""Decides when a node may act on its document after a restart."""

from collections.abc import Callable, Iterator

from basilcove.core.ids import Role
from basilcove.distribution.const import CUT_OFF_AFTER_S, HIGHEST_OFFER_WAIT_S, LEADERLESS_AFTER_S
from basilcove.distribution.messages import Offer
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

    A document that no host can read is never offered. The node then takes the
    newest one that is, as running nodes have kept that in effect.
    """
    local = state.own
    if local.revision == 0 or local.revision < max(_highest_offer(state), _newest_confirmed(state)):
        return False
    if state.evacuations.version < max(_highest_evacuations(state), state.confirmed_evacuations):
        return False
    if not _has_zone_offered(state, now):
        return False
    if state.confirmed_revision is not None and _is_majority_caught_up(state):
        return True
    return _is_cut_off_long_enough(state, now)


def _highest_offer(state: DistributionState) -> int:
    highest = 0
    for view in state.peers.values():
        offer = view.offers.get(state.key)
        if offer is None or offer.digest in state.unreadable_digests:
            continue
        highest = max(highest, offer.revision)
    return highest


def _newest_confirmed(state: DistributionState) -> int:
    """Return the revision that the leader confirmed; 0 if it isn't known or can't be read."""
    confirmed = state.confirmed_revision or 0
    return 0 if confirmed and _is_unreadable(state, confirmed) else confirmed


def _is_unreadable(state: DistributionState, revision: int) -> bool:
    """Tell whether this node or a majority of the control group can't read a revision."""
    if state.unreadable_revision == revision:
        return True
    return _is_majority(state, lambda offer: offer.unreadable_revision == revision, is_own_counted=False)


def _highest_evacuations(state: DistributionState) -> int:
    return max((view.evacuations_version for view in state.peers.values()), default=0)


def _is_majority_caught_up(state: DistributionState) -> bool:
    # A replica that has only replayed its disk may lag behind, and one without contact to a leader may have
    # been removed; either is counted once it has caught up.
    return _is_majority(state, lambda offer: offer.caught_up, is_own_counted=state.caught_up)


def _is_majority(
    state: DistributionState, is_counted: Callable[[Offer], bool], *, is_own_counted: bool
) -> bool:
    """Tell whether a majority of the control group, by its offers or as this node, is counted."""
    replicas = int(is_own_counted and state.node in state.control_nodes)
    for view in state.peers.values():
        offer = view.offers.get(state.key)
        is_member = view.peer.node in state.control_nodes and Role.CONTROL in view.peer.roles
        if is_member and offer is not None and is_counted(offer):
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
