"""The steps by which all ranks of a group change their map at the same step, or none does.

One rank holds the step before any rank is armed, and lets go only once all are armed. So a pass with two
maps can't begin, whatever is lost or comes late: an arming that is carried out late finds its step begun and
is refused. Once an arming was sent, the change goes through. Only where a rank refuses it for long are the
others disarmed, and the hold then stays until no former arming can be carried out any more.
"""

from collections.abc import Callable

from basilcove.core.events import Count, Log
from basilcove.core.ids import Rank
from basilcove.experts.models import Layer
from basilcove.experts.remote.calls import Steps, ask, ask_all, enter, fields_of, is_agreed, send_due
from basilcove.experts.remote.const import (
    AHEAD_S,
    ARM_TIMEOUT_S,
    HOLD_TIMEOUT_S,
    LATE_ORDER_S,
    LOSSY_AHEAD_S,
    MIN_AHEAD_STEPS,
    PAUSE_S,
    PREPARE_TIMEOUT_S,
    REPORT_INTERVAL_S,
    REPORT_LAG_S,
    UNUSED_VERSION,
    VERSIONS_PER_TOKEN,
    WATCH_INTERVAL_S,
)
from basilcove.experts.remote.events import RankAnswered
from basilcove.experts.remote.models import GroupChange, Phase
from basilcove.experts.remote.orders import (
    ArmMap,
    DisarmMap,
    HoldStep,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankLists,
    RankReport,
    ReadCounts,
    ReadLists,
    ReadReport,
    ReleaseStep,
    Reply,
)
from basilcove.experts.remote.planning import first_layers
from basilcove.experts.remote.popularity import note_counts, sampled_ranks

PhaseStep = Callable[[GroupChange, float], Steps]

_ON_TICK: dict[Phase, PhaseStep] = {}
# In other phases a rank that refuses is asked again, since nothing else may follow.
_FINAL_REFUSALS = frozenset((Phase.PREPARING, Phase.HOLDING, Phase.RELEASING))


def in_phase(phase: Phase) -> Callable[[PhaseStep], PhaseStep]:
    """Register what is looked after in a phase at each tick."""

    def register(function: PhaseStep) -> PhaseStep:
        _ON_TICK[phase] = function
        return function

    return register


def advance(change: GroupChange, now: float) -> Steps:
    """Send what is due, and go on to the next phase where the present one has ended."""
    yield from send_due(change, now)
    on_tick = _ON_TICK.get(change.phase)
    if on_tick is not None:
        yield from on_tick(change, now)


def start_change(change: GroupChange, layers: tuple[Layer, ...], now: float) -> Steps:
    """Begin to change to another map."""
    change.target = layers
    change.has_lost_order = False
    # Two leaders must not give one version to two maps, whatever either has heard of the other.
    first = change.token * VERSIONS_PER_TOKEN
    change.target_version = max(change.version, change.target_version, first) + 1
    yield from enter(change, Phase.PREPARING, now)
    yield from ask_all(change, PrepareMap(change.target_version, layers), now)


def read_counts(change: GroupChange, now: float) -> Steps:
    """Read the counts of a sample of the ranks."""
    yield from ask(change, sampled_ranks(change), ReadCounts(), now)


def survey(change: GroupChange, now: float) -> Steps:
    """Read the state of all ranks, after which a map can be planned."""
    yield from enter(change, Phase.SURVEYING, now)
    yield from ask_all(change, ReadReport(), now)


def take_answer(change: GroupChange, event: RankAnswered, now: float) -> Steps:
    """Take what a rank answered; an answer to an older call is left out."""
    sent = change.waiting.get(event.rank)
    if sent is None or sent.number != event.number:
        return
    reply = event.reply
    if reply is OrderResult.UNKNOWN or _is_of_another_epoch(change, reply):
        # It is sent again when it is due; until then the rank may or may not have carried it out.
        return
    if reply is OrderResult.FENCED:
        change.is_fenced = True
        return
    if reply is OrderResult.CONFLICT:
        change.refused.setdefault(event.rank, now)
        if change.phase in _FINAL_REFUSALS:
            change.waiting.pop(event.rank)
        return
    change.waiting.pop(event.rank)
    change.refused.pop(event.rank, None)
    if isinstance(reply, RankReport):
        _note_report(change, event.rank, reply, now)
    elif isinstance(reply, RankLists):
        change.lists[event.rank] = reply
    elif isinstance(reply, RankCounts):
        note_counts(change, event.rank, reply)
    change.done.add(event.rank)
    yield from advance(change, now)


def _is_of_another_epoch(change: GroupChange, reply: Reply) -> bool:
    return not isinstance(reply, OrderResult) and reply.epoch != change.identity.epoch


def _note_report(change: GroupChange, rank: Rank, report: RankReport, now: float) -> None:
    former, at = change.reports.get(rank), change.reported_at.get(rank, now)
    if former is not None and now - at > REPORT_INTERVAL_S / 2 and report.step >= former.step:
        change.pace = (report.step - former.step) / (now - at)
    change.reports[rank] = report
    change.reported_at[rank] = now


# Phases.


@in_phase(Phase.FENCING)
def _fence(change: GroupChange, now: float) -> Steps:
    if not change.calls:
        change.since = now
        yield from ask_all(change, DisarmMap(UNUSED_VERSION), now)
    # A report lags, so one that is read at once may tell of the time before the fence.
    elif is_agreed(change) and now - change.since > REPORT_LAG_S:
        yield from enter(change, Phase.LEARNING, now)
        yield from ask_all(change, ReadReport(), now)


@in_phase(Phase.LEARNING)
def _learn(change: GroupChange, now: float) -> Steps:
    if not is_agreed(change):
        return
    change.watched_until = now + LATE_ORDER_S
    reports = change.reports.values()
    change.version = max(report.version for report in reports)
    change.target_version = max(change.version, *(report.prepared or 0 for report in reports))
    armed = {report.armed for report in reports if report.armed is not None}
    if _note_hold(change):
        yield from _end_hold(change, armed, now)
    elif not armed:
        yield from _list(change, now)
    elif now - change.asked_at >= REPORT_INTERVAL_S:
        # The hold has ended already, so the step begins soon.
        yield from ask_all(change, ReadReport(), now)


def _end_hold(change: GroupChange, armed: set[tuple[int, int]], now: float) -> Steps:
    """End the hold of a former leader, which may have sent armings whose answers it never got."""
    prepared = {report.prepared for report in change.reports.values()}
    if armed:
        yield from _go_through(change, min(armed), now)
    elif prepared == {change.target_version} and change.target_version != change.version:
        yield from _go_through(change, (change.target_version, change.step), now)
    else:
        yield from _release(change, now)


def _go_through(change: GroupChange, armed: tuple[int, int], now: float) -> Steps:
    change.target_version, change.step = armed
    change.target = ()
    yield from _arm(change, now)


def _list(change: GroupChange, now: float) -> Steps:
    if change.version == 0:
        layout = change.layout
        change.current = first_layers(layout.layers, layout.experts, len(change.ranks))
        yield from enter(change, Phase.IDLE, now)
        return
    change.lists.clear()
    yield from enter(change, Phase.LISTING, now)
    yield from ask_all(change, ReadLists(), now)


@in_phase(Phase.LISTING)
def _take_lists(change: GroupChange, now: float) -> Steps:
    if not is_agreed(change):
        return
    lists = change.lists
    if {each.version for each in lists.values()} != {change.version}:
        # A map came into effect while the lists were read.
        yield from enter(change, Phase.LEARNING, now)
        yield from ask_all(change, ReadReport(), now)
        return
    ranks = sorted(lists)
    change.current = tuple(
        tuple(lists[rank].experts[layer] for rank in ranks) for layer in range(change.layout.layers)
    )
    yield from enter(change, Phase.IDLE, now)


@in_phase(Phase.IDLE)
def _watch_idle(change: GroupChange, now: float) -> Steps:
    """End a hold that an order of a former leader set late."""
    if any(not isinstance(call, ReadReport) for call in change.calls.values()):
        return
    if is_agreed(change):
        change.calls.clear()
        yield from _end_late_hold(change, now)
    elif not change.calls and now < change.watched_until and now - change.since >= WATCH_INTERVAL_S:
        change.since = now
        yield from ask_all(change, ReadReport(), now)


def _end_late_hold(change: GroupChange, now: float) -> Steps:
    if _note_hold(change):
        yield from _release(change, now)


def _note_hold(change: GroupChange) -> bool:
    """Take which rank holds which step by the reports; False if none does."""
    for rank, report in change.reports.items():
        if report.held is not None:
            change.holder, change.step = rank, report.held
            return True
    return False


@in_phase(Phase.SURVEYING)
def _survey(change: GroupChange, now: float) -> Steps:
    if is_agreed(change):
        yield from enter(change, Phase.SURVEYED, now)
        yield from _end_late_hold(change, now)


@in_phase(Phase.PREPARING)
def _prepare(change: GroupChange, now: float) -> Steps:
    if is_agreed(change):
        yield from enter(change, Phase.COPYING, now)
        yield from ask_all(change, ReadReport(), now)
    elif change.refused or now - change.since > PREPARE_TIMEOUT_S:
        yield from _abandon(change, 'not prepared by all ranks', now)


@in_phase(Phase.COPYING)
def _copy(change: GroupChange, now: float) -> Steps:
    if now - change.since > PREPARE_TIMEOUT_S:
        yield from _abandon(change, 'not copied by all ranks', now)
        return
    if not is_agreed(change):
        return
    is_prepared = all(report.prepared == change.target_version for report in change.reports.values())
    if is_prepared and change.pace:
        yield from _hold(change, now)
    elif now - change.asked_at >= REPORT_INTERVAL_S:
        yield from ask_all(change, ReadReport(), now)


def _hold(change: GroupChange, now: float) -> Steps:
    newest = max(report.step for report in change.reports.values())
    ahead_s = LOSSY_AHEAD_S if change.has_lost_order else AHEAD_S
    change.step = newest + MIN_AHEAD_STEPS + int(change.pace * ahead_s)
    yield from enter(change, Phase.HOLDING, now)
    yield from ask(change, (change.holder,), HoldStep(change.step), now)


@in_phase(Phase.HOLDING)
def _await_hold(change: GroupChange, now: float) -> Steps:
    if change.holder in change.done:
        yield from _arm(change, now)
    elif change.refused or now - change.since > HOLD_TIMEOUT_S:
        # The hold may still be carried out, so it is released and watched all the same.
        change.target = ()
        change.target_version += 1
        yield from _release(change, now)


def _arm(change: GroupChange, now: float) -> Steps:
    yield from enter(change, Phase.ARMING, now)
    change.unsure_until = now + LATE_ORDER_S
    yield from ask_all(change, ArmMap(change.target_version, change.step), now)


@in_phase(Phase.ARMING)
def _await_arms(change: GroupChange, now: float) -> Steps:
    if is_agreed(change):
        change.version = change.target_version
        change.changes += 1
        yield from _release(change, now)
        return
    change.unsure_until = now + LATE_ORDER_S
    first_refusal = min(change.refused.values(), default=now)
    if now - first_refusal > ARM_TIMEOUT_S:
        yield Log('error', 'ranks are disarmed, since one refuses the map', fields_of(change))
        yield from enter(change, Phase.DISARMING, now)
        yield from ask_all(change, DisarmMap(change.target_version), now)


@in_phase(Phase.DISARMING)
def _await_disarmed(change: GroupChange, now: float) -> Steps:
    if now < change.unsure_until:
        return
    if change.asked_at < change.unsure_until:
        # A late arming may have come after the first disarming.
        yield from ask_all(change, DisarmMap(change.target_version), now)
    elif is_agreed(change):
        change.target = ()
        yield from _release(change, now)


def _release(change: GroupChange, now: float) -> Steps:
    yield from enter(change, Phase.RELEASING, now)
    yield from ask(change, (change.holder,), ReleaseStep(change.step), now)


@in_phase(Phase.RELEASING)
def _await_release(change: GroupChange, now: float) -> Steps:
    if change.holder in change.done or change.holder in change.refused:
        yield from enter(change, Phase.WATCHING, now)
        yield from ask(change, (change.holder,), ReadReport(), now)


@in_phase(Phase.WATCHING)
def _watch(change: GroupChange, now: float) -> Steps:
    """Wait for the step to begin; a hold that was carried out late is released again."""
    if change.holder not in change.done:
        return
    report = change.reports[change.holder]
    if report.step >= change.step:
        yield from _settle(change, now)
    elif now - change.asked_at >= REPORT_INTERVAL_S:
        if report.held is None:
            yield from ask(change, (change.holder,), ReadReport(), now)
        else:
            yield from _release(change, now)


def _settle(change: GroupChange, now: float) -> Steps:
    change.refused.clear()
    is_changed = change.version == change.target_version
    if is_changed and change.target:
        change.current = change.target
        yield Log('info', 'map of a remote group is in effect', fields_of(change))
        yield Count('remote_map_changes')
        yield from enter(change, Phase.IDLE, now)
        return
    if is_changed:
        yield from _list(change, now)
        return
    change.paused_until = now + PAUSE_S
    if change.current:
        yield from enter(change, Phase.IDLE, now)
        return
    yield from _list(change, now)


def _abandon(change: GroupChange, reason: str, now: float) -> Steps:
    """Give a change up before any rank was held or armed."""
    change.paused_until = now + PAUSE_S
    yield Log('warning', f'change of a map abandoned: {reason}', fields_of(change))
    yield Count('remote_maps_abandoned')
    yield from enter(change, Phase.IDLE, now)
