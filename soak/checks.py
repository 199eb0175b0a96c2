"""Compares, after a run, what callers were told with what engines did."""

from collections.abc import Iterable, Iterator, Sequence
from http import HTTPStatus

from soak.const import AFTERMATH_S, BUDGET_BASE, BUDGET_RATIO, BUDGET_WINDOW_S, CANCEL_S, MAX_ATTEMPTS
from soak.deployment import FaultSpan
from soak.kinds import Kind
from soak.ledger import Arrival, Asked, Ledger

# Statuses that promise that the request has not run and never will.
_PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def check_all(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Return what does not hold."""
    return [*check_runs(ledger), *check_budget(ledger), *check_leaving(ledger, spans)]


def check_runs(ledger: Ledger) -> list[str]:
    """Check that nothing runs twice, after a promise, or at too many engines."""
    found = []
    for request_id, arrivals in ledger.arrivals.items():
        asked = ledger.asked.get(request_id)
        if asked is None:
            found.append(f'{request_id} reached an engine though nobody sent it')
            continue
        if len(arrivals) > MAX_ATTEMPTS:
            found.append(f'{request_id} was sent to {len(arrivals)} engines')
        if Kind(asked.kind).runs_once:
            found.extend(_check_once(asked, ledger.runs(request_id)))
    return found


def _check_once(asked: Asked, runs: int) -> Iterator[str]:
    if runs > 1:
        yield f'{asked.request_id} ({asked.kind}) ran {runs} times'
    if runs and asked.status in _PROMISES:
        yield f'{asked.request_id} ({asked.kind}) ran, its caller was told {asked.status}'


def check_budget(ledger: Ledger) -> list[str]:
    """Check that repeats stay within the budget of all gateways in every window.

    Requests are counted in the window, the one before it, or the one half a window before it, whichever has
    the most.
    """
    sent = sorted(asked.sent_at for asked in ledger.asked.values() if not asked.is_unsent)
    repeats = sorted(arrival.at for arrivals in ledger.arrivals.values() for arrival in arrivals[1:])
    worst = ''
    excess = 0.0
    for begin in repeats:
        count = _count(repeats, begin)
        starts = (begin, begin - BUDGET_WINDOW_S / 2, begin - BUDGET_WINDOW_S)
        allowed = BUDGET_RATIO * max(_count(sent, start) for start in starts) + BUDGET_BASE
        if count - allowed > excess:
            excess = count - allowed
            worst = f'{count} repeats within {BUDGET_WINDOW_S:g} s, {allowed:.0f} are allowed'
    return [worst] if worst else []


def _count(times: Iterable[float], begin: float) -> int:
    return sum(begin <= at < begin + BUDGET_WINDOW_S for at in times)


def check_leaving(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Check that engines stop soon after a caller has left, where no fault was near."""
    found = []
    for request_id, asked in ledger.asked.items():
        left_at = asked.left_at
        if left_at is None or _is_near(left_at, spans):
            continue
        for arrival in ledger.arrivals.get(request_id, ()):
            if _outlasts(arrival, left_at + CANCEL_S):
                found.append(f'{request_id} ({asked.kind}) ran on after its caller had left')
    return found


def _is_near(moment: float, spans: Sequence[FaultSpan]) -> bool:
    for span in spans:
        ended_at = moment if span.ended_at is None else span.ended_at
        if span.begun_at - CANCEL_S <= moment <= ended_at + AFTERMATH_S:
            return True
    return False


def _outlasts(arrival: Arrival, bound: float) -> bool:
    return arrival.has_run and (arrival.at > bound or arrival.ended_at is None or arrival.ended_at > bound)
