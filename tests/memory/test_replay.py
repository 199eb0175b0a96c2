import pytest

from tests.memory.replay import SIZE, MemoryReplay, draw_from

RANKS, RATE_PER_S, DURATION_S = 72, 125.0, 15.0
# Two such requests fit into a memory, three may not.
LEAST_LONG, MOST_LONG, LONG_SHARE = 30_000, 50_000, 0.05


def replay(seed: int, *, states_memory: bool) -> MemoryReplay:
    draw = draw_from(LONG_SHARE, LEAST_LONG, MOST_LONG)
    run = MemoryReplay(RANKS, lambda now: RATE_PER_S, draw, states_memory=states_memory, seed=seed)
    run.run(DURATION_S)
    return run


class TestLongPrompts:
    @pytest.mark.parametrize('seed', [1, 4])
    def test_memory_is_not_exceeded(self, seed: int) -> None:
        """Guards against long prompts of several gateways with old counts that meet at one upstream."""
        former, run = replay(seed, states_memory=False), replay(seed, states_memory=True)
        assert former.exceeded
        assert run.peak <= SIZE
        refused_long = sum(tokens >= LEAST_LONG for tokens in run.refused)
        assert refused_long <= 0.05 * sum(tokens >= LEAST_LONG for tokens in run.sent)
        # Long requests are spread, so short ones are refused about as often as before.
        assert len(run.refused) <= 1.5 * len(former.refused)
