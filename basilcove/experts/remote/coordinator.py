"""Keeps the maps of remote groups while this host leads the control group."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import chain

from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Log, Send, Tick
from basilcove.core.ids import GroupName
from basilcove.core.reducer import Context, handles
from basilcove.environment.events import EnvironmentChanged
from basilcove.experts.remote.calls import enter, is_agreed
from basilcove.experts.remote.const import (
    COUNTS_INTERVAL_S,
    FIRST_COUNTS_INTERVAL_S,
    FIRST_MAP_UTILISATION,
    MIN_GAIN,
    MIN_UTILISATION,
)
from basilcove.experts.remote.events import RankAnswered
from basilcove.experts.remote.models import (
    ExpertLayout,
    GroupChange,
    GroupIdentity,
    Phase,
    RankAddress,
    RemoteGroups,
)
from basilcove.experts.remote.orders import ReadCounts
from basilcove.experts.remote.phases import advance, read_counts, start_change, survey, take_answer
from basilcove.experts.remote.planning import RankBounds, propose
from basilcove.experts.remote.popularity import age, shares_of
from basilcove.gateway.messages import SlowInstances
from basilcove.gateway.totals import AttemptTotals
from basilcove.registry.messages import Registration, RegistrationState
from basilcove.registry.models import RegistryState


@handles(EnvironmentChanged, RemoteGroups)
def _on_environment(state: RemoteGroups, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    state.layouts = {
        name: ExpertLayout(
            service.experts.layers, service.experts.experts, service.experts.slots, service.experts.max_new
        )
        for name, service in event.environment.services.items()
        if service.experts is not None
    }
    return []


@handles(Tick, RemoteGroups)
def _on_tick(state: RemoteGroups, event: Tick, ctx: Context) -> Iterator[Effect]:
    consensus = ctx.node.part(ConsensusState)
    if not consensus.is_leader or consensus.commit < consensus.leading.first_index:
        state.forget()
        return
    if consensus.term == state.fenced_term:
        return
    if consensus.term != state.term:
        state.term = consensus.term
        state.forget()
    _follow_registry(state, ctx.node.part(RegistryState))
    for change in tuple(state.changes.values()):
        yield from advance(change, ctx.now)
        if change.phase is Phase.SURVEYED:
            yield from enter(change, Phase.IDLE, ctx.now)
            yield from _tell_slow(state, change, ctx)
            yield from _plan(change, ctx.now)
        elif change.phase is Phase.IDLE:
            yield from _look_for_better(state, change, ctx)


@handles(RankAnswered, RemoteGroups)
def _on_answered(state: RemoteGroups, event: RankAnswered, ctx: Context) -> Iterator[Effect]:
    change = state.changes.get(event.group)
    if change is None or change.identity.epoch != event.epoch:
        return
    yield from take_answer(change, event, ctx.now)
    if change.is_fenced:
        state.fenced_term = state.term
        state.forget()
        yield Log('warning', 'a newer leader keeps the maps', (('term', str(state.term)),))


def _follow_registry(state: RemoteGroups, registry: RegistryState) -> None:
    """Begin anew with each epoch of a group; a group that isn't whole is left alone."""
    whole = dict(_whole_groups(state, registry))
    for name in state.changes.keys() - whole.keys():
        state.changes.pop(name)
        state.slow.pop(name, None)
    for name, change in whole.items():
        known = state.changes.get(name)
        if known is None or known.identity != change.identity:
            state.changes[name] = change
        else:
            known.layout = change.layout
            known.ranks = change.ranks


def _whole_groups(state: RemoteGroups, registry: RegistryState) -> Iterator[tuple[GroupName, GroupChange]]:
    members: dict[GroupIdentity, list[Registration]] = defaultdict(list)
    for row in registry.rows.values():
        word = row.registration
        is_usable = word.standing is not RegistrationState.GONE and not row.is_silent and word.is_group_open
        if is_usable and word.group and word.service in state.layouts:
            members[GroupIdentity(word.group, word.service, word.epoch)].append(word)
    for identity, words in members.items():
        ranks = {word.rank: RankAddress(word.instance, word.address) for word in words}
        if len(ranks) == len(words) == words[0].group_size:
            layout = state.layouts[identity.service]
            yield identity.name, GroupChange(identity, state.term, ranks, layout)


def _tell_slow(state: RemoteGroups, change: GroupChange, ctx: Context) -> Iterator[Effect]:
    """Tell all gateways of slow ranks after each survey, and once when there are none any more."""
    name = change.identity.name
    former = set(chain.from_iterable(state.slow.values()))
    state.slow[name] = change.slow_instances()
    slow = tuple(sorted(chain.from_iterable(state.slow.values())))
    if not slow and not former:
        return
    for node in sorted(ctx.node.part(RegistryState).gateways):
        yield Send(node, SlowInstances(slow))


def _look_for_better(state: RemoteGroups, change: GroupChange, ctx: Context) -> Iterator[Effect]:
    if change.calls:
        if is_agreed(change) and any(isinstance(call, ReadCounts) for call in change.calls.values()):
            yield from survey(change, ctx.now)
    elif _is_due(change, ctx.now) and (state.slow.get(change.identity.name) or _is_busy(change, ctx)):
        change.counted_at = ctx.now
        age(change)
        yield from read_counts(change, ctx.now)


def _is_due(change: GroupChange, now: float) -> bool:
    interval_s = COUNTS_INTERVAL_S if any(change.popularity) else FIRST_COUNTS_INTERVAL_S
    return now >= max(change.paused_until, change.counted_at + interval_s)


def _plan(change: GroupChange, now: float) -> Iterator[Effect]:
    shares = shares_of(change)
    if shares is None:
        return
    layout = change.layout
    speeds = change.speeds()
    proposal = propose(shares, change.current, RankBounds(layout.slots, layout.max_new), speeds)
    fields = (
        ('group', change.identity.name),
        ('version', str(change.version)),
        ('skew_before', f'{proposal.skew_before:.2f}'),
        ('skew_after', f'{proposal.skew_after:.2f}'),
        ('slowest', f'{min(speeds):.2f}'),
    )
    yield Log('info', 'map of a remote group planned', fields)
    if proposal.skew_before - proposal.skew_after >= MIN_GAIN:
        yield from start_change(change, proposal.layers, now)


def _is_busy(change: GroupChange, ctx: Context) -> bool:
    registry = ctx.node.part(RegistryState)
    open_attempts = ctx.node.part(AttemptTotals).totals()
    slots = 0
    taken = 0
    for place in change.ranks.values():
        row = registry.rows.get(place.instance)
        slots += row.registration.slots if row is not None else 0
        taken += open_attempts.get(place.instance, 0)
    wanted = FIRST_MAP_UTILISATION if change.version == 0 else MIN_UTILISATION
    return taken >= wanted * slots
