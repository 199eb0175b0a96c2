import pytest

from basilcove.routing.const import MIN_REPORT_INTERVAL_S, REPORT_LIFETIME_S
from basilcove.routing.models import UpstreamLoad
from basilcove.routing.reports import is_report_due

IDLE = UpstreamLoad(0, 0, 400)
BUSY = UpstreamLoad(1_000, 8, 400, ((1, 200), (2, 800)))


class TestIsReportDue:
    def test_an_idle_upstream_reports_once(self) -> None:
        """Guards against repeated reports of idle upstreams, most of the messages in an idle fleet."""
        assert is_report_due(None, 0, IDLE, 0)
        assert not is_report_due(IDLE, 0, IDLE, 1_000)

    def test_a_busy_upstream_repeats_its_load_before_it_expires(self) -> None:
        """Guards against a busy upstream that routers assume to be idle because its report is too old."""
        assert not is_report_due(BUSY, 0, BUSY, 1)
        assert is_report_due(BUSY, 0, BUSY, REPORT_LIFETIME_S / 2)

    def test_a_change_is_reported_no_sooner_than_the_interval(self) -> None:
        """Guards against a message for each attempt that starts or ends."""
        assert not is_report_due(IDLE, 0, BUSY, MIN_REPORT_INTERVAL_S / 2)
        assert is_report_due(IDLE, 0, BUSY, MIN_REPORT_INTERVAL_S)

    @pytest.mark.parametrize(
        'load',
        [
            IDLE,
            UpstreamLoad(1_200, 8, 400, ((1, 200), (2, 1_000))),
            # The same total work, but more of it ahead of an urgent attempt.
            UpstreamLoad(1_000, 8, 400, ((1, 400), (2, 600))),
            UpstreamLoad(1_000, 8, 200, ((1, 200), (2, 800))),
        ],
    )
    def test_a_change_that_affects_routing_is_reported(self, load: UpstreamLoad) -> None:
        """Guards against a router that keeps sending work to an upstream that has become slow or full."""
        assert is_report_due(BUSY, 0, load, MIN_REPORT_INTERVAL_S)

    @pytest.mark.parametrize('works', [((1, 210), (2, 800)), ((1, 200), (2, 760))])
    def test_a_change_that_routing_ignores_is_not_reported(
        self, works: tuple[tuple[int, float], ...]
    ) -> None:
        """Guards against a message for each generated token."""
        load = UpstreamLoad(sum(work for _, work in works), 8, 400, works)
        assert not is_report_due(BUSY, 0, load, MIN_REPORT_INTERVAL_S)
