import pytest

from basilcove.routing.const import REPORT_INTERVAL_S, REPORT_LIFETIME_S
from basilcove.routing.models import UpstreamLoad
from basilcove.routing.reports import is_report_due

IDLE = UpstreamLoad(0, 0, 400)
BUSY = UpstreamLoad(1_000, 8, 400, ((1, 200), (2, 800)))


class TestIsReportDue:
    def test_an_idle_upstream_reports_once(self) -> None:
        """Guards against reports of idle upstreams, which are most of the messages of a quiet fleet."""
        assert is_report_due(None, 0, IDLE, 0)
        assert not is_report_due(IDLE, 0, IDLE, 1_000)

    def test_a_busy_upstream_repeats_its_load_while_routers_hold_it(self) -> None:
        """Guards against a busy upstream that routers take to be idle, as its report is too old."""
        assert not is_report_due(BUSY, 0, BUSY, 1)
        assert is_report_due(BUSY, 0, BUSY, REPORT_LIFETIME_S / 2)

    def test_a_change_is_reported_no_sooner_than_the_interval(self) -> None:
        """Guards against a message for each of the attempts that start and end."""
        assert not is_report_due(IDLE, 0, BUSY, REPORT_INTERVAL_S / 2)
        assert is_report_due(IDLE, 0, BUSY, REPORT_INTERVAL_S)

    @pytest.mark.parametrize(
        'load',
        [
            IDLE,
            UpstreamLoad(1_200, 8, 400, ((1, 200), (2, 1_000))),
            # The same work in all, but more of it ahead of an urgent attempt.
            UpstreamLoad(1_000, 8, 400, ((1, 400), (2, 600))),
            UpstreamLoad(1_000, 8, 200, ((1, 200), (2, 800))),
        ],
    )
    def test_a_change_that_routing_sees_is_reported(self, load: UpstreamLoad) -> None:
        """Guards against a router that goes on sending work to an upstream that has become slow or full."""
        assert is_report_due(BUSY, 0, load, REPORT_INTERVAL_S)

    @pytest.mark.parametrize('works', [((1, 210), (2, 800)), ((1, 200), (2, 760))])
    def test_a_change_that_is_nothing_to_routing_waits(self, works: tuple[tuple[int, float], ...]) -> None:
        """Guards against a message for each token that is done."""
        load = UpstreamLoad(sum(work for _, work in works), 8, 400, works)
        assert not is_report_due(BUSY, 0, load, REPORT_INTERVAL_S)
