"""Manages the maps of remote groups while this host leads the control group."""

import math
from collections import defaultdict
from collections.abc import Iterator
from itertools import chain

from basilcove.concurrency.models import ConcurrencyState
from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Log, Send, Tick
from basilcove.core.reducer import Context, handles
from basilcove.environment.events import EnvironmentChanged
from basilcove.experts.remote.calls import enter_phase, is_complete
from basilcove.experts.remote.const import (
    COUNTS_INTERVAL_S,
    EARLY_UTILISATION,
    FIRST_COUNTS_INTERVAL_S,
    MIN_SKEW_GAIN,
    MIN_UTILISATION,
    PLANNED_RANKS_PER_TICK,
    URGENT_COUNTS_INTERVAL_S,
)
from basilcove.experts.remote.copies import bound_copies
from basilcove.experts.remote.events import RankAnswered
from basilcove.experts.remote.models import (
    ExpertLayout,
    GroupChange,
    GroupIdentity,
    Phase,
    RankAddress,
    RemoteGroup,
    RemoteGroups,
)
from basilcove.experts.remote.orders import ReadCounts
from basilcove.experts.remote.phases import advance, handle_answer, read_counts, start_change, survey
from basilcove.experts.remote.planning import Draft, RankBounds
from basilcove.experts.remote.popularity import decay, shares_of
from basilcove.gateway.messages import SlowInstances
from basilcove.gateway.totals import AttemptTotals
from basilcove.registry.messages import Registration, RegistrationState
from basilcove.registry.models import RegistryState


@handles(EnvironmentChanged, RemoteGroups)
def _on_environment(state: RemoteGroups, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    state.layouts = {
        name: ExpertLayout(
            service.experts.layers,
            service.experts.experts,
            service.experts.slots,
            service.experts.max_new,
            service.experts.copy_s,
        )
        for name, service in event.environment.services.items()
        if service.experts is not None
    }
    return []


@handles(Tick, RemoteGroups)
def _on_tick(state: RemoteGroups, event: Tick, ctx: Context) -> Iterator[Effect]:
    consensus = ctx.node.part(ConsensusState)
    if not consensus.is_leader or consensus.commit < consensus.leader_state.first_index:
        state.reset()
        return
    if consensus.term == state.fenced_term:
        return
    if consensus.term != state.term:
        state.term = consensus.term
        state.takeovers = 0
        state.reset()
    _sync_with_registry(state, ctx.node.part(RegistryState))
    for change in tuple(state.changes.values()):
        yield from advance(change, ctx.now)
        if change.phase is Phase.PLANNING:
            yield from _plan(change, ctx.now)
        else:
            yield from _prepare_plan(state, change, ctx)


@handles(RankAnswered, RemoteGroups)
def _on_answered(state: RemoteGroups, event: RankAnswered, ctx: Context) -> Iterator[Effect]:
    change = state.changes.get(event.group)
    if change is None or (change.identity.epoch, change.token) != (event.epoch, event.token):
        # The call is one of a former change.
        return
    yield from handle_answer(change, event, ctx.now)
    if change.is_fenced:
        state.fenced_term = state.term
        state.reset()
        yield Log(
            'warning',
            'fenced off: a newer leader manages the maps of remote groups',
            (('term', str(state.term)),),
        )
    else:
        yield from _prepare_plan(state, change, ctx)


def _sync_with_registry(state: RemoteGroups, registry: RegistryState) -> None:
    """Drop groups that are no longer complete; start over with each new epoch of a group.

    A rank that is only silent may be sound, and orders to it may still take effect. So a change that has
    begun goes on without its heartbeats, and none begins.
    """
    # Rows of a former epoch may remain for a while, whose ranks are silent.
    by_age = sorted(_complete_groups(state, registry), key=_age_key)
    complete = {group.identity.name: group for group in by_age}
    for name in state.changes.keys() - complete.keys():
        state.changes.pop(name)
        state.notified_slow.pop(name, None)
    for name, group in complete.items():
        change = state.changes.get(name)
        if change is not None and change.identity == group.identity:
            change.layout = group.layout
            change.ranks = group.ranks
            change.is_heard = group.is_heard
        elif group.is_heard:
            state.take_over(group)
        elif change is not None:
            state.changes.pop(name)


def _age_key(group: RemoteGroup) -> tuple[bool, int]:
    return group.is_heard, group.identity.epoch


def _complete_groups(state: RemoteGroups, registry: RegistryState) -> Iterator[RemoteGroup]:
    members: dict[GroupIdentity, list[Registration]] = defaultdict(list)
    silent: set[GroupIdentity] = set()
    for row in registry.rows.values():
        member = row.registration
        is_usable = member.standing is not RegistrationState.GONE and member.is_group_open
        if is_usable and member.group and member.service in state.layouts:
            identity = GroupIdentity(member.group, member.service, member.epoch)
            members[identity].append(member)
            if row.is_silent:
                silent.add(identity)
    for identity, group_members in members.items():
        ranks = {member.rank: RankAddress(member.instance, member.address) for member in group_members}
        if len(ranks) == len(group_members) == group_members[0].group_size:
            layout = state.layouts[identity.service]
            yield RemoteGroup(identity, ranks, layout, is_heard=identity not in silent)


def _prepare_plan(state: RemoteGroups, change: GroupChange, ctx: Context) -> Iterator[Effect]:
    """Read what a plan needs and begin to plan, without waiting for ticks in between."""
    if change.phase is Phase.IDLE:
        yield from _collect_counts(state, change, ctx)
    elif change.phase is Phase.SURVEYED:
        yield from _notify_gateways(state, change, ctx)
        yield from _begin_plan(change, ctx.now)
        if change.draft is not None:
            yield from _plan(change, ctx.now)


def _notify_gateways(state: RemoteGroups, change: GroupChange, ctx: Context) -> Iterator[Effect]:
    """Notify all gateways of slow ranks after each survey, and once when none is left."""
    name = change.identity.name
    former = set(chain.from_iterable(state.notified_slow.values()))
    state.notified_slow[name] = change.slow_instances()
    slow = tuple(sorted(chain.from_iterable(state.notified_slow.values())))
    if not slow and not former:
        return
    for node in sorted(ctx.node.part(RegistryState).gateways):
        yield Send(node, SlowInstances(slow))


def _collect_counts(state: RemoteGroups, change: GroupChange, ctx: Context) -> Iterator[Effect]:
    if change.calls:
        if is_complete(change) and any(isinstance(call, ReadCounts) for call in change.calls.values()):
            yield from survey(change, ctx.now)
    elif _is_due(change, ctx.now) and (
        state.notified_slow.get(change.identity.name) or _is_busy(change, ctx)
    ):
        change.counts_read_at = ctx.now
        decay(change)
        yield from read_counts(change, ctx.now)


def _is_due(change: GroupChange, now: float) -> bool:
    if not change.is_heard:
        return False
    if not any(change.popularity):
        interval_s = FIRST_COUNTS_INTERVAL_S
    elif _max_copies(change) is None:
        interval_s = COUNTS_INTERVAL_S
    else:
        interval_s = URGENT_COUNTS_INTERVAL_S
    return now >= max(change.backoff_until, change.counts_read_at + interval_s)


def _max_copies(change: GroupChange) -> int | None:
    layout = change.layout
    return bound_copies(layout.copy_s, layout.layers, layout.max_new)


def _begin_plan(change: GroupChange, now: float) -> Iterator[Effect]:
    shares = shares_of(change)
    if shares is None:
        yield from enter_phase(change, Phase.IDLE, now)
        return
    bounds = RankBounds(change.layout.slots, change.layout.max_new, _max_copies(change))
    change.draft = Draft(shares, change.current, bounds, change.speeds())
    yield from enter_phase(change, Phase.PLANNING, now)


def _plan(change: GroupChange, now: float) -> Iterator[Effect]:
    """Plan some layers; start the change to a map that is complete and better by enough."""
    draft = change.draft
    assert draft is not None
    draft.plan(max(1, PLANNED_RANKS_PER_TICK // len(change.ranks)))
    if not draft.is_complete:
        return
    change.draft = None
    proposal = draft.finish()
    yield from enter_phase(change, Phase.IDLE, now)
    fields = (
        ('group', change.identity.name),
        ('version', str(change.version)),
        ('skew_before', f'{proposal.skew_before:.2f}'),
        ('skew_after', f'{proposal.skew_after:.2f}'),
        ('slowest', f'{min(draft.speeds):.2f}'),
    )
    yield Log('info', 'map of a remote group planned', fields)
    if proposal.skew_before - proposal.skew_after >= MIN_SKEW_GAIN:
        yield from start_change(change, proposal.layers, now)


def _is_busy(change: GroupChange, ctx: Context) -> bool:
    registry = ctx.node.part(RegistryState)
    open_attempts = ctx.node.part(AttemptTotals).totals()
    slots = 0
    in_use = 0
    for rank_address in change.ranks.values():
        row = registry.rows.get(rank_address.instance)
        slots += row.registration.slots if row is not None else 0
        in_use += open_attempts.get(rank_address.instance, 0)
    is_early = change.version == 0 or _max_copies(change) is not None
    min_utilisation = EARLY_UTILISATION if is_early else MIN_UTILISATION
    return in_use >= min_utilisation * min(slots, _limit_of(change, ctx))


def _limit_of(change: GroupChange, ctx: Context) -> float:
    if not ctx.node.has(ConcurrencyState):
        return math.inf
    limit = ctx.node.part(ConcurrencyState).limit_of(change.identity.name)
    return math.inf if limit is None else limit
