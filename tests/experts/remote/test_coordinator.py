import itertools
import math
from collections.abc import Iterable

import pytest

from basilcove.concurrency.limits import LoadLimit
from basilcove.concurrency.models import ConcurrencyState, GroupRecord
from basilcove.consensus.models import ConsensusState, Member, Members, MemberState
from basilcove.core.events import Effect, Event, Send, Tick
from basilcove.core.ids import GroupName, Incarnation, InstanceId, NodeId, Rank, ServiceName
from basilcove.core.reducer import Node, reduce
from basilcove.experts.remote import coordinator as _remote  # noqa: F401
from basilcove.experts.remote.const import COUNTS_INTERVAL_S
from basilcove.experts.remote.events import CallRank, RankAnswered
from basilcove.experts.remote.models import ExpertLayout, GroupChange, RemoteGroups
from basilcove.experts.remote.orders import (
    OrderResult,
    PrepareMap,
    RankCounts,
    RankLists,
    RankReport,
    ReadCounts,
    ReadLists,
    ReadReport,
    Reply,
)
from basilcove.gateway.messages import OpenAttempts, SlowInstances
from basilcove.gateway.totals import AttemptTotals
from basilcove.registry.models import RegistryState, Row
from tests.gateway.world import SLOTS, registration

GATEWAY = NodeId('gateway-1')
RANKS = 6
EXPERTS = 2 * RANKS
TICK_S = 0.1


class Leader:
    """A control leader with one remote group, whose ranks answer immediately."""

    def __init__(self) -> None:
        alone = Members((Member(NodeId('c-1'), 'c-1/1', voter=True),))
        consensus = ConsensusState(
            NodeId('c-1'),
            Incarnation(1),
            (),
            member_state=MemberState.LEADER,
            member='c-1/1',
            term=1,
            history=[(0, alone)],
        )
        self.groups = RemoteGroups({ServiceName('desk'): ExpertLayout(1, EXPERTS, 4, 2)})
        registry = RegistryState(gateways={GATEWAY})
        for rank in range(RANKS):
            entry = registration(
                f'i-{rank}', group=GroupName('g'), epoch=1, rank=Rank(rank), group_size=RANKS
            )
            registry.rows[entry.instance] = Row(entry, renewed_at=math.inf)
        self.node = Node(consensus, self.groups, registry, AttemptTotals())
        self.slowness: dict[int, float] = {}
        self.version = 0
        self.read_at: list[float] = []
        self.orders: list[str] = []
        self.prepared_at: list[float] = []
        self.notified: list[tuple[InstanceId, ...]] = []
        self.now = 100.0
        self.is_answering = True
        self._counted = itertools.count(1)

    def run(self, seconds: float, *, used_slots: int = SLOTS) -> None:
        """Let time pass with ``used_slots`` slots of each rank in use."""
        totals = self.node.part(AttemptTotals)
        totals.reported[GATEWAY] = OpenAttempts({f'i-{rank}': used_slots for rank in range(RANKS)})
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._apply(Tick())

    def _apply(self, event: Event) -> None:
        self._carry_out(reduce(self.node, event, self.now, self.now))

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.message, SlowInstances):
                assert effect.node == GATEWAY
                self.notified.append(effect.message.instances)
            if isinstance(effect, CallRank) and self.is_answering:
                reply = self._reply(effect)
                self._apply(
                    RankAnswered(
                        effect.group,
                        effect.rank,
                        effect.number,
                        effect.epoch,
                        effect.token,
                        effect.call,
                        reply,
                    )
                )

    def answer_all(self, change: GroupChange, token: int) -> None:
        """Accept the calls of a change, as answers to calls that were sent under a token."""
        identity = change.identity
        for rank, pending in tuple(change.pending_calls.items()):
            call = change.calls[rank]
            answer = RankAnswered(
                identity.name, rank, pending.number, identity.epoch, token, call, OrderResult.ACCEPTED
            )
            self._apply(answer)

    def _reply(self, effect: CallRank) -> Reply:
        if isinstance(effect.call, ReadReport):
            step = int(10 * self.now)
            return RankReport(1, step, self.version, slowness=self.slowness.get(effect.rank, 1))
        if isinstance(effect.call, ReadLists):
            return RankLists(1, self.version, ((effect.rank, effect.rank + RANKS),))
        if isinstance(effect.call, ReadCounts):
            self.read_at.append(self.now)
            return RankCounts(1, (10 * next(self._counted),) * EXPERTS)
        self.orders.append(type(effect.call).__name__)
        if isinstance(effect.call, PrepareMap):
            self.prepared_at.append(self.now)
        return OrderResult.ACCEPTED


class TestSlowRanks:
    def test_gateways_are_notified_while_a_rank_is_slow_and_once_after(self) -> None:
        """Guards against gateways that send work to a slow rank, for which its whole group waits."""
        leader = Leader()
        leader.run(3)
        assert not leader.notified
        leader.slowness = {2: 5}
        leader.run(3)
        assert leader.notified
        assert set(leader.notified) == {('i-2',)}
        leader.slowness = {}
        leader.run(8)
        assert leader.notified[-1] == ()
        notified = len(leader.notified)
        leader.run(3)
        assert len(leader.notified) == notified

    def test_slow_ranks_are_watched_while_the_group_is_idle(self) -> None:
        """Guards against a slow rank that gets work again once the load without it is low."""
        leader = Leader()
        leader.slowness = {2: 5}
        leader.run(3)
        notified = len(leader.notified)
        leader.run(8, used_slots=0)
        assert len(leader.notified) > notified
        assert leader.notified[-1] == ('i-2',)

    def test_group_that_is_slow_as_a_whole_causes_no_notification(self) -> None:
        """Guards against a few ranks that get the work of all the others."""
        leader = Leader()
        leader.slowness = dict.fromkeys(range(RANKS), 5.0)
        leader.run(3)
        assert not leader.notified

    def test_slow_ranks_lead_to_another_map(self) -> None:
        """Guards against a map that leaves a slow rank its experts because popularity is even."""
        leader = Leader()
        leader.run(3)
        assert 'PrepareMap' not in leader.orders
        leader.slowness = {2: 5}
        leader.run(3)
        assert 'PrepareMap' in leader.orders


class TestCounts:
    def test_second_reading_follows_soon_after_a_change_of_leader(self) -> None:
        """Guards against seconds with an old map: a first reading covers only the past."""
        leader = Leader()
        leader.version = 3
        leader.run(4)
        first, second, third = sorted(set(leader.read_at))[:3]
        assert second - first < COUNTS_INTERVAL_S / 2
        assert third - second >= COUNTS_INTERVAL_S - TICK_S

    def test_first_map_is_replaced_at_a_lower_load(self) -> None:
        """Guards against a skewed first map until most slots are in use."""
        leader = Leader()
        leader.run(3, used_slots=SLOTS // 2)
        assert leader.read_at
        later = Leader()
        later.version = 3
        later.run(3, used_slots=SLOTS // 2)
        assert not later.read_at

    def test_load_is_measured_against_the_limit_of_the_group(self) -> None:
        """Guards against maps that never change while a limit keeps the group below most of its slots."""
        leader = Leader()
        leader.version = 3
        record = GroupRecord(limit=LoadLimit(SLOTS / 2), ranks=RANKS)
        leader.node.add(ConcurrencyState({GroupName('g'): record}))
        leader.run(3, used_slots=SLOTS // 2)
        assert leader.read_at

    def test_counts_are_read_more_often_where_copies_take_long(self) -> None:
        """Guards against maps that are planned half a change of popularity later than they could be."""
        leader = Leader()
        leader.version = 3
        leader.groups.layouts[ServiceName('desk')] = ExpertLayout(1, EXPERTS, 4, 2, copy_s=1)
        leader.run(5)
        intervals = [later - earlier for earlier, later in itertools.pairwise(sorted(set(leader.read_at)))]
        assert max(intervals) < COUNTS_INTERVAL_S - TICK_S

    def test_maps_change_at_a_lower_load_where_copies_take_long(self) -> None:
        """Guards against maps that are planned only once passes are long, and come too late for that load."""
        leader = Leader()
        leader.version = 3
        leader.groups.layouts[ServiceName('desk')] = ExpertLayout(1, EXPERTS, 4, 2, copy_s=1)
        leader.run(3, used_slots=SLOTS // 2)
        assert leader.read_at

    def test_plan_follows_a_reading_immediately(self) -> None:
        """Guards against tenths of a second between reading counts and the orders that follow from them."""
        leader = Leader()
        leader.slowness = {2: 5}
        leader.run(3)
        assert (
            leader.prepared_at[0] - max(at for at in leader.read_at if at <= leader.prepared_at[0])
            < TICK_S / 2
        )


class TestIncompleteGroup:
    def test_change_goes_on_while_a_rank_is_silent(self) -> None:
        """Guards against a hold and orders that nobody knows of after one late heartbeat."""
        leader = Leader()
        leader.run(2)
        former = leader.groups.changes[GroupName('g')]
        row = leader.node.part(RegistryState).rows[InstanceId('i-0')]
        row.is_silent = True
        leader.run(TICK_S)
        readings = len(leader.read_at)
        leader.run(2 * COUNTS_INTERVAL_S)
        assert leader.groups.changes[GroupName('g')] is former
        assert len(leader.read_at) <= readings + RANKS
        row.is_silent = False
        leader.run(2 * COUNTS_INTERVAL_S)
        assert leader.groups.changes[GroupName('g')] is former
        assert len(leader.read_at) > readings

    @pytest.mark.parametrize('is_newer_first', [True, False])
    def test_silent_rows_of_a_former_epoch(self, *, is_newer_first: bool) -> None:
        """Guards against a leader that stays with an epoch whose instances were all replaced."""
        leader = Leader()
        leader.run(2)
        rows = leader.node.part(RegistryState).rows
        former = dict(rows)
        for row in former.values():
            row.is_silent = True
        newer = {}
        for rank in range(RANKS):
            entry = registration(
                f'n-{rank}', group=GroupName('g'), epoch=2, rank=Rank(rank), group_size=RANKS
            )
            newer[entry.instance] = Row(entry, renewed_at=math.inf)
        rows.clear()
        rows.update({**newer, **former} if is_newer_first else {**former, **newer})
        leader.run(TICK_S)
        assert leader.groups.changes[GroupName('g')].identity.epoch == 2

    def test_group_with_a_silent_rank_is_not_taken_over(self) -> None:
        leader = Leader()
        leader.node.part(RegistryState).rows[InstanceId('i-0')].is_silent = True
        leader.run(2)
        assert not leader.groups.changes

    def test_group_is_taken_over_again(self) -> None:
        """Guards against late orders and answers of a change that the leader has dropped since."""
        leader = Leader()
        leader.run(2)
        former = leader.groups.changes[GroupName('g')]
        rows = leader.node.part(RegistryState).rows
        row = rows.pop(InstanceId('i-0'))
        leader.run(TICK_S)
        assert not leader.groups.changes
        rows[InstanceId('i-0')] = row
        leader.is_answering = False
        leader.run(TICK_S)
        change = leader.groups.changes[GroupName('g')]
        assert change.token > former.token
        assert change.pending_calls
        for token in (former.token, change.token):
            leader.answer_all(change, token)
            assert bool(change.completed) is (token == change.token)
