"""Checks after a run: compares the answers that callers received with what the engines ran."""

import itertools
import math
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from http import HTTPStatus

from soak.const import (
    AFTERMATH_S,
    BUDGET_BASE,
    BUDGET_RATIO,
    BUDGET_WINDOW_S,
    CANCEL_S,
    CONTROL,
    EVACUATE_S,
    GATEWAYS,
    MAX_ATTEMPTS,
    MAX_COLD_IN_A_SECOND,
    SPREAD_S,
)
from soak.deployment import FaultSpan
from soak.kinds import Kind
from soak.ledger import Arrival, Ledger, Period, RequestRecord

# Statuses that guarantee that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Faults whose proxy delays requests to an engine.
_HOLDING_FAULTS = frozenset(('slow_down', 'cut_one_way', 'silence'))


def check_all(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Return the failures of all checks."""
    return [
        *check_runs(ledger),
        *check_budget(ledger),
        *check_cancellation(ledger, spans),
        *check_evacuations(ledger, spans),
        *check_cold(ledger, spans),
    ]


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


def check_evacuations(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Check that no request reaches an evacuated zone through a gateway that must know of the evacuation."""
    faults = []
    for period in ledger.evacuations:
        for gateway, known_at in _find_known(period, EVACUATE_S, spans):
            times = [
                arrival.at - period.acknowledged_at
                for arrival in _arrivals_through(gateway, ledger, spans)
                if arrival.zone == period.subject and known_at <= arrival.at < period.ended_at
            ]
            if times:
                faults.append(
                    f'{gateway} sent {len(times)} requests to zone {period.subject}, the first one'
                    f' {min(times):.2f} s after its evacuation was acknowledged'
                )
    return faults


def check_cold(ledger: Ledger, spans: Sequence[FaultSpan]) -> list[str]:
    """Check that no second has too many requests to a cold engine from gateways that must know of it."""
    faults = []
    for period in ledger.cold:
        times = sorted(
            arrival.at
            for gateway, known_at in _find_known(period, SPREAD_S, spans)
            for arrival in _arrivals_through(gateway, ledger, spans)
            if arrival.instance == period.subject and known_at <= arrival.at < period.ended_at
        )
        most = max((bisect_left(times, at + 1) - index for index, at in enumerate(times)), default=0)
        if most > MAX_COLD_IN_A_SECOND:
            faults.append(f'{period.subject} got {most} requests within a second while it was cold')
    return faults


def _find_known(period: Period, wait_s: float, spans: Sequence[FaultSpan]) -> Iterator[tuple[str, float]]:
    """Yield each gateway and when it must know of a period: after ``wait_s`` and any outage meanwhile."""
    for gateway in GATEWAYS:
        known_at = period.acknowledged_at + wait_s
        for begun_at, ended_at in sorted(_find_outages(gateway, spans)):
            if begun_at < known_at:
                known_at = max(known_at, ended_at + SPREAD_S)
        yield gateway, known_at


def _find_outages(gateway: str, spans: Sequence[FaultSpan]) -> Iterator[tuple[float, float]]:
    """Yield when a gateway may miss news: it is suspended, or faults affect several control hosts.

    Includes the time in which it is linked again.

    A gateway that restarts isn't ready before it knows what is in force.
    """
    control: list[tuple[float, float, str]] = []
    for span in spans:
        ended_at = math.inf if span.ended_at is None else span.ended_at + AFTERMATH_S
        if span.name == 'freeze' and gateway in span.targets:
            yield span.begun_at, ended_at
        control.extend((span.begun_at, ended_at, host) for host in span.targets if host in CONTROL)
    for one, other in itertools.combinations(control, 2):
        begun_at, ended_at = max(one[0], other[0]), min(one[1], other[1])
        if one[2] != other[2] and begun_at < ended_at:
            yield begun_at, ended_at


def _arrivals_through(gateway: str, ledger: Ledger, spans: Sequence[FaultSpan]) -> Iterator[Arrival]:
    """Yield what came through a gateway, unless the engine's proxy may have held it back."""
    for request_id, arrivals in ledger.arrivals.items():
        record = ledger.requests.get(request_id)
        if record is not None and record.gateway == gateway:
            yield from (arrival for arrival in arrivals if not _is_held_back(arrival, spans))


def _is_held_back(arrival: Arrival, spans: Sequence[FaultSpan]) -> bool:
    for span in spans:
        if span.name in _HOLDING_FAULTS and arrival.address in span.targets:
            ended_at = math.inf if span.ended_at is None else span.ended_at
            if span.begun_at <= arrival.at <= ended_at + SPREAD_S:
                return True
    return False
