import math
import random
from itertools import pairwise

import pytest

from tests.concurrency.replay import Group, Law, Replay

# Shares of requests that arrived.
MOST = 0.8
MANY = 0.7
FEW = 0.2
# Requests in flight a rank beyond the limit that old counts may cause, on the mean and at most.
MEAN_EXCESS = 0.25
MAX_EXCESS = 0.6
# Requests in flight a rank from which all streams are late where one lengthens passes by 45 ms.
LATE_LOAD = 3
MAX_DELAY_S = 2


def law(fixed_s: float, stream_s: float, *, seed: int = 1, stalls: float = 0) -> Law:
    """Return a law of passes whose slope changes each 3.6 s and varies with each pass.

    ``stalls`` is the share of passes that take 0.3 s longer at any load.
    """
    rng = random.Random(seed)
    factors = [math.exp(rng.gauss(0, 0.25)) for _ in range(100)]

    def pass_s(load: float, now: float) -> float:
        slope_s = stream_s * factors[int(now / 3.6)] * math.exp(rng.gauss(0, 0.1))
        stall_s = 0.3 if rng.random() < stalls else 0
        return fixed_s + load * slope_s + stall_s

    return pass_s


def steady(fixed_s: float, stream_s: float) -> Law:
    return lambda load, now: fixed_s + load * stream_s


class TestOverload:
    def test_more_streams_are_on_time_than_with_all_slots_in_use(self) -> None:
        """Guards against groups that answer all streams late, with 42 gateways and counts 0.2 s old."""
        shares = []
        for target_s in (None, 0.15):
            groups = [Group(f'r{index}', 24, 5, law(0.023, 0.03, seed=index)) for index in range(3)]
            replay = Replay(groups, 42, lambda now: 130, target_s=target_s)
            replay.run(30)
            shares.append(replay.shares(10, 26, 0.15, '/brief/'))
        (free, _, _), (limited, _, refused) = shares
        assert free < MANY
        assert limited > MOST
        assert refused < FEW

    def test_limit_comes_soon_where_all_streams_are_late(self) -> None:
        """Guards against seconds in which all slots are in use and all streams are late."""
        replay = Replay([Group('r0', 24, 5, steady(0.03, 0.045))], 42, lambda now: 90)
        replay.run(8)
        first_late_at = next(now for now, load, _ in replay.loads if load > LATE_LOAD)
        first_limit_at = next(now for now, _, limit in replay.loads if limit)
        assert first_limit_at - first_late_at < MAX_DELAY_S

    def test_load_stays_close_to_the_limit(self) -> None:
        """Guards against gateways that exceed the limit together since each of them decides on old counts."""
        groups = [Group('r0', 24, 5, steady(0.03, 0.045))]
        replay = Replay(groups, 42, lambda now: 70)
        replay.run(25)
        late = [(load, limit / 24) for now, load, limit in replay.loads if now > 15 and limit]
        assert late
        mean_excess = sum(load - limit for load, limit in late) / len(late)
        assert abs(mean_excess) < MEAN_EXCESS
        assert max(load - limit for load, limit in late) < MAX_EXCESS


class TestNoLimit:
    @pytest.mark.parametrize(
        ('description', 'passes'),
        [
            ('on time with all slots', law(0.023, 0.0065)),
            ('stalled', law(0.023, 0.0065, stalls=0.05)),
        ],
    )
    def test_limit_stays_off(self, description: str, passes: Law) -> None:
        """Guards against refusals where a lower load puts no more streams on time."""
        replay = Replay([Group(f'r{index}', 12, 6, passes) for index in range(2)], 10, lambda now: 110)
        replay.run(25)
        assert all(limit is None for _, _, limit in replay.loads), description

    def test_few_streams_are_refused_where_one_is_late(self) -> None:
        """Guards against a limit at its floor that refuses most streams and puts none on time."""
        refused = []
        for target_s in (None, 0.15):
            groups = [Group(f'r{index}', 12, 6, law(0.16, 0.005)) for index in range(2)]
            replay = Replay(groups, 10, lambda now: 110, target_s=target_s)
            replay.run(50)
            refused.append(replay.shares(20, 48, 0.15)[2])
        assert refused[1] < refused[0] + 0.1


class TestChanges:
    def test_limit_follows_a_changed_law_and_a_burst(self) -> None:
        """Guards against a limit that is still that of the former prompts or map after 4 s."""

        def pass_s(load: float, now: float) -> float:
            stream_s = 0.05 if now < 20 else 0.032
            return 0.023 + load * stream_s

        replay = Replay([Group('r0', 24, 5, pass_s)], 20, lambda now: 30 if now < 8 else 90)
        replay.run(40)
        limits = {round(now): limit / 24 for now, _, limit in replay.loads if limit}
        # At 0.15 s the first law allows 2.5 streams a rank, the second one 4. As gateways decide on old
        # counts, the load exceeds the limit by up to half a stream.
        assert 3 < 2 * limits[19] < 5
        assert 5 < 2 * limits[30] < 8
        assert replay.shares(14, 18, 0.15, '/brief/')[1] < FEW

    def test_stall_does_not_lower_the_limit(self) -> None:
        """Guards against a limit that falls to its floor while a map changes or the group is down."""

        def pass_s(load: float, now: float) -> float:
            return 2 if 20 < now < 21 else 0.023 + load * 0.04

        replay = Replay([Group('r0', 24, 5, pass_s)], 20, lambda now: 90)
        replay.run(28)
        limits = [limit / 24 for now, _, limit in replay.loads if limit and now > 18]
        assert limits
        assert min(limits) > 3 / 2
        assert all(after >= 0.85 * before for before, after in pairwise(limits))
