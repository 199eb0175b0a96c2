import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilcove.core.ids import Rank
from basilcove.experts.popularity import CountReporter, PopularityMerger, ReportError
from basilcove.experts.spread import WorkSpreader
from basilcove.experts.stragglers import StragglerDetector

_counts = st.lists(st.integers(0, 1 << 40), min_size=6, max_size=6)


class TestPopularityMerger:
    @settings(derandomize=True, max_examples=80, deadline=None)
    @given(st.lists(st.tuples(_counts, st.sampled_from(['sent', 'lost', 'twice'])), max_size=12))
    def test_merged_counts_follow_the_last_accepted_report(
        self, intervals: list[tuple[list[int], str]]
    ) -> None:
        """Guards against counts that a lost or repeated report distorts for good."""
        reporter, merger = CountReporter(2, 3), PopularityMerger(2, 3)
        full = True
        for sequence, (counts, fate) in enumerate(intervals):
            report = reporter.encode(counts, full=full)
            if fate == 'lost':
                full = False
                continue
            accepted = merger.merge(Rank(0), sequence, report, full=full)
            if fate == 'twice':
                assert merger.merge(Rank(0), sequence, report, full=full) == accepted
            full = not accepted
            if accepted:
                merger.advance(1000.0)
                merged = [count for layer in merger.popularity().layers for count in layer]
                assert merged == pytest.approx(counts, rel=0.06, abs=1e-3 * (1 + sum(counts)))

    @pytest.mark.parametrize('report', [b'\x80', b'\x00', b'\x09\x02', b'\x00\x01'])
    def test_malformed_report_is_refused_and_changes_nothing(self, report: bytes) -> None:
        """Guards against a report that is truncated, out of range or yields negative counts."""
        merger = PopularityMerger(2, 3)
        with pytest.raises(ReportError):
            merger.merge(Rank(0), 1, report, full=True)
        assert not merger.merge(Rank(0), 2, b'')

    def test_forecast_follows_a_trend_and_a_jump(self) -> None:
        """Guards against a plan for outdated popularity."""
        reporter, merger = CountReporter(1, 2), PopularityMerger(1, 2)
        for sequence in range(30):
            counts = [100_000 + 1000 * sequence, 200_000 - 1000 * sequence]
            merger.merge(Rank(0), sequence, reporter.encode(counts), full=sequence == 0)
            merger.advance(10)
        rising, falling = merger.popularity(50).layers[0]
        assert rising > 130_000
        assert falling < 170_000
        merger.merge(Rank(0), 30, reporter.encode([10, 1000]))
        merger.advance(10)
        assert merger.popularity(50).layers[0] == pytest.approx((10, 1000), rel=0.01)


class TestStragglerDetector:
    def test_slow_rank_is_relieved_and_recovers(self) -> None:
        """Guards against a loaded rank that counts as slow, and against a relief that never ends."""
        detector = StragglerDetector(4)
        work = [1.0, 3.0, 1.0, 1.0]
        detector.observe([2.0, 6.0, 4.0, 2.0], work)
        assert not detector.stragglers()
        for _ in range(10):
            detector.observe([2.0, 6.0, 4.0, 2.0], work)
        assert detector.stragglers() == [2]
        assert detector.capacity() == pytest.approx((1, 1, 0.5, 1), rel=0.05)
        for _ in range(20):
            detector.observe([2.0, 6.0, 2.0, 2.0], work)
        assert not detector.stragglers()


class TestWorkSpreader:
    def test_requests_go_where_the_least_time_is_queued(self) -> None:
        """Guards against spreading by number of requests, which overloads slow ranks."""
        spreader = WorkSpreader([1.0, 0.5])
        ranks = [spreader.assign(10) for _ in range(300)]
        assert ranks.count(0) == 200
        for rank in ranks[:-1]:
            spreader.finish(rank, 10)
        spreader.set_capacity([0.1, 1.0])
        assert spreader.assign(5) == 1
