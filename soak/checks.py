"""Checks after a run: compares the answers that callers received with what the engines ran."""

from collections.abc import Iterable, Iterator, Sequence
from http import HTTPStatus

from soak.const import AFTERMATH_S, BUDGET_BASE, BUDGET_RATIO, BUDGET_WINDOW_S, CANCEL_S, MAX_ATTEMPTS
from soak.deployment import FaultSpan
from soak.kinds import Kind
from soak.ledger import Arrival, Ledger, RequestRecord

# Statuses that guarantee that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def check_all(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Return the failures of all checks."""
    return [*check_runs(ledger), *check_budget(ledger), *check_cancellation(ledger, spans)]


def check_runs(ledger: Ledger) -> list[str]:
    """Check that no request runs twice, runs despite a not-run status, or reaches too many engines."""
    faults = []
    for request_id, arrivals in ledger.arrivals.items():
        record = ledger.requests.get(request_id)
        if record is None:
            faults.append(f'{request_id} reached an engine though nobody sent it')
            continue
        if len(arrivals) > MAX_ATTEMPTS:
            faults.append(f'{request_id} was sent to {len(arrivals)} engines')
        if Kind(record.kind).runs_once:
            faults.extend(_check_once(record, ledger.count_runs(request_id)))
    return faults


def _check_once(record: RequestRecord, runs: int) -> Iterator[str]:
    if runs > 1:
        yield f'{record.request_id} ({record.kind}) ran {runs} times'
    if runs and record.status in _NOT_RUN_STATUSES:
        yield f'{record.request_id} ({record.kind}) ran, its caller was told {record.status}'


def check_budget(ledger: Ledger) -> list[str]:
    """Check that retries stay within the budget of all gateways in every window.

    The budget follows from the requests counted in the window itself, in the window before it or in the one
    half a window earlier, whichever has the most.
    """
    sent = sorted(record.sent_at for record in ledger.requests.values() if not record.is_unsent)
    retries = sorted(arrival.at for arrivals in ledger.arrivals.values() for arrival in arrivals[1:])
    worst = ''
    excess = 0.0
    for begin in retries:
        count = _count(retries, begin)
        starts = (begin, begin - BUDGET_WINDOW_S / 2, begin - BUDGET_WINDOW_S)
        allowed = BUDGET_RATIO * max(_count(sent, start) for start in starts) + BUDGET_BASE
        if count - allowed > excess:
            excess = count - allowed
            worst = f'{count} retries within {BUDGET_WINDOW_S:g} s, {allowed:.0f} are allowed'
    return [worst] if worst else []


def _count(times: Iterable[float], begin: float) -> int:
    return sum(begin <= at < begin + BUDGET_WINDOW_S for at in times)


def check_cancellation(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Check that engines stop within ``CANCEL_S`` after a caller has left, unless a fault was near."""
    faults = []
    for request_id, record in ledger.requests.items():
        left_at = record.left_at
        if left_at is None or _is_near(left_at, spans):
            continue
        for arrival in ledger.arrivals.get(request_id, ()):
            if _outlasts(arrival, left_at + CANCEL_S):
                faults.append(f'{request_id} ({record.kind}) continued to run after its caller had left')
    return faults


def _is_near(moment: float, spans: Sequence[FaultSpan]) -> bool:
    for span in spans:
        ended_at = moment if span.ended_at is None else span.ended_at
        if span.begun_at - CANCEL_S <= moment <= ended_at + AFTERMATH_S:
            return True
    return False


def _outlasts(arrival: Arrival, bound: float) -> bool:
    return arrival.has_run and (arrival.at > bound or arrival.ended_at is None or arrival.ended_at > bound)
