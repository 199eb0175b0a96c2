"""The phases by which all ranks of a group switch to a new map at the same step, or none does.

One rank holds the step before any rank is armed, and releases it only once all are armed. So no pass can
begin with two maps, whichever orders are lost or late: an arming order that arrives late finds its step begun
and is refused. Once an arming order was sent, the change is completed. Only if a rank refuses it for long are
the others disarmed, and the hold then stays until no earlier arming order can take effect any more.
"""

from collections.abc import Callable

from basilcove.core.events import Count, Log
from basilcove.core.ids import Rank
from basilcove.experts.models import Layer
from basilcove.experts.remote.calls import (
    Effects,
    call_all_ranks,
    call_ranks,
    enter_phase,
    fields_of,
    is_complete,
    is_in_effect,
    send_due,
)
from basilcove.experts.remote.const import (
    ARM_AHEAD_S,
    ARM_TIMEOUT_S,
    CHANGE_BACKOFF_S,
    COPY_POLL_INTERVAL_S,
    HOLD_TIMEOUT_S,
    LOSSY_ARM_AHEAD_S,
    MAX_LATE_HOLDS,
    MAX_ORDER_DELAY_S,
    MAX_SPARE_STEPS,
    PREPARE_TIMEOUT_S,
    REPORT_INTERVAL_S,
    REPORT_LAG_S,
    RESEND_PER_CALL_S,
    SPARE_S,
    UNUSED_VERSION,
    VERSIONS_PER_TOKEN,
    WATCH_INTERVAL_S,
)
from basilcove.experts.remote.copies import count_most_copies
from basilcove.experts.remote.events import RankAnswered
from basilcove.experts.remote.models import GroupChange, Phase
from basilcove.experts.remote.orders import (
    ArmMap,
    DisarmMap,
    HoldStep,
    Order,
    OrderResult,
    PrepareMap,
    RankReport,
    ReadCounts,
    ReadLists,
    ReadReport,
    ReleaseStep,
)
from basilcove.experts.remote.planning import first_layers
from basilcove.experts.remote.popularity import sampled_ranks
from basilcove.experts.remote.replies import is_of_another_epoch, record_reply

PhaseHandler = Callable[[GroupChange, float], Effects]

_ON_TICK: dict[Phase, PhaseHandler] = {}
# In other phases a refused call is retried, since the change can not go on otherwise.
_ENDED_BY_REFUSAL = frozenset((Phase.PREPARING, Phase.HOLDING, Phase.RELEASING))


def in_phase(phase: Phase) -> Callable[[PhaseHandler], PhaseHandler]:
    """Register the handler of ticks in a phase."""

    def register(function: PhaseHandler) -> PhaseHandler:
        _ON_TICK[phase] = function
        return function

    return register


def advance(change: GroupChange, now: float) -> Effects:
    """Retry calls that are due, and enter the next phase where the present one has ended."""
    yield from send_due(change, now)
    on_tick = _ON_TICK.get(change.phase)
    if on_tick is not None:
        yield from on_tick(change, now)


def start_change(change: GroupChange, layers: tuple[Layer, ...], now: float) -> Effects:
    """Start the change to another map."""
    change.target = layers
    change.has_lost_order = False
    change.late_holds = 0
    change.copied_at = now + change.layout.copy_s * count_most_copies(change.current, change.target)
    # Two leaders must not give one version to two maps, even if neither knows of the other.
    lowest_version = change.token * VERSIONS_PER_TOKEN
    change.target_version = max(change.version, change.target_version, lowest_version) + 1
    yield from enter_phase(change, Phase.PREPARING, now)
    yield from call_all_ranks(change, PrepareMap(change.target_version, layers), now)


def read_counts(change: GroupChange, now: float) -> Effects:
    """Read the counts of a sample of the ranks."""
    yield from call_ranks(change, sampled_ranks(change), ReadCounts(), now)


def survey(change: GroupChange, now: float) -> Effects:
    """Read the state of all ranks, after which a map can be planned."""
    yield from enter_phase(change, Phase.SURVEYING, now)
    yield from call_all_ranks(change, ReadReport(), now)


def handle_answer(change: GroupChange, event: RankAnswered, now: float) -> Effects:
    """Process the answer of a rank; an answer to an older call is ignored."""
    pending = change.pending_calls.get(event.rank)
    if pending is None or not pending.first_number <= event.number <= pending.number:
        return
    reply = event.reply
    if reply is OrderResult.UNKNOWN or is_of_another_epoch(change, reply):
        # The call is retried when it is due; until then it is unknown whether the rank carried it out.
        return
    if reply is OrderResult.FENCED:
        change.is_fenced = True
        return
    call = change.calls[event.rank]
    if isinstance(reply, RankReport) and isinstance(call, Order):
        record_reply(change, event.rank, reply, now)
        if not is_in_effect(call, reply):
            return
        reply = OrderResult.ACCEPTED
    # The first sending of a repeated order may have prepared the map; the report that follows tells.
    may_be_prepared = change.phase is Phase.PREPARING and pending.first_number != pending.number
    if reply is OrderResult.CONFLICT and not may_be_prepared:
        _record_refusal(change, event.rank, now)
        return
    change.pending_calls.pop(event.rank)
    change.refused_at.pop(event.rank, None)
    record_reply(change, event.rank, reply, now)
    change.completed.add(event.rank)
    yield from advance(change, now)


def _record_refusal(change: GroupChange, rank: Rank, now: float) -> None:
    change.refused_at.setdefault(rank, now)
    if change.phase in _ENDED_BY_REFUSAL:
        change.pending_calls.pop(rank)


# Phases.


@in_phase(Phase.FENCING)
def _fence(change: GroupChange, now: float) -> Effects:
    if not change.calls:
        yield from call_all_ranks(change, DisarmMap(UNUSED_VERSION), now)
        return
    if not is_complete(change):
        return
    if change.fenced_at is None:
        change.fenced_at = now
    # Reports lag, so one that is read sooner may show the state of before the last rank was fenced.
    elif now - change.fenced_at > REPORT_LAG_S:
        yield from enter_phase(change, Phase.LEARNING, now)
        yield from call_all_ranks(change, ReadReport(), now)


@in_phase(Phase.LEARNING)
def _await_reports(change: GroupChange, now: float) -> Effects:
    if not is_complete(change):
        return
    change.watched_until = now + MAX_ORDER_DELAY_S
    reports = change.reports.values()
    change.version = max(report.version for report in reports)
    change.target_version = max(change.version, *(report.prepared or 0 for report in reports))
    armed = {report.armed for report in reports if report.armed is not None}
    if _adopt_hold(change):
        yield from _end_hold(change, armed, now)
    elif not armed:
        yield from _read_lists(change, now)
    elif now - change.called_at >= REPORT_INTERVAL_S:
        # The hold was released already, so the step begins soon.
        yield from call_all_ranks(change, ReadReport(), now)


def _end_hold(change: GroupChange, armed: set[tuple[int, int]], now: float) -> Effects:
    """End the hold of a former leader, which may have sent arming orders whose answers it never got."""
    prepared = {report.prepared for report in change.reports.values()}
    if armed:
        yield from _resume_arming(change, min(armed), now)
    elif prepared == {change.target_version} and change.target_version != change.version:
        yield from _resume_arming(change, (change.target_version, change.step), now)
    else:
        yield from _release(change, now)


def _resume_arming(change: GroupChange, armed: tuple[int, int], now: float) -> Effects:
    change.target_version, change.step = armed
    change.target = ()
    yield from _arm(change, now)


def _read_lists(change: GroupChange, now: float) -> Effects:
    if change.version == 0:
        layout = change.layout
        change.current = first_layers(layout.layers, layout.experts, len(change.ranks))
        yield from enter_phase(change, Phase.IDLE, now)
        return
    change.lists.clear()
    yield from enter_phase(change, Phase.LISTING, now)
    yield from call_all_ranks(change, ReadLists(), now)


@in_phase(Phase.LISTING)
def _await_lists(change: GroupChange, now: float) -> Effects:
    if not is_complete(change):
        return
    lists = change.lists
    if {each.version for each in lists.values()} != {change.version}:
        # A map came into effect while the lists were read.
        yield from enter_phase(change, Phase.LEARNING, now)
        yield from call_all_ranks(change, ReadReport(), now)
        return
    ranks = sorted(lists)
    change.current = tuple(
        tuple(lists[rank].experts[layer] for rank in ranks) for layer in range(change.layout.layers)
    )
    yield from enter_phase(change, Phase.IDLE, now)


@in_phase(Phase.IDLE)
def _watch_idle(change: GroupChange, now: float) -> Effects:
    """Release a hold that a late order of a former leader has set."""
    if any(not isinstance(call, ReadReport) for call in change.calls.values()):
        return
    if is_complete(change):
        change.calls.clear()
        yield from _end_late_hold(change, now)
    elif not change.calls and now < change.watched_until and now - change.since >= WATCH_INTERVAL_S:
        change.since = now
        yield from call_all_ranks(change, ReadReport(), now)


def _end_late_hold(change: GroupChange, now: float) -> Effects:
    if _adopt_hold(change):
        yield from _release(change, now)


def _adopt_hold(change: GroupChange) -> bool:
    """Adopt the held step and its rank from the reports; return False if no rank holds a step."""
    for rank, report in change.reports.items():
        if report.held is not None:
            change.holder, change.step = rank, report.held
            return True
    return False


@in_phase(Phase.SURVEYING)
def _await_survey(change: GroupChange, now: float) -> Effects:
    if is_complete(change):
        yield from enter_phase(change, Phase.SURVEYED, now)
        yield from _end_late_hold(change, now)


@in_phase(Phase.PREPARING)
def _await_prepared(change: GroupChange, now: float) -> Effects:
    if is_complete(change):
        yield from enter_phase(change, Phase.COPYING, now)
        yield from call_all_ranks(change, ReadReport(), now)
    elif change.refused_at or now - change.since > PREPARE_TIMEOUT_S:
        yield from _abandon(change, 'not prepared by all ranks', now)


@in_phase(Phase.COPYING)
def _await_copies(change: GroupChange, now: float) -> Effects:
    if now - change.since > PREPARE_TIMEOUT_S:
        yield from _abandon(change, 'not copied by all ranks', now)
        return
    if not is_complete(change):
        return
    is_prepared = all(report.prepared == change.target_version for report in change.reports.values())
    if is_prepared and change.pace:
        yield from _hold(change, now)
    elif now >= change.copied_at and now - change.called_at >= COPY_POLL_INTERVAL_S:
        yield from call_all_ranks(change, ReadReport(), now)


def _hold(change: GroupChange, now: float) -> Effects:
    newest_step = max(report.step for report in change.reports.values())
    ahead_s = LOSSY_ARM_AHEAD_S if change.has_lost_order else ARM_AHEAD_S
    spare_s = SPARE_S + RESEND_PER_CALL_S * len(change.ranks)
    spare_steps = min(MAX_SPARE_STEPS, 1 + int(change.pace * spare_s))
    change.step = newest_step + spare_steps + int(change.pace * ahead_s)
    yield from enter_phase(change, Phase.HOLDING, now)
    yield from call_ranks(change, (change.holder,), HoldStep(change.step), now)


@in_phase(Phase.HOLDING)
def _await_hold(change: GroupChange, now: float) -> Effects:
    if change.holder in change.completed:
        yield from _arm(change, now)
    elif change.refused_at and not change.has_lost_order and change.late_holds < MAX_LATE_HOLDS:
        # The step had begun, so the order has no effect.
        change.late_holds += 1
        yield from enter_phase(change, Phase.COPYING, now)
        yield from call_all_ranks(change, ReadReport(), now)
    elif change.refused_at or now - change.since > HOLD_TIMEOUT_S:
        # The order to hold may still take effect, so the hold is released and watched nevertheless.
        change.target = ()
        change.target_version += 1
        yield from _release(change, now)


def _arm(change: GroupChange, now: float) -> Effects:
    yield from enter_phase(change, Phase.ARMING, now)
    change.late_arms_until = now + MAX_ORDER_DELAY_S
    yield from call_all_ranks(change, ArmMap(change.target_version, change.step), now)


@in_phase(Phase.ARMING)
def _await_arms(change: GroupChange, now: float) -> Effects:
    if is_complete(change):
        change.version = change.target_version
        change.changes += 1
        yield from _release(change, now)
        return
    change.late_arms_until = now + MAX_ORDER_DELAY_S
    first_refusal = min(change.refused_at.values(), default=now)
    if now - first_refusal > ARM_TIMEOUT_S:
        yield Log('error', 'disarming ranks: a rank refuses the map', fields_of(change))
        yield from enter_phase(change, Phase.DISARMING, now)
        yield from call_all_ranks(change, DisarmMap(change.target_version), now)


@in_phase(Phase.DISARMING)
def _await_disarmed(change: GroupChange, now: float) -> Effects:
    if now < change.late_arms_until:
        return
    if change.called_at < change.late_arms_until:
        # A late arming order may have taken effect after the first order to disarm.
        yield from call_all_ranks(change, DisarmMap(change.target_version), now)
    elif is_complete(change):
        change.target = ()
        yield from _release(change, now)


def _release(change: GroupChange, now: float) -> Effects:
    yield from enter_phase(change, Phase.RELEASING, now)
    yield from call_ranks(change, (change.holder,), ReleaseStep(change.step), now)


@in_phase(Phase.RELEASING)
def _await_release(change: GroupChange, now: float) -> Effects:
    is_answered = change.holder in change.completed or change.holder in change.refused_at
    # Without an answer the report tells whether the hold has ended.
    if is_answered or now - change.called_at >= REPORT_INTERVAL_S:
        yield from enter_phase(change, Phase.WATCHING, now)
        yield from call_ranks(change, (change.holder,), ReadReport(), now)


@in_phase(Phase.WATCHING)
def _await_step(change: GroupChange, now: float) -> Effects:
    """Wait for the step to begin; release the hold again if a late order has set it."""
    if change.holder not in change.completed:
        return
    report = change.reports[change.holder]
    if report.step >= change.step:
        yield from _finish_change(change, now)
    elif now - change.called_at >= REPORT_INTERVAL_S:
        if report.held is None:
            yield from call_ranks(change, (change.holder,), ReadReport(), now)
        else:
            yield from _release(change, now)


def _finish_change(change: GroupChange, now: float) -> Effects:
    change.refused_at.clear()
    is_changed = change.version == change.target_version
    if is_changed and change.target:
        change.current = change.target
        yield Log('info', 'map of a remote group is in effect', fields_of(change))
        yield Count('remote_map_changes')
        yield from enter_phase(change, Phase.IDLE, now)
        return
    if is_changed:
        yield from _read_lists(change, now)
        return
    change.backoff_until = now + CHANGE_BACKOFF_S
    if change.current:
        yield from enter_phase(change, Phase.IDLE, now)
        return
    yield from _read_lists(change, now)


def _abandon(change: GroupChange, reason: str, now: float) -> Effects:
    """Abandon a change before any rank holds its step or is armed."""
    change.backoff_until = now + CHANGE_BACKOFF_S
    yield Log('warning', f'change of a map abandoned: {reason}', fields_of(change))
    yield Count('remote_maps_abandoned')
    yield from enter_phase(change, Phase.IDLE, now)
