import pytest

from basilcove.experts.remote.events import CallRank
from basilcove.experts.remote.models import GroupChange, Phase
from basilcove.experts.remote.orders import ArmMap, HoldStep, OrderResult, PrepareMap, ReleaseStep
from basilcove.experts.remote.phases import start_change
from basilcove.experts.remote.popularity import sampled_ranks
from tests.experts.remote.ranks import FakeGroup

# An order without an answer takes effect within this time.
LATE_S = 12
# A copy takes 0.1 s here; the rest are orders and the steps until the change.
QUICK_CHANGE_S = 1.2
SEEDS = range(25)


class SilentGroup(FakeGroup):
    """A group whose ranks carry out some types of orders at once and don't answer them."""

    def _send(self, change: GroupChange, effect: CallRank) -> None:
        if isinstance(effect.call, self.lost):
            self._apply(effect, None)
            self._at(0.4, lambda: self._answer(change, effect, OrderResult.UNKNOWN))
        else:
            super()._send(change, effect)


class TestChanges:
    def test_maps_change_without_a_stall(self) -> None:
        """Guards against a group that waits at the step of the switch, and one whose map never changes."""
        group = FakeGroup(seed=1)
        leader = group.lead(token=1)
        group.run(30)
        assert leader.changes >= 8
        assert not group.is_split
        assert not group.stalled_s

    @pytest.mark.parametrize('seed', SEEDS)
    def test_change_is_quick_where_no_order_is_lost(self, seed: int) -> None:
        """Guards against maps that take effect only after popularity has changed again."""
        group = FakeGroup(seed)
        leader = group.lead(token=1)
        group.run(60)
        assert leader.changes >= 60 / QUICK_CHANGE_S
        assert not group.stalled_s

    def test_step_lies_farther_ahead_after_a_lost_order(self) -> None:
        """Guards against a group that waits at the step of the switch for orders that are retried."""
        assert self._steps_ahead((PrepareMap,)) > self._steps_ahead(())

    def test_change_goes_on_if_its_step_begins_before_the_hold(self) -> None:
        """Guards against seconds without a change because passes were shorter than expected once."""
        group = FakeGroup(seed=1)
        leader = group.lead(token=1)
        while leader.phase is not Phase.HOLDING:
            group.run(0.001)
        group.step = leader.step
        group.run(QUICK_CHANGE_S)
        assert leader.changes
        assert not group.is_split

    def _steps_ahead(self, lost: tuple[type, ...]) -> int:
        """Return how many steps ahead the switch is if these orders are lost for a moment."""
        group = FakeGroup(seed=1, lost=lost)
        leader = group.lead(token=1)
        while leader.phase is not Phase.PREPARING:
            group.run(0.01)
        group.run(0.05)
        group.lost = ()
        while leader.phase is not Phase.ARMING:
            group.run(0.01)
        return leader.step - group.step

    @pytest.mark.parametrize('size', [8, 40, 129, 200])
    def test_large_group_on_a_busy_host(self, size: int) -> None:
        """Guards against orders that are repeated, and refused, before the host has read their answers."""
        group = FakeGroup(seed=1, size=size, work_s=0.002)
        leader = group.lead(token=1)
        group.run(30)
        assert leader.changes >= 4
        assert group.sent[PrepareMap] <= (leader.changes + 1) * size
        assert not group.is_split
        group.loss = 0.1
        group.run(30)
        assert not group.is_split

    @pytest.mark.parametrize('seed', SEEDS)
    def test_large_group_does_not_wait_at_the_step(self, seed: int) -> None:
        """Guards against events of all streams that are late since orders to many ranks take longer."""
        group = FakeGroup(seed, size=72, work_s=0.002)
        leader = group.lead(token=1)
        group.run(30)
        assert leader.changes >= 8
        assert not group.stalled_s

    def test_few_ranks_of_a_large_group_are_read(self) -> None:
        """Guards against readings of counts, each of which pauses the group, that make all streams late."""
        group = FakeGroup(seed=1, size=129)
        leader = group.lead(token=1)
        assert len(sampled_ranks(leader)) == 3

    @pytest.mark.parametrize('seed', SEEDS)
    def test_lost_and_late_orders_never_split_a_group(self, seed: int) -> None:
        """Guards against ranks with two maps when orders get no answer and take effect late."""
        group = FakeGroup(seed, loss=0.4)
        leader = group.lead(token=1)
        group.run(120)
        assert not group.is_split
        assert leader.changes
        group.loss = 0
        group.run(LATE_S + 8)
        step = group.step
        group.run(5)
        assert group.step > step

    @pytest.mark.parametrize('seed', SEEDS)
    @pytest.mark.parametrize('fences_late_orders', [True, False])
    def test_changes_of_leaders_never_split_a_group(self, seed: int, *, fences_late_orders: bool) -> None:
        """Guards against ranks with two maps, or a hold that never ends, when leaders die or are frozen."""
        group = FakeGroup(seed, loss=0.2, fences_late_orders=fences_late_orders)
        for token in range(1, 9):
            group.lead(token)
            group.run(group.rng.uniform(0.2, 9))
            # The former leader died, or stays active for a while without knowing of the next one.
            if group.rng.choice((True, False)):
                group.leaders.clear()
            else:
                group.leaders = group.leaders[-1:]
        assert not group.is_split
        group.loss = 0
        leader = group.lead(token=9)
        group.run(2 * LATE_S + 8)
        changes, step = leader.changes, group.step
        group.run(10)
        assert not group.is_split
        assert group.step > step
        assert leader.changes > changes

    @pytest.mark.parametrize('seed', SEEDS)
    def test_new_epochs_never_split_a_group(self, seed: int) -> None:
        """Guards against orders of a former epoch that reach a group in its next epoch."""
        group = FakeGroup(seed, loss=0.3)
        for token in range(1, 8):
            group.leaders.clear()
            group.lead(token)
            group.run(group.rng.uniform(0.2, 6))
            group.restart()
        assert not group.is_split

    @pytest.mark.parametrize('lost', [HoldStep, ArmMap])
    def test_orders_that_are_carried_out_without_an_answer(self, lost: type) -> None:
        """Guards against a group that waits for an answer though the reports show what it would tell."""
        group = SilentGroup(seed=1, lost=(lost,), report_lag_s=0.4)
        leader = group.lead(token=1)
        group.run(30)
        assert not group.is_split
        assert leader.changes > 1

    def test_releases_are_never_answered(self) -> None:
        """Guards against a leader that asks for an answer to a release for ever."""
        group = FakeGroup(seed=1, lost=(ReleaseStep,))
        leader = group.lead(token=1)
        group.run(60)
        assert not group.is_split
        assert leader.changes > 1

    def test_late_hold_is_released(self) -> None:
        """Guards against a group that is held forever by an aborted change."""
        group = FakeGroup(seed=1, lost=(HoldStep,))
        leader = group.lead(token=1)
        group.run(40)
        assert not leader.changes
        group.lost = ()
        group.run(2 * LATE_S)
        assert leader.changes
        step = group.step
        group.run(5)
        assert group.step > step

    @pytest.mark.parametrize('seed', SEEDS)
    def test_arming_of_a_dead_leader_is_completed(self, seed: int) -> None:
        """Guards against a hold that ends while unanswered arming orders can still take effect."""
        group = FakeGroup(seed, lost=(ArmMap,), fences_late_orders=False)
        first = group.lead(token=1)
        while first.phase is not Phase.ARMING:
            group.run(0.1)
        group.run(0.5)
        group.leaders.clear()
        group.lost = ()
        second = group.lead(token=2)
        group.run(3 * LATE_S)
        assert not group.is_split
        assert second.changes

    def test_leaders_never_share_a_version(self) -> None:
        """Guards against two maps under one version, from leaders that do not know of each other."""
        group = FakeGroup(seed=1)
        leaders = [group.lead(token) for token in (1, 2)]
        for leader in leaders:
            list(start_change(leader, (), 0))
        assert leaders[0].target_version < leaders[1].target_version

    def test_fenced_leader_stops(self) -> None:
        """Guards against two leaders that stay active side by side."""
        group = FakeGroup(seed=3)
        former = group.lead(token=1)
        group.run(5)
        newer = group.lead(token=2)
        group.run(5)
        assert former.is_fenced
        assert not newer.is_fenced
        assert newer.phase is not Phase.FENCING
