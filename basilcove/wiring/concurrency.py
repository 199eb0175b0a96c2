"""Estimates the limits of groups on a control host, and tells them to the gateways that want its totals."""

from collections import defaultdict
from collections.abc import Iterator

from basilcove.concurrency.const import (
    INTERVAL_S,
    LOG_INTERVAL_S,
    LOGGED_CHANGE,
    MIN_CHANGE,
    REPEAT_INTERVAL_S,
)
from basilcove.concurrency.messages import ConcurrencyLimits, GroupLimit, PauseReport
from basilcove.concurrency.models import ConcurrencyState, GroupLoad, GroupRecord
from basilcove.core.events import Count, Effect, Log, Received, Send, Tick
from basilcove.core.ids import GroupName
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.totals import AttemptTotals
from basilcove.registry.messages import Registration, RegistrationState
from basilcove.registry.models import RegistryState


@handles_message(PauseReport, ConcurrencyState)
def _on_pauses(state: ConcurrencyState, event: Received, ctx: Context) -> list[Effect]:
    report = event.message
    assert isinstance(report, PauseReport)
    state.add(report, ctx.now)
    return []


@handles(Tick, ConcurrencyState)
def _on_tick(state: ConcurrencyState, event: Tick, ctx: Context) -> Iterator[Effect]:
    if not state.records and not state.sent:
        return
    if ctx.now - state.interval_ended_at < INTERVAL_S:
        return
    state.interval_ended_at = ctx.now
    totals = ctx.node.part(AttemptTotals)
    state.end_interval(_loads(state, ctx.node.part(RegistryState), totals), ctx.now)
    for group, record in state.records.items():
        yield from _log_change(group, record, ctx.now)
    yield from _announce(state, totals, ctx.now)


def _loads(
    state: ConcurrencyState, registry: RegistryState, totals: AttemptTotals
) -> dict[GroupName, GroupLoad]:
    """Return the load of the groups with streams; requests beyond the slots of a rank wait there."""
    members: dict[GroupName, list[Registration]] = defaultdict(list)
    for row in registry.rows.values():
        member = row.registration
        if member.group not in state.records or member.standing is RegistrationState.GONE or row.is_silent:
            continue
        members[member.group].append(member)
    open_attempts = totals.totals()
    return {
        group: GroupLoad(
            len(ranks),
            round(sum(rank.slots for rank in ranks) / len(ranks)),
            sum(min(rank.slots, open_attempts[rank.instance]) for rank in ranks),
        )
        for group, ranks in members.items()
    }


def _announce(state: ConcurrencyState, totals: AttemptTotals, now: float) -> Iterator[Effect]:
    limits = state.limits()
    if not limits and not state.sent:
        return
    receivers = frozenset(node for node, report in totals.reported.items() if report.wants_totals)
    is_due = now - state.sent_at >= REPEAT_INTERVAL_S
    if not is_due and receivers == state.receivers and not _has_changed(state.sent, limits):
        return
    state.sent, state.sent_at, state.receivers = limits, now, receivers
    msg = ConcurrencyLimits(tuple(GroupLimit(group, limit) for group, limit in sorted(limits.items())))
    for node in sorted(receivers):
        yield Send(node, msg)


def _has_changed(former: dict[GroupName, float], limits: dict[GroupName, float]) -> bool:
    if former.keys() != limits.keys():
        return True
    return any(abs(limit - former[group]) > MIN_CHANGE * former[group] for group, limit in limits.items())


def _log_change(group: GroupName, record: GroupRecord, now: float) -> Iterator[Effect]:
    """Log that a limit is switched on or off, or has changed by a fifth."""
    limit, logged = record.limit.load, record.logged
    if limit is None and logged is None:
        return
    is_switched = limit is None or logged is None
    if now - record.logged_at < LOG_INTERVAL_S:
        return
    if limit is not None and logged is not None and abs(limit - logged) < LOGGED_CHANGE * logged:
        return
    record.logged, record.logged_at = limit, now
    fields = (
        ('group', group),
        ('limit', 'none' if record.total is None else f'{record.total:.1f}'),
        ('ranks', str(record.ranks)),
        ('pause_s', f'{record.estimate.mean_pause_s:.3f}'),
        ('target_s', f'{record.estimate.target_s(now) or 0:.3f}'),
    )
    yield Log('info', 'limit of a group switched' if is_switched else 'limit of a group changed', fields)
    yield Count('group_limits_changed')
