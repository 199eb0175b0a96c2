"""Divides the limits of upstreams among gateways, on a control host."""

from collections import defaultdict
from collections.abc import Collection, Mapping

from basilcove.core.events import Count, Effect, Log, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import InstanceId, NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.throttling.messages import LimitShare, LimitShares, ShareRequest, StatedLimit
from basilcove.throttling.models import ThrottlingState


@handles(PeerFound, ThrottlingState)
def _on_peer_found(state: ThrottlingState, event: PeerFound, ctx: Context) -> list[Effect]:
    node = event.peer.node
    if Role.GATEWAY not in event.peer.roles:
        return []
    changed = state.add_gateway(node)
    # A gateway that has just been linked knows no limits, also those that it has no share of.
    return _announce(state, {instance: nodes | {node} for instance, nodes in changed.items()})


@handles(PeerLost, ThrottlingState)
def _on_peer_lost(state: ThrottlingState, event: PeerLost, ctx: Context) -> list[Effect]:
    return _announce(state, state.remove_gateway(event.peer.node))


@handles_message(StatedLimit, ThrottlingState)
def _on_stated_limit(state: ThrottlingState, event: Received, ctx: Context) -> list[Effect]:
    stated = event.message
    assert isinstance(stated, StatedLimit)
    if not state.update(stated, ctx.now):
        return []
    return [*_log(state, stated.instance), *_announce(state, {stated.instance: state.gateways})]


@handles_message(ShareRequest, ThrottlingState)
def _on_share_request(state: ThrottlingState, event: Received, ctx: Context) -> list[Effect]:
    request = event.message
    assert isinstance(request, ShareRequest)
    shares = state.lease(event.peer.node, request, ctx.now)
    if not shares:
        return []
    return [Send(event.peer.node, LimitShares(shares, request.asked_at)), Count('shares_leased')]


@handles(Tick, ThrottlingState)
def _on_tick(state: ThrottlingState, event: Tick, ctx: Context) -> list[Effect]:
    effects: list[Effect] = []
    state.book.drop_ended(ctx.now)
    for instance in state.find_expired(ctx.now):
        record = state.records[instance]
        if record.limit_per_s:
            record.limit_per_s = 0
            effects.extend(_log(state, instance))
            effects.extend(_announce(state, {instance: state.gateways}))
        del state.records[instance]
    return effects


def _announce(state: ThrottlingState, changed: Mapping[InstanceId, Collection[NodeId]]) -> list[Effect]:
    """Tell gateways their shares; ``changed`` has those to be told by upstream."""
    entries: dict[NodeId, list[LimitShare]] = defaultdict(list)
    for instance, nodes in changed.items():
        for node in nodes:
            entries[node].append(_share(state, instance, node))
    return [Send(receiver, LimitShares(tuple(shares))) for receiver, shares in sorted(entries.items())]


def _share(state: ThrottlingState, instance: InstanceId, node: NodeId) -> LimitShare:
    record = state.records[instance]
    return LimitShare(instance, record.born_ms, record.limit_per_s, record.share_per_s(node))


def _log(state: ThrottlingState, instance: InstanceId) -> list[Effect]:
    record = state.records[instance]
    fields = (
        ('instance', instance),
        ('limit_per_s', f'{record.limit_per_s:g}'),
        ('senders', ' '.join(sorted(record.senders))),
    )
    return [Log('info', 'limit of an upstream divided', fields), Count('limits_divided')]
