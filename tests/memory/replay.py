"""Requests of many gateways at upstreams whose memory long prompts may exceed, under a virtual clock."""

import random
from collections import defaultdict
from collections.abc import Callable

from basilcove.core.events import Effect, Event
from basilcove.gateway.events import (
    AttemptEnded,
    AttemptResult,
    Refuse,
    RequestArrived,
    RequestHead,
    StartAttempt,
)
from tests.concurrency.replay import Group, Replay
from tests.gateway.world import HOST, KEY, World, document

# Tokens that fit into the memory of an upstream.
SIZE = 116_666
GATEWAYS = 42
SLOTS = 5
PASS_S = 0.13
# With reports at each tenth of a second from gateways and control hosts, counts are 0.1 to 0.3 s old.
LINK_S = 0.05

Draw = Callable[[random.Random], int]


class MemoryReplay(Replay):
    """Follows the tokens that each upstream holds.

    ``states_memory`` tells whether the service states a memory; without it nothing is decided by tokens.
    ``peak`` is the most tokens at one upstream, and ``exceeded`` counts the attempts that began beyond its
    memory. ``sent`` and ``refused`` have the tokens of requests.
    """

    def __init__(
        self,
        ranks: int,
        rate: Callable[[float], float],
        draw: Draw,
        *,
        states_memory: bool,
        seed: int,
        link_s: float = LINK_S,
    ) -> None:
        self.draw = draw
        self.service = {'memory_tokens': SIZE} if states_memory else {}
        self.tokens: dict[int, int] = {}
        self.held: dict[str, int] = defaultdict(int)
        self.open: dict[tuple[int, int], str] = {}
        self.peak = 0
        self.exceeded = 0
        self.sent: list[int] = []
        self.refused: list[int] = []
        group = Group('g', ranks, SLOTS, lambda load, now: PASS_S)
        super().__init__([group], GATEWAYS, rate, link_s=link_s, seed=seed)
        for world in self.worlds:
            self._state_memory(world)

    def apply(self, index: int, event: Event) -> None:
        """Apply an event at a gateway; the end of an attempt frees its tokens."""
        if isinstance(event, AttemptEnded) and event.result is AttemptResult.ANSWERED:
            self.held[self.open.pop((event.key, event.number))] -= self.tokens[event.key]
        super().apply(index, event)

    def _state_memory(self, world: World) -> None:
        world.apply_document(document(services={'desk': self.service}), 3)

    def _arrive(self) -> None:
        key = next(self.keys)
        self.tokens[key] = self.draw(self.rng)
        self.arrivals[key] = ('/brief/', self.now)
        head = RequestHead(f'r-{key}', HOST, '/brief/', KEY, None, tokens=self.tokens[key])
        self.apply(self.rng.randrange(GATEWAYS), RequestArrived(key, head))
        self.at(self.now + self.rng.expovariate(self.rate(self.now)), self._arrive)

    def _carry_out(self, index: int, effect: Effect) -> None:
        if isinstance(effect, StartAttempt):
            tokens = self.tokens[effect.key]
            self.sent.append(tokens)
            self.open[effect.key, effect.number] = effect.instance
            self.held[effect.instance] += tokens
            self.peak = max(self.peak, self.held[effect.instance])
            self.exceeded += self.held[effect.instance] > SIZE
        elif isinstance(effect, Refuse):
            self.refused.append(self.tokens[effect.key])
        super()._carry_out(index, effect)


def draw_from(share: float, least: int, most: int) -> Draw:
    """Return a draw of tokens: usual prompts, and a share of long ones between two sizes."""

    def draw(rng: random.Random) -> int:
        if rng.random() < share:
            return rng.randint(least, most)
        return max(100, round(rng.gauss(900, 250)))

    return draw
