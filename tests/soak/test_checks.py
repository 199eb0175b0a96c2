import time

from soak.checks import check_budget, check_cancellation, check_runs
from soak.const import AFTERMATH_S, BUDGET_BASE, BUDGET_WINDOW_S, CANCEL_S
from soak.deployment import FaultSpan
from soak.kinds import Kind
from soak.ledger import Arrival, Ledger, RequestRecord


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


class TestLedger:
    def test_faults_detected_during_the_run(self) -> None:
        """Guards against a fault without the time that is needed to find it in the logs."""
        ledger = Ledger(started_at=time.monotonic() - 7)
        ledger.record_fault('an older version')
        assert ledger.faults[0].startswith('7.0')
