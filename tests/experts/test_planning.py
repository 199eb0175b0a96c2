from collections.abc import Callable

import pytest

from basilcove.core.events import Received
from basilcove.core.ids import Rank
from basilcove.experts.activation.models import Phase
from basilcove.experts.messages import PopularityAnswer, PopularityReport
from basilcove.experts.models import ExpertMap, Move, Plan
from basilcove.experts.planning.const import PLAN_INTERVAL_S, REPORT_RESEND_S
from basilcove.experts.planning.counts import growth
from basilcove.experts.planning.events import RankCounts
from basilcove.experts.planning.models import ReportingState
from tests.experts.planning import BALANCED, EVEN, INTERVAL_S, SKEWED, PlanningWorld

_FULL = sum(SKEWED[0])
_OTHER = [[7000, 1000, 1000, 2000, 1500, 900]]
_THIRD = [[5000, 1000, 1000, 4000, 1000, 1000]]


def _reporting_group() -> PlanningWorld:
    """Return a group whose reports of all engines have arrived."""
    world = PlanningWorld(SKEWED)
    world.run(3 * INTERVAL_S)
    assert world.merged == pytest.approx(3 * _FULL, rel=0.01)
    return world


class TestReports:
    def test_lost_report_is_sent_again(self) -> None:
        """Guards against an engine whose last interval is missing until the next one ends."""
        world = _reporting_group()
        world.selections = [_OTHER for _ in world.names]
        for proc in world.processes.values():
            before = proc.node.part(ReportingState).sequence
            world.lost = {PopularityReport}
            while proc.node.part(ReportingState).sequence == before:
                world.run(1)
            world.lost = set()
            world.run(REPORT_RESEND_S + 1)
        assert world.merged == pytest.approx(3 * sum(_OTHER[0]), rel=0.01)

    def test_report_without_an_answer_is_sent_three_times_at_most(self) -> None:
        """Guards against the traffic of reports to an agent that has lost its lease."""
        world = _reporting_group()
        name = next(name for name in world.names if name != world.holder.peer.node)
        world.lost = {PopularityAnswer}
        before = len(world.history)
        world.run(3 * INTERVAL_S)
        sent = [each.event.message for each in world.history[before:] if each.event.peer.node == name]
        reports = [each.sequence for each in sent if isinstance(each, PopularityReport)]
        assert len(set(reports)) >= 2
        assert max(map(reports.count, reports)) == 3

    def test_report_after_a_lost_one_is_requested_in_full(self) -> None:
        """Guards against changes that are added to counts on which they are not based."""
        world = _reporting_group()
        world.lost = {PopularityReport}
        world.selections = [_OTHER for _ in world.names]
        world.run(INTERVAL_S)
        world.selections = [_THIRD for _ in world.names]
        for proc in world.processes.values():
            proc.node.part(ReportingState).resend_at = float('inf')
        world.lost = set()
        world.run(INTERVAL_S + 1)
        assert world.merged == pytest.approx(3 * sum(_THIRD[0]), rel=0.01)

    def test_lost_answer_does_not_count_a_report_twice(self) -> None:
        """Guards against changes that are merged again with each copy."""
        world = _reporting_group()
        world.lost = {PopularityAnswer}
        world.selections = [_OTHER for _ in world.names]
        world.run(3 * INTERVAL_S)
        assert world.merged == pytest.approx(3 * sum(_OTHER[0]), rel=0.01)

    def test_counts_of_a_restarted_rank_begin_again(self) -> None:
        """Guards against negative or missing counts after a rank restarted."""
        world = _reporting_group()
        world.restart_engine(1)
        world.selections = [_OTHER for _ in world.names]
        # Each agent reads exactly once in this time.
        world.run(INTERVAL_S - 10)
        assert world.merged == pytest.approx(3 * sum(_OTHER[0]), rel=0.01)

    def test_late_report_of_a_former_process_is_ignored(self) -> None:
        """Guards against counts of an agent's former process that replace the present ones."""
        world = _reporting_group()
        name = next(name for name in world.names if name != world.holder.peer.node)
        late = next(
            each.event
            for each in reversed(world.history)
            if each.event.peer.node == name
            and isinstance(each.event.message, PopularityReport)
            and each.event.message.full
        )
        world.start(name)
        world.selections = [_OTHER for _ in world.names]
        world.run(3 * INTERVAL_S)
        assert world.merged == pytest.approx(3 * sum(_OTHER[0]), rel=0.01)
        world.post(world.holder, late)
        assert world.merged == pytest.approx(3 * sum(_OTHER[0]), rel=0.01)

    def test_report_of_an_engine_comes_from_its_agent_only(self) -> None:
        """Guards against counts that another agent sends in an engine's name."""
        world = _reporting_group()
        holder = world.holder
        forged = PopularityReport(holder.activation.group, 'u0', 1 << 60, 1, True, b'')
        other = next(proc for proc in world.processes.values() if proc.peer.node != 'a0')
        world.post(holder, Received(other.peer, forged))
        assert world.merged == pytest.approx(3 * _FULL, rel=0.01)

    def test_new_holder_of_the_lease_gets_full_reports(self) -> None:
        """Guards against a coordinator that has no popularity until the counts change."""
        world = _reporting_group()
        former = world.holder.peer.node
        world.cut_control(former)
        world.run(25)
        assert world.holder.peer.node != former
        assert world.merged == pytest.approx(3 * _FULL, rel=0.01)

    def test_engine_that_hangs_is_called_once(self) -> None:
        """Guards against calls that queue up for an engine that does not answer."""
        world = _reporting_group()
        before = world.readings[1]
        world.stalled.add(1)
        world.run(3 * INTERVAL_S)
        assert world.readings[1] == before + 1


class TestGrowth:
    @pytest.mark.parametrize(
        ('fresh', 'grown'),
        [
            (RankCounts(Rank(0), 1, (7, 9)), [2, 3]),
            (RankCounts(Rank(0), 2, (1, 0)), [1, 0]),
            (RankCounts(Rank(0), 2, (70, 90)), [70, 90]),
            (RankCounts(Rank(0), 1, (6, 2)), [6, 2]),
            (RankCounts(Rank(5), 1, (6, 2)), [0, 0]),
        ],
    )
    def test_growth_of_a_rank(self, fresh: RankCounts, grown: list[int]) -> None:
        """Guards against counts that a restart or an unknown start of a rank distorts."""
        assert list(growth({Rank(0): RankCounts(Rank(0), 1, (5, 6))}, [fresh], 2)) == grown

    def test_ranks_of_an_engine_are_summed(self) -> None:
        """Guards against a report of one rank in place of all."""
        former = {Rank(rank): RankCounts(Rank(rank), 1, (rank, 10)) for rank in range(3)}
        fresh = [RankCounts(Rank(rank), 1, (2 * rank, 11)) for rank in range(3)]
        assert list(growth(former, fresh, 2)) == [3, 3]


class TestPlans:
    def test_skewed_popularity_leads_to_a_map_that_separates_hot_experts(self) -> None:
        """Guards against a group that keeps its even map, however uneven the load of its ranks is."""
        world = PlanningWorld(SKEWED)
        world.run_until_plan()
        world.finish_plan()
        world.run(5)
        assert world.versions == {2}
        current = world.holder.activation.current
        assert current is not None
        assert all(len({0, 3} & set(rank)) < 2 for rank in current.layers[0])
        world.run(PLAN_INTERVAL_S)
        assert not world.faults

    def test_group_plans_seldom_without_skew(self) -> None:
        """Guards against the cost of a plan in each interval that has nothing to gain."""
        world = PlanningWorld(BALANCED)
        world.run_until_plan()
        world.finish_plan()
        world.run(PLAN_INTERVAL_S - INTERVAL_S)
        assert not world.plans
        assert world.versions == {1}

    def test_skew_that_no_move_lowers_leads_to_no_early_plan(self) -> None:
        """Guards against the cost of a plan in each interval where one expert alone makes the skew."""
        world = PlanningWorld([[9000, 1000, 1000, 500, 1000, 1000]])
        world.run_until_plan()
        world.answer_plan(Plan(world.plans[0][1].current_map, skew_after=2.1))
        world.run(PLAN_INTERVAL_S - INTERVAL_S)
        assert not world.plans

    def test_group_plans_early_for_as_long_as_moves_lower_the_skew(self) -> None:
        """Guards against a group that waits 4 minutes after a plan that reached its bound on moves."""
        world = PlanningWorld(SKEWED)
        world.run_until_plan()
        target = ExpertMap(2, (tuple(reversed(EVEN)),))
        world.answer_plan(Plan(target, (Move(0, 0, 0, 2),), gain_s=1, skew_before=2, skew_after=2))
        world.run(2 * INTERVAL_S)
        assert world.versions == {2}
        assert world.plans

    def test_plan_that_costs_more_than_it_gains_is_not_installed(self) -> None:
        """Guards against moves of weights that do not pay off over the horizon."""
        world = PlanningWorld(SKEWED)
        world.run_until_plan()
        target = ExpertMap(2, (tuple(reversed(EVEN)),))
        world.answer_plan(Plan(target, (Move(0, 0, 0, 2),), gain_s=1, cost_s=1))
        world.run(5)
        assert world.versions == {1}

    def test_group_does_not_plan_on_reports_that_have_ceased(self) -> None:
        """Guards against a map for outdated counts."""
        world = PlanningWorld(BALANCED)
        world.run_until_plan()
        world.finish_plan()
        world.lost = {PopularityReport}
        world.run(2 * PLAN_INTERVAL_S)
        assert not world.plans

    @pytest.mark.parametrize('is_silent', [False, True])
    def test_too_few_counts_lead_to_no_plan(self, is_silent: bool) -> None:
        """Guards against a map for counts that vary by chance, or for those of only some engines."""
        world = PlanningWorld(SKEWED if is_silent else [[40, 1, 1, 40, 1, 1]])
        if is_silent:
            world.selections[1] = []
            world.start('a1')
        world.run(5 * INTERVAL_S)
        assert not world.plans


def _lose_and_regain(world: PlanningWorld) -> None:
    """Let the lease end and be granted to the same process again."""
    holder = world.holder
    world.cut_control(*world.names)
    world.run(20)
    assert holder.activation.lease is None
    world.cut_control(*(name for name in world.names if name != holder.peer.node))
    world.run(10)
    assert holder.activation.phase is Phase.IDLE


def _lose(world: PlanningWorld) -> None:
    former = world.holder
    world.cut_control(former.peer.node)
    world.run(25)
    assert world.holder is not former


def _install_another(world: PlanningWorld) -> None:
    world.want_even_map()
    world.run(5)
    assert world.versions == {2}


def _freeze(world: PlanningWorld) -> None:
    """Freeze the holder beyond its lease; the result of the plan arrives first when it resumes."""
    holder = world.holder
    world.freeze(holder.peer.node, amid_effects=False)
    world.run(16)
    holder.is_frozen = False


class TestOutdatedPlans:
    @pytest.mark.parametrize('change', [_lose_and_regain, _lose, _install_another, _freeze])
    def test_plan_from_a_former_lease_or_map_is_not_installed(
        self, change: Callable[[PlanningWorld], None]
    ) -> None:
        """Guards against a plan that is installed under another lease or on another map than its own."""
        world = PlanningWorld(SKEWED)
        world.run_until_plan()
        planner = world.plans[0][0]
        change(world)
        before = world.versions
        world.finish_plan()
        assert planner.activation.wanted is None
        world.thaw(planner.peer.node)
        world.run(2)
        assert world.versions == before
        assert not world.faults

    def test_next_plan_waits_for_the_outdated_one_and_is_installed(self) -> None:
        """Guards against plans that queue up on the thread, and against a group that stops planning."""
        world = PlanningWorld(SKEWED)
        world.run_until_plan()
        _lose_and_regain(world)
        world.run(2 * INTERVAL_S)
        assert len(world.plans) == 1
        world.finish_plan()
        world.run_until_plan()
        world.finish_plan()
        world.run(5)
        assert world.versions == {2}
