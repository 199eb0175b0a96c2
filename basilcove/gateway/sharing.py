"""Sends the open attempts of this gateway to control hosts, and receives those of the other gateways."""

from collections.abc import Iterator

from basilcove.core.events import Effect, Message, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import InstanceId, NodeId, Role, Zone
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.messages import LongRequest, OpenAttempts, OtherAttempts
from basilcove.gateway.models import GatewayState


@handles(PeerFound, GatewayState)
def _on_peer_found(state: GatewayState, event: PeerFound, ctx: Context) -> list[Effect]:
    if Role.CONTROL not in event.peer.roles:
        return []
    state.sharing.hosts[event.peer.node] = event.peer.zone
    return list(_update_totals_host(state))


@handles(PeerLost, GatewayState)
def _on_peer_lost(state: GatewayState, event: PeerLost, ctx: Context) -> list[Effect]:
    if state.sharing.hosts.pop(event.peer.node, None) is None:
        return []
    return list(_update_totals_host(state))


@handles_message(OtherAttempts, GatewayState)
def _on_other_attempts(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if isinstance(msg, OtherAttempts) and event.peer.node == state.sharing.host:
        state.pools.other_attempts = msg.counts
        state.pools.memory.others = msg.tokens
    return []


@handles_message(LongRequest, GatewayState)
def _on_long_request(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if isinstance(msg, LongRequest) and event.peer.node == state.sharing.host:
        state.pools.memory.add_long(msg.instance, msg.tokens)
    return []


@handles(Tick, GatewayState)
def _on_tick(state: GatewayState, event: Tick, ctx: Context) -> Iterator[Effect]:
    counts, tokens = _own_counts(state), _own_tokens(state)
    if counts != state.sharing.last_sent or tokens != state.sharing.last_tokens:
        yield from _send_to_all(state, counts, tokens)


def announce_long(state: GatewayState, instance: InstanceId, tokens: int) -> Iterator[Effect]:
    """Tell all linked control hosts of a long request at once; the next counts contain it."""
    yield from send_to_hosts(state, LongRequest(instance, tokens))


def send_to_hosts(state: GatewayState, msg: Message) -> Iterator[Effect]:
    """Send a message to all linked control hosts."""
    for node in state.sharing.hosts:
        yield Send(node, msg)


def choose_totals_host(hosts: dict[NodeId, Zone], zone: Zone) -> NodeId | None:
    """Return the linked control host to ask for totals: one in its own availability zone if possible."""
    ranked = sorted(hosts, key=lambda node: (hosts[node] != zone, node))
    return ranked[0] if ranked else None


def _update_totals_host(state: GatewayState) -> Iterator[Effect]:
    """Select the host that sends totals, and send the counts to all hosts, including a new one."""
    chosen = choose_totals_host(state.sharing.hosts, state.pools.zone)
    if chosen != state.sharing.host:
        state.sharing.host = chosen
        state.pools.other_attempts = None
        state.pools.memory.others = None
    yield from _send_to_all(state, _own_counts(state), _own_tokens(state))


def _send_to_all(state: GatewayState, counts: dict[str, int], tokens: dict[str, int]) -> Iterator[Effect]:
    state.sharing.last_sent, state.sharing.last_tokens = counts, tokens
    for node in state.sharing.hosts:
        yield Send(node, OpenAttempts(counts, node == state.sharing.host, tokens))


def _own_counts(state: GatewayState) -> dict[str, int]:
    upstreams = state.pools.by_instance
    return {name: upstream.open_attempts for name, upstream in upstreams.items() if upstream.open_attempts}


def _own_tokens(state: GatewayState) -> dict[str, int]:
    """Return the tokens held by instance, only for services that state a memory."""
    pools = state.pools
    return {
        name: upstream.held_tokens
        for service in pools.memory.sizes
        for name, upstream in pools.by_service.get(service, {}).items()
        if upstream.held_tokens
    }
