"""Fake ranks of a group, as the engines' pages describe them; orders may be lost or take effect late."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from basilcove.core.ids import GroupName, InstanceId, Rank, ServiceName
from basilcove.experts.remote.calls import enter_phase
from basilcove.experts.remote.events import CallRank, RankAnswered
from basilcove.experts.remote.models import ExpertLayout, GroupChange, GroupIdentity, Phase, RankAddress
from basilcove.experts.remote.orders import (
    ArmMap,
    DisarmMap,
    HoldStep,
    Order,
    OrderResult,
    PrepareMap,
    RankLists,
    RankReport,
    ReadLists,
    ReadReport,
    ReleaseStep,
    Reply,
)
from basilcove.experts.remote.phases import advance, handle_answer, start_change, survey
from basilcove.experts.remote.planning import first_layers

RANKS = 3
PASS_S = 0.08
COPY_S = 0.1
TICK_S = 0.1
RECORD_S = 0.02


@dataclass
class FakeRank:
    """One rank; ``newest`` is the highest version that it ever had."""

    version: int = 0
    newest: int = 0
    layers: object = None
    prepared: int | None = None
    prepared_layers: object = None
    copied_at: float = 0
    armed: tuple[int, int] | None = None
    held: int | None = None
    fence: int = 0


@dataclass
class FakeGroup:
    """A group in lock-step under a virtual clock; ``is_split`` once a pass began with two maps."""

    seed: int
    loss: float = 0
    # Orders of these types always get no answer and take effect late.
    lost: tuple[type, ...] = ()
    fences_late_orders: bool = True
    # Reports show the state of so long before.
    report_lag_s: float = 0
    # A group without requests begins no passes.
    is_idle: bool = False
    # Number of ranks, and the time that the control host takes for each call, one call after the other.
    size: int = RANKS
    work_s: float = 0
    now: float = 0
    step: int = 0
    epoch: int = 1
    is_split: bool = False
    stalled_s: float = 0
    ranks: list[FakeRank] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.ranks = [FakeRank() for _ in range(self.size)]
        self.layout = ExpertLayout(2, 2 * self.size, 3, 1)
        self.sent: Counter[type] = Counter()
        self._busy_until = 0.0
        self.leaders: list[GroupChange] = []
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._states: list[tuple[float, list[FakeRank]]] = []
        self._at(PASS_S, self._pass)
        if self.report_lag_s:
            self._at(0, self._record)

    def _record(self) -> None:
        self._states.append((self.now, [replace(rank) for rank in self.ranks]))
        self._at(RECORD_S, self._record)

    def _reported(self, number: Rank) -> FakeRank:
        """Return the state that a report of a rank shows."""
        if not self.report_lag_s:
            return self.ranks[number]
        until = self.now - self.report_lag_s
        shown = [ranks[number] for at, ranks in self._states if at <= until or at == 0]
        return shown[-1]

    # Leaders.

    @property
    def identity(self) -> GroupIdentity:
        """Identity of the group in its present epoch."""
        return GroupIdentity(GroupName('g'), ServiceName('s'), self.epoch)

    def lead(self, token: int) -> GroupChange:
        """Add a leader; earlier ones stay active."""
        addresses = {
            Rank(rank): RankAddress(InstanceId(f'i-{rank}'), f'h:{rank}') for rank in range(self.size)
        }
        change = GroupChange(self.identity, token, addresses, self.layout)
        self.leaders.append(change)
        self._at(0, lambda: self._tick(change))
        return change

    def _tick(self, change: GroupChange) -> None:
        if change not in self.leaders or change.is_fenced:
            return
        self._carry_out(change, list(advance(change, self.now)))
        if change.phase is Phase.IDLE and not change.calls and self.now >= change.backoff_until:
            self._carry_out(change, list(survey(change, self.now)))
        elif change.phase is Phase.SURVEYED:
            self._carry_out(change, list(enter_phase(change, Phase.IDLE, self.now)))
            # Each leader wants another map, and a new one each time.
            rotation = (change.token + change.changes) % self.size
            layers = tuple(
                (*layer[rotation:], *layer[:rotation])
                for layer in first_layers(self.layout.layers, self.layout.experts, self.size)
            )
            self._carry_out(change, list(start_change(change, layers, self.now)))
        self._at(TICK_S, lambda: self._tick(change))

    def _carry_out(self, change: GroupChange, effects: list[object]) -> None:
        for effect in effects:
            if isinstance(effect, CallRank):
                self._send(change, effect)

    def _send(self, change: GroupChange, effect: CallRank) -> None:
        is_order = not isinstance(effect.call, ReadReport | ReadLists)
        if is_order and (isinstance(effect.call, self.lost) or self.rng.random() < self.loss):
            # The order gets no answer and takes effect 2 to 12 s later.
            late = self.rng.uniform(2, 12)
            fence = None if self.fences_late_orders else self.ranks[effect.rank].fence
            self._at(late, lambda: self._apply(effect, fence))
            self._at(0.4, lambda: self._answer(change, effect, OrderResult.UNKNOWN))
            return
        self.sent[type(effect.call)] += 1
        self._busy_until = max(self._busy_until, self.now) + self.work_s
        waits_s = self._busy_until - self.now
        self._at(waits_s + self.rng.uniform(0.001, 0.02), lambda: self._arrive(change, effect))

    def _arrive(self, change: GroupChange, effect: CallRank) -> None:
        reply = self._apply(effect, None)
        self._at(self.rng.uniform(0.001, 0.02), lambda: self._answer(change, effect, reply))

    def _answer(self, change: GroupChange, effect: CallRank, reply: Reply) -> None:
        if change not in self.leaders:
            return
        event = RankAnswered(
            effect.group, effect.rank, effect.number, effect.epoch, effect.token, effect.call, reply
        )
        self._carry_out(change, list(handle_answer(change, event, self.now)))

    # Ranks.

    def _apply(self, effect: CallRank, fence: int | None) -> Reply:
        rank = self.ranks[effect.rank]
        call = effect.call
        if isinstance(call, ReadReport):
            rank = self._reported(effect.rank)
            prepared = rank.prepared if self.now >= rank.copied_at else None
            return RankReport(self.epoch, self.step, rank.version, prepared, rank.armed, rank.held)
        if isinstance(call, ReadLists):
            return RankLists(self.epoch, rank.version, ((effect.rank,),) * self.layout.layers)
        present = rank.fence if fence is None else fence
        if effect.token < present:
            return OrderResult.FENCED
        rank.fence = max(rank.fence, effect.token)
        if effect.epoch != self.epoch:
            return OrderResult.CONFLICT
        assert isinstance(call, Order)
        return self._order(rank, call)

    def _order(self, rank: FakeRank, call: Order) -> OrderResult:
        if isinstance(call, PrepareMap):
            return self._prepare(rank, call)
        if isinstance(call, ArmMap):
            return self._arm(rank, call)
        if isinstance(call, HoldStep):
            if call.step <= self.step or rank.held not in {None, call.step}:
                return OrderResult.CONFLICT
            rank.held = call.step
        if isinstance(call, ReleaseStep) and rank.held == call.step:
            rank.held = None
        if isinstance(call, DisarmMap):
            if call.version == rank.version:
                return OrderResult.CONFLICT
            if rank.armed and rank.armed[0] == call.version:
                rank.armed = None
        return OrderResult.ACCEPTED

    def _prepare(self, rank: FakeRank, call: PrepareMap) -> OrderResult:
        if call.version == rank.prepared:
            return OrderResult.ACCEPTED
        if call.version <= rank.newest or rank.armed:
            return OrderResult.CONFLICT
        rank.prepared = call.version
        rank.newest = call.version
        rank.prepared_layers = call.layers
        rank.copied_at = self.now + COPY_S
        return OrderResult.ACCEPTED

    def _arm(self, rank: FakeRank, call: ArmMap) -> OrderResult:
        wanted = (call.version, call.step)
        if rank.armed == wanted:
            return OrderResult.ACCEPTED
        if call.version != rank.prepared or call.step <= self.step:
            return OrderResult.CONFLICT
        rank.armed = wanted
        return OrderResult.ACCEPTED

    def _pass(self) -> None:
        following = self.step + 1
        if self.is_idle:
            self._at(PASS_S, self._pass)
            return
        if any(rank.held == following for rank in self.ranks):
            self.stalled_s += PASS_S
        else:
            self.step = following
            for rank in self.ranks:
                if rank.armed and rank.armed[1] == following:
                    rank.version, rank.armed, rank.prepared = rank.armed[0], None, None
                    rank.layers = rank.prepared_layers
            maps = {(each.version, each.layers) for each in self.ranks}
            self.is_split = self.is_split or len(maps) > 1
        self._at(PASS_S, self._pass)

    def restart(self) -> None:
        """Start a new epoch of the group, as after the crash of a rank."""
        self.epoch += 1
        self.ranks = [FakeRank() for _ in range(self.size)]

    # Time.

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._numbers), action))
