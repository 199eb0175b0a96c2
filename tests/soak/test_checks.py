import time

import pytest

from soak.checks import check_budget, check_cancellation, check_cold, check_evacuations, check_runs
from soak.const import (
    AFTERMATH_S,
    BUDGET_BASE,
    BUDGET_WINDOW_S,
    CANCEL_S,
    CONTROL,
    ENGINES,
    EVACUATE_S,
    GATEWAYS,
    MAX_COLD_IN_A_SECOND,
    SPREAD_S,
    ZONE_OF,
)
from soak.deployment import FaultSpan
from soak.kinds import Kind
from soak.ledger import Arrival, Ledger, Period, RequestRecord


def add_request(
    ledger: Ledger, name: str, kind: Kind, status: int, *arrivals: Arrival, at: float = 0
) -> RequestRecord:
    record = RequestRecord(name, kind.value, at, status)
    ledger.requests[name] = record
    ledger.arrivals[name].extend(arrivals)
    return record


def ran(at: float = 0, ended_at: float | None = 0.1) -> Arrival:
    return Arrival('i-1', at, has_run=True, ended_at=ended_at)


def refused(at: float = 0) -> Arrival:
    return Arrival('i-2', at, has_run=False)


class TestRuns:
    def test_requests_that_may_run_once(self) -> None:
        """Guards against a soak that misses a booking or stream that runs twice."""
        ledger = Ledger()
        add_request(ledger, 'twice', Kind.BOOKING, 200, ran(), ran())
        add_request(ledger, 'joined', Kind.ONCE, 200, ran(), ran())
        add_request(ledger, 'lookup', Kind.LOOKUP, 200, ran(), ran())
        add_request(ledger, 'resumed', Kind.BRIEF, 200, ran(), ran())
        assert len(check_runs(ledger)) == 2

    def test_requests_that_ran_despite_a_refusal(self) -> None:
        """Guards against a soak that misses a request that ran although it was refused."""
        ledger = Ledger()
        add_request(ledger, 'refused', Kind.BOOKING, 503, ran())
        add_request(ledger, 'unknown', Kind.BOOKING, 502, ran())
        add_request(ledger, 'not-run', Kind.BOOKING, 503, refused())
        assert check_runs(ledger) == ['refused (book) ran, its caller was told 503']

    def test_attempts_of_a_request(self) -> None:
        """Guards against a soak that misses too many attempts or a request that nobody sent."""
        ledger = Ledger()
        add_request(ledger, 'lookup', Kind.LOOKUP, 503, refused(), refused(), refused())
        ledger.arrivals['ghost'].append(ran())
        assert len(check_runs(ledger)) == 2


class TestBudget:
    def test_retries_within_a_window(self) -> None:
        """Guards against a soak that misses retries beyond the budget of all gateways."""
        ledger = Ledger()
        for number in range(BUDGET_BASE + 1):
            add_request(ledger, f'q{number}', Kind.LOOKUP, 200, refused(number / 10), ran(number / 10))
        # Retries of a tenth of the requests are allowed in addition.
        assert not check_budget(ledger)
        add_request(ledger, 'more', Kind.LOOKUP, 200, refused(1), ran(1), refused(1), refused(1))
        assert check_budget(ledger)

    def test_retries_of_two_windows(self) -> None:
        """Guards against a soak that adds up retries that are further apart than a window."""
        ledger = Ledger()
        for number in range(2 * BUDGET_BASE):
            at = (number % 2) * 2 * BUDGET_WINDOW_S
            add_request(ledger, f'q{number}', Kind.LOOKUP, 200, refused(at), ran(at), at=at)
        assert not check_budget(ledger)


class TestCancellation:
    def test_work_for_a_caller_who_left(self) -> None:
        """Guards against a soak that misses an engine that continues to work after its caller has left."""
        ledger = Ledger()
        add_request(ledger, 'stopped', Kind.BRIEF, 0, ran(1, 2 + CANCEL_S / 2)).left_at = 2
        add_request(ledger, 'running', Kind.BRIEF, 0, ran(1, None)).left_at = 2
        add_request(ledger, 'sent', Kind.BRIEF, 0, ran(2 + 2 * CANCEL_S, 3)).left_at = 2
        assert len(check_cancellation(ledger, ())) == 2
        span = FaultSpan('freeze', ('x',), 0, 2.1 - AFTERMATH_S)
        assert not check_cancellation(ledger, (span,))


# In each of these the first gateway may miss news of the periods below, which begin at 0.
OUTAGES = (
    (FaultSpan('freeze', (GATEWAYS[0],), 1, 2),),
    (FaultSpan('kill', (CONTROL[0],), 0, 2), FaultSpan('silence', (CONTROL[1],), 1, 3)),
    (FaultSpan('lose_power', CONTROL, 1, None),),
)
NO_OUTAGES = (
    FaultSpan('kill', (GATEWAYS[0],), 1, 2),
    FaultSpan('freeze', (GATEWAYS[1],), 1, 2),
    FaultSpan('kill', (CONTROL[0],), 1, 2),
    # It knows of the periods by then.
    FaultSpan('freeze', (GATEWAYS[0],), EVACUATE_S + 1, EVACUATE_S + 2),
)
INSTANCE = f'i-{ENGINES[0]}-1'


def arrive(ledger: Ledger, *times: float) -> None:
    """Add requests through the first gateway to the first engine."""
    for at in times:
        name = f'q{len(ledger.requests)}'
        add_request(ledger, name, Kind.LOOKUP, 200, Arrival(INSTANCE, at, has_run=True))
        ledger.requests[name].gateway = GATEWAYS[0]


class TestEvacuations:
    def test_requests_to_an_evacuated_zone(self) -> None:
        """Guards against a soak that misses a request to a zone while its evacuation is in force."""
        ledger = Ledger(evacuations=[Period(ZONE_OF[ENGINES[0]], 0, 20), Period('other', 0)])
        arrive(ledger, EVACUATE_S - 0.1, 20.1)
        assert not check_evacuations(ledger, NO_OUTAGES)
        arrive(ledger, EVACUATE_S + 0.1)
        assert len(check_evacuations(ledger, NO_OUTAGES)) == 1

    @pytest.mark.parametrize('spans', OUTAGES)
    def test_gateway_that_may_miss_the_evacuation(self, spans: tuple[FaultSpan, ...]) -> None:
        """Guards against reports on a gateway that isn't linked to a control host, which is allowed."""
        ledger = Ledger(evacuations=[Period(ZONE_OF[ENGINES[0]], 0, 20)])
        arrive(ledger, EVACUATE_S + 0.1)
        assert not check_evacuations(ledger, spans)

    @pytest.mark.parametrize('spans', OUTAGES[:2])
    def test_gateway_that_is_linked_again(self, spans: tuple[FaultSpan, ...]) -> None:
        """Guards against a soak that never checks a gateway again after it was suspended or cut off."""
        ledger = Ledger(evacuations=[Period(ZONE_OF[ENGINES[0]], 0, 20)])
        arrive(ledger, 3 + AFTERMATH_S + SPREAD_S + 0.1)
        assert len(check_evacuations(ledger, spans)) == 1


class TestCold:
    def test_requests_to_a_cold_engine(self) -> None:
        """Guards against a soak that misses a second with too many requests to a cold engine."""
        ledger = Ledger(cold=[Period(INSTANCE, 0, 5), Period('i-127.77.2.2-1', 0, 5), Period(INSTANCE)])
        arrive(ledger, *(2 + number / 10 for number in range(int(MAX_COLD_IN_A_SECOND))))
        arrive(ledger, SPREAD_S - 0.1, 5.1)
        assert not check_cold(ledger, NO_OUTAGES)
        arrive(ledger, 2.95)
        assert len(check_cold(ledger, NO_OUTAGES)) == 1

    def test_requests_that_a_proxy_held_back(self) -> None:
        """Guards against a fault by requests that were sent over several seconds and arrive together."""
        ledger = Ledger(cold=[Period(INSTANCE, 0, 5)])
        arrive(ledger, *(3 + number / 100 for number in range(50)))
        assert check_cold(ledger, (FaultSpan('crash_engine', (ENGINES[0],), 2, 2.9),))
        assert not check_cold(ledger, (FaultSpan('silence', (ENGINES[0],), 2, 2.9),))


class TestLedger:
    def test_faults_detected_during_the_run(self) -> None:
        """Guards against a fault without the time that is needed to find it in the logs."""
        ledger = Ledger(started_at=time.monotonic() - 7)
        ledger.record_fault('an older version')
        assert ledger.faults[0].startswith('7.0')
