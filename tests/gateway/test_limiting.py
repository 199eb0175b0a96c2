import asyncio
import itertools
import random
from dataclasses import replace
from typing import Any

import pytest

from basilcove.concurrency.const import LIMIT_LIFETIME_S
from basilcove.concurrency.messages import ConcurrencyLimits, GroupLimit, PauseReport
from basilcove.concurrency.pauses import PauseMeter, bucket_of
from basilcove.concurrency.rooms import sum_groups
from basilcove.core.events import Received, Send, Tick
from basilcove.core.ids import GroupName, InstanceId, Rank, Revision, Zone
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment
from basilcove.gateway.events import AttemptResult, Refuse, StartAttempt, StreamPaused
from basilcove.registry.messages import Registrations, RegistrationState
from tests.gateway.loopback import TIMEOUT_S, Upstream, UpstreamCall, running
from tests.gateway.world import (
    CONTROL,
    OTHER_CONTROL,
    SLOTS,
    World,
    document,
    only_start,
    registration,
    starts,
)

GROUP = GroupName('g')
SERVICE = registration('up-0').service
RANKS = 4
TARGET_S = 0.15
# Time between two events of a stream.
PAUSE_S = 0.05


def with_target() -> dict[str, Any]:
    content = document()
    for route in ('brief', 'summary'):
        content['routes'][route]['target_pause_s'] = TARGET_S
    return content


class Limited(World):
    """A gateway with a group of which it may have a limit."""

    def __init__(self) -> None:
        super().__init__()
        self.apply_document(with_target(), 2)
        self.register(
            *(
                registration(f'up-{rank}', group=GROUP, rank=Rank(rank), group_size=RANKS)
                for rank in range(RANKS)
            )
        )

    def limit(self, limit: float, source: Any = CONTROL) -> None:
        self.apply(Received(source, ConcurrencyLimits((GroupLimit(GROUP, limit),))))

    def count_admitted(self, path: str = '/brief/') -> int:
        return sum(len(list(starts(self.ask(path)))) for _ in range(2 * RANKS * SLOTS))


class TestAdmission:
    def test_limit_bounds_the_total_of_the_group(self) -> None:
        """Guards against a limit of whole streams a rank, and against streams beyond the limit."""
        world = Limited()
        world.limit(9.5)
        world.report_others({'up-0': 3})
        assert world.count_admitted() == 7
        assert (
            max(world.state.pools.load(each, world.now) for each in world.state.pools.by_instance.values())
            == 3
        )
        refusal = next(effect for effect in world.ask('/brief/') if isinstance(effect, Refuse))
        assert refusal.status == 503
        assert refusal.retry_after_s

    def test_less_urgent_streams_leave_room(self) -> None:
        """Guards against less urgent work that takes all that the limit allows."""
        world = Limited()
        world.limit(10)
        # Below the floor of its level a part is admitted as urgent.
        assert len(list(starts([effect for _ in range(7) for effect in world.ask('/summary/')]))) == 7
        assert not list(starts(world.ask('/summary/')))
        assert list(starts(world.ask('/brief/')))

    def test_limit_without_news_ends(self) -> None:
        """Guards against a limit that outlives the control hosts, and against one of another host."""
        world = Limited()
        world.limit(1, OTHER_CONTROL)
        assert not world.state.pools.limits.limits
        world.limit(4)
        world.now += 1.5 * LIMIT_LIFETIME_S
        room = world.state.pools.rooms(registration('up-0').service, world.now)[GROUP]
        assert room.limit == (4 + RANKS * SLOTS) / 2
        world.now += LIMIT_LIFETIME_S
        assert world.count_admitted() >= RANKS * SLOTS

    def test_group_with_room_is_preferred(self) -> None:
        """Guards against requests that are refused by a full group while another one has room."""
        world = Limited()
        world.register(registration('other', group=GroupName('h'), group_size=1))
        world.limit(1)
        instances = {only_start(world.ask('/brief/')).instance for _ in range(3)}
        assert 'other' in instances


class TestReports:
    def test_pauses_are_reported_with_the_target(self) -> None:
        """Guards against control hosts that don't know the pauses, and against a message for each pause."""
        world = Limited()
        start = only_start(world.ask('/brief/'))
        assert start.measures_pauses
        for is_first in (True, False):
            world.apply(StreamPaused(start.key, start.number, 0.1, is_first))
        pauses = self._reports(world)[0].groups[0]
        assert (pauses.counts, pauses.target_s, pauses.streams) == ({bucket_of(0.1): 2}, TARGET_S, 1)
        world.apply(StreamPaused(start.key, start.number, 0.1, is_first=False))
        assert not self._reports(world)
        world.now += 0.2
        assert self._reports(world)

    def test_nothing_is_measured_without_target_or_group(self) -> None:
        """Guards against costs and limits where none are configured."""
        world = World('up-1')
        world.apply_document(with_target(), 2)
        assert not only_start(world.ask('/brief/')).measures_pauses
        plain = Limited()
        plain.apply_document(document(), 3)
        assert not only_start(plain.ask('/brief/')).measures_pauses

    def _reports(self, world: World) -> list[PauseReport]:
        sends = [effect for effect in world.apply(Tick()) if isinstance(effect, Send)]
        return [send.message for send in sends if isinstance(send.message, PauseReport)]


class RecordingMeter(PauseMeter):
    """Keeps each pause, and reports none."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[tuple[float, bool]] = []

    def record(self, group: GroupName, pause_s: float, target_s: float, *, is_first: bool) -> None:
        """Keep a pause."""
        self.seen.append((pause_s, is_first))


class TestPauses:
    def test_only_time_between_events_of_one_attempt_counts(self) -> None:
        """Guards against the wait for the first event, or that for another upstream, taken for a pause."""

        async def broken(call: UpstreamCall) -> None:
            await asyncio.sleep(6 * PAUSE_S)
            await call.begin_stream()
            await call.chunk(b'id: 1\ndata: 1\n\n')
            await asyncio.sleep(PAUSE_S)
            await call.chunk(b'id: 2\ndata: 2\n\n')
            await asyncio.sleep(PAUSE_S)
            call.cut()

        async def rest(call: UpstreamCall) -> None:
            await asyncio.sleep(6 * PAUSE_S)
            await call.begin_stream()
            await call.chunk(b'id: 3\ndata: 3\n\n')
            await call.chunk(b'')

        async def check() -> None:
            async with running(Upstream([broken]), Upstream([rest])) as gateway:
                meter = RecordingMeter()
                gateway.state.pauses = meter
                environment = Environment.model_validate(with_target())
                gateway.runtime.apply(EnvironmentChanged(Revision(9), environment))
                members = [
                    replace(each.registration, sequence=9, group=GROUP, zone=Zone('ab'[index]))
                    for index, each in enumerate(gateway.state.pools.by_instance.values())
                ]
                gateway.runtime.apply(Received(CONTROL, Registrations(tuple(members), (), 1)))
                answer = await gateway.ask('/brief/x')
                assert answer.body.count(b'data') == 3
                assert [is_first for _, is_first in meter.seen] == [True]
                assert meter.seen[0][0] < 6 * PAUSE_S

        asyncio.run(asyncio.wait_for(check(), 2 * TIMEOUT_S))


class Changing(Limited):
    """A limited gateway whose attempts, upstreams and counts change at random."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.limit(RANKS * SLOTS / 2)
        self.rng = random.Random(seed)
        self.open: list[StartAttempt] = []
        self.sequences = itertools.count(2)

    def change(self) -> None:
        """Apply one change."""
        changes = (self._ask, self._ask, self._end, self._report, self._register, self._restart, self._lose)
        self.rng.choice(changes)(f'up-{self.rng.randrange(RANKS)}')

    def _ask(self, name: str) -> None:
        self.open.extend(starts(self.ask('/brief/')))

    def _end(self, name: str) -> None:
        if self.open:
            self.end(self.open.pop(self.rng.randrange(len(self.open))), AttemptResult.ANSWERED)

    def _report(self, name: str) -> None:
        self.report_others({name: self.rng.randrange(4)})

    def _register(self, name: str) -> None:
        details = {
            'born_ms': self.state.pools.by_instance[InstanceId(name)].registration.born_ms,
            'group': self.rng.choice((GROUP, GROUP, GroupName('h'))),
            'standing': self.rng.choice((*RegistrationState, RegistrationState.READY)),
        }
        self.register(registration(name, next(self.sequences), **details))

    def _restart(self, name: str) -> None:
        self.register(registration(name, 1, group=GROUP, born_ms=next(self.sequences)))

    def _lose(self, name: str) -> None:
        if not self.rng.randrange(10):
            self.state.pools.other_attempts = None


class TestTotals:
    @pytest.mark.parametrize('seed', range(20))
    def test_totals_follow_every_change(self, seed: int) -> None:
        """Guards against a group that seems to have room, or none, since an old sum of its load is used."""
        world = Changing(seed)
        pools, seen = world.state.pools, set()
        for _ in range(120):
            world.change()
            upstreams = pools.by_service[SERVICE].values()
            totals = sum_groups((each.registration, pools.load(each, world.now)) for each in upstreams)
            expected = pools.limits.rooms(totals, world.now)
            assert pools.rooms(SERVICE, world.now) == expected
            seen.update(room.load for room in expected.values())
        assert len(seen) > 3
