import time

from soak.checks import check_budget, check_leaving, check_runs
from soak.const import AFTERMATH_S, BUDGET_BASE, BUDGET_WINDOW_S, CANCEL_S
from soak.deployment import FaultSpan
from soak.kinds import Kind
from soak.ledger import Arrival, Asked, Ledger


def ask(ledger: Ledger, name: str, kind: Kind, status: int, *arrivals: Arrival, at: float = 0) -> Asked:
    asked = Asked(name, kind.value, at, status)
    ledger.asked[name] = asked
    ledger.arrivals[name].extend(arrivals)
    return asked


def ran(at: float = 0, ended_at: float | None = 0.1) -> Arrival:
    return Arrival('i-1', at, has_run=True, ended_at=ended_at)


def refused(at: float = 0) -> Arrival:
    return Arrival('i-2', at, has_run=False)


class TestRuns:
    def test_requests_that_may_run_once(self) -> None:
        """Guards against a soak that doesn't see a booking or stream that runs twice."""
        ledger = Ledger()
        ask(ledger, 'twice', Kind.BOOKING, 200, ran(), ran())
        ask(ledger, 'joined', Kind.ONCE, 200, ran(), ran())
        ask(ledger, 'lookup', Kind.LOOKUP, 200, ran(), ran())
        ask(ledger, 'resumed', Kind.BRIEF, 200, ran(), ran())
        assert len(check_runs(ledger)) == 2

    def test_promises(self) -> None:
        """Guards against a soak that doesn't see a refusal of what ran."""
        ledger = Ledger()
        ask(ledger, 'refused', Kind.BOOKING, 503, ran())
        ask(ledger, 'unknown', Kind.BOOKING, 502, ran())
        ask(ledger, 'not-run', Kind.BOOKING, 503, refused())
        assert check_runs(ledger) == ['refused (book) ran, its caller was told 503']

    def test_upstreams_of_a_request(self) -> None:
        """Guards against a soak that doesn't see too many attempts, or a request that nobody sent."""
        ledger = Ledger()
        ask(ledger, 'lookup', Kind.LOOKUP, 503, refused(), refused(), refused())
        ledger.arrivals['ghost'].append(ran())
        assert len(check_runs(ledger)) == 2


class TestBudget:
    def test_repeats_within_a_window(self) -> None:
        """Guards against a soak that doesn't see repeats beyond the budget of all gateways."""
        ledger = Ledger()
        for number in range(BUDGET_BASE + 1):
            ask(ledger, f'q{number}', Kind.LOOKUP, 200, refused(number / 10), ran(number / 10))
        # A tenth of the requests may be repeated besides.
        assert not check_budget(ledger)
        ask(ledger, 'more', Kind.LOOKUP, 200, refused(1), ran(1), refused(1), refused(1))
        assert check_budget(ledger)

    def test_repeats_of_two_windows(self) -> None:
        """Guards against a soak that adds up repeats that are further apart than a window."""
        ledger = Ledger()
        for number in range(2 * BUDGET_BASE):
            at = (number % 2) * 2 * BUDGET_WINDOW_S
            ask(ledger, f'q{number}', Kind.LOOKUP, 200, refused(at), ran(at), at=at)
        assert not check_budget(ledger)


class TestLeaving:
    def test_work_for_a_caller_who_left(self) -> None:
        """Guards against a soak that doesn't see an engine that works on for nobody."""
        ledger = Ledger()
        ask(ledger, 'stopped', Kind.BRIEF, 0, ran(1, 2 + CANCEL_S / 2)).left_at = 2
        ask(ledger, 'running', Kind.BRIEF, 0, ran(1, None)).left_at = 2
        ask(ledger, 'sent', Kind.BRIEF, 0, ran(2 + 2 * CANCEL_S, 3)).left_at = 2
        assert len(check_leaving(ledger, ())) == 2
        span = FaultSpan('freeze', ('x',), 0, 2.1 - AFTERMATH_S)
        assert not check_leaving(ledger, (span,))


class TestLedger:
    def test_faults_that_are_seen_at_once(self) -> None:
        """Guards against a fault without the time at which its logs are to be read."""
        ledger = Ledger(started_at=time.monotonic() - 7)
        ledger.note_fault('an older version')
        assert ledger.faults[0].startswith('7.0')
