"""Calls to the ranks of a remote group; each is retried until it is answered."""

from collections.abc import Iterable, Iterator

from basilcove.core.events import Effect, Log
from basilcove.core.ids import Rank
from basilcove.experts.remote.const import REPORT_LAG_S, RESEND_PER_CALL_S, RESEND_S
from basilcove.experts.remote.events import CallRank
from basilcove.experts.remote.models import GroupChange, PendingCall, Phase
from basilcove.experts.remote.orders import ArmMap, HoldStep, Order, RankQuery, RankReport, ReadReport

Effects = Iterator[Effect]


def is_complete(change: GroupChange) -> bool:
    """Tell whether all ranks that the phase calls have answered without a refusal."""
    return bool(change.calls) and change.completed >= change.calls.keys()


def enter_phase(change: GroupChange, phase: Phase, now: float) -> Effects:
    """Enter a phase, which has no calls yet."""
    change.phase = phase
    change.since = now
    change.calls.clear()
    change.pending_calls.clear()
    change.completed.clear()
    change.refused_at.clear()
    yield Log('debug', 'phase of a remote group', fields_of(change))


def call_all_ranks(change: GroupChange, call: Order | RankQuery, now: float) -> Effects:
    """Call all ranks."""
    yield from call_ranks(change, sorted(change.ranks), call, now)


def call_ranks(change: GroupChange, ranks: Iterable[Rank], call: Order | RankQuery, now: float) -> Effects:
    """Call these ranks; the calls replace all earlier ones."""
    change.called_at = now
    change.pending_calls.clear()
    change.completed.clear()
    change.refused_at.clear()
    change.calls = dict.fromkeys(ranks, call)
    for rank in change.calls:
        yield _call(change, rank, now)


def send_due(change: GroupChange, now: float) -> Effects:
    """Retry calls that have no answer.

    An order may have been carried out without one, so once a report would show its effect, one is asked for
    between two retries.
    """
    resend_s = RESEND_S + RESEND_PER_CALL_S * len(change.calls)
    for rank, pending in tuple(change.pending_calls.items()):
        if now - pending.sent_at >= resend_s:
            change.has_lost_order |= isinstance(change.calls[rank], Order)
            yield _call(change, rank, now)


def is_in_effect(order: Order | RankQuery, report: RankReport) -> bool:
    """Return whether a report shows the effect of an order that only a later order of its change ends."""
    if isinstance(order, HoldStep):
        return report.held == order.step
    if isinstance(order, ArmMap):
        return report.armed == (order.version, order.step)
    return False


def _call(change: GroupChange, rank: Rank, now: float) -> Effect:
    change.last_call_number += 1
    number = change.last_call_number
    call = change.calls[rank]
    pending = change.pending_calls.get(rank)
    if pending is None:
        pending = PendingCall(number, number, now, now)
        change.pending_calls[rank] = pending
    elif pending.is_report_due:
        call = ReadReport()
    pending.number, pending.sent_at = number, now
    is_confirmable = isinstance(change.calls[rank], HoldStep | ArmMap)
    pending.is_report_due = (
        is_confirmable and not pending.is_report_due and now - pending.began_at >= REPORT_LAG_S
    )
    rank_address, identity = change.ranks[rank], change.identity
    return CallRank(
        identity.name,
        rank,
        number,
        rank_address.instance,
        rank_address.address,
        identity.epoch,
        change.token,
        call,
    )


def fields_of(change: GroupChange) -> tuple[tuple[str, str], ...]:
    """Return the log fields of a change."""
    numbers = {
        'epoch': change.identity.epoch,
        'token': change.token,
        'version': change.version,
        'target_version': change.target_version,
        'step': change.step,
    }
    texts = [(name, str(number)) for name, number in numbers.items()]
    return ('group', change.identity.name), ('phase', change.phase.value), *texts
