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


# A quarter of the requests is long, and the upstreams have room for little more than these.
DENSE_RANKS, DENSE_RATE_PER_S, DENSE_LONG_SHARE, DENSE_S = 12, 22.0, 0.25, 20.0
MOST_DENSE_LONG = 60_000
FAST_LINK_S = 0.01


def replay_dense(seed: int) -> MemoryReplay:
    draw = draw_from(DENSE_LONG_SHARE, LEAST_LONG, MOST_DENSE_LONG)
    options = {'states_memory': True, 'seed': seed, 'link_s': FAST_LINK_S}
    run = MemoryReplay(DENSE_RANKS, lambda now: DENSE_RATE_PER_S, draw, **options)
    run.run(DENSE_S)
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

    def test_few_meet_where_many_are_long(self) -> None:
        """Guards against long requests that gateways learn of with the totals only; 23 of 297 met then."""
        runs = [replay_dense(seed) for seed in (3, 4, 5)]
        exceeded = sum(run.exceeded for run in runs)
        sent_long = sum(tokens >= LEAST_LONG for run in runs for tokens in run.sent)
        assert exceeded <= 0.03 * sent_long, (exceeded, sent_long)
