"""Routing at today's size (7 entries, 12 engines, 3 availability zones) and at the design target's."""

import random
import time
from collections import Counter
from functools import partial

from basilcove.core.ids import AttemptId, UpstreamName, Zone
from basilcove.routing.models import Candidate, RouteRequest, UpstreamLoad
from basilcove.routing.router import Router
from benchmarks.fakes.fleet import ENGINES, SLOT_SPEED, SLOTS, TEAMS, URGENT, build
from benchmarks.fakes.measures import percentile, queueing
from benchmarks.fakes.omniscient import Omniscient
from benchmarks.fakes.scan import ScanRouter
from benchmarks.fakes.world import MODEL, Load, World
from benchmarks.registry import Figure, benchmark

# Bounds are the targets of docs/design.md, section 7.
QUEUEING_RATIO = 0.5
PREFIX_HIT_RATIO = 0.9
CHOICE_TIME_US = 50.0

_ENGINES_AT_TARGET = 1_800
_ZONES_AT_TARGET = 8
_BLOCK_TOKENS = 32.0
_TIMEOUT_S = 60.0
# Prompts start with one of these many histories; an engine's cache holds a part of them.
_HISTORIES = 600
_CACHE_BLOCKS = 1_200
_EVENT_LOSS = 0.02


def _run(world: World, per_s: float, work: float, until: float) -> World:
    for team in TEAMS:
        world.add(Load(team, URGENT, per_s / len(TEAMS), work, _TIMEOUT_S), until)
    world.loop.run(until + _TIMEOUT_S)
    return world


@benchmark('routing-slow-upstream')
def slow_upstream(short: bool) -> list[Figure]:
    """Queueing at 80% of the capacity left when one upstream runs at a third of its speed."""
    start, end = 10.0, 30.0 if short else 120.0
    work = 100.0
    slow = {ENGINES // 2: 1 / 3}
    per_s = 0.8 * (ENGINES - 2 / 3) * SLOTS * SLOT_SPEED / work
    p99s = []
    remote = []
    for is_policy in (True, False):
        world = _run(build(is_policy, slow=slow), per_s, work, end)
        measured = [attempt for attempt in world.attempts if attempt.arrived >= start]
        p99s.append(percentile(map(queueing, measured), 0.99))
        zones = {upstream.name: upstream.zone for upstream in world.upstreams}
        away = [
            one for one in measured if one.upstream and zones[one.upstream] != world.entries[one.entry].zone
        ]
        remote.append(len(away) / len(measured))
    ratio = p99s[0] / p99s[1]
    return [
        Figure('p99 of queueing over that of round-robin', 'ratio', ratio, 1, at_most=QUEUEING_RATIO),
        Figure('p99 of queueing', 's', *p99s),
        Figure('attempts sent to another availability zone', 'fraction', *remote),
    ]


def _history(rng: random.Random) -> tuple[tuple[int, ...], float]:
    # Popularity falls as the rank of the history rises (Zipf); all share one system prompt.
    rank = min(int(_HISTORIES ** rng.random()), _HISTORIES - 1)
    blocks = 4 + rank % 9
    return (1, 2, *(1_000 * (rank + 1) + block for block in range(blocks))), _BLOCK_TOKENS


@benchmark('routing-prefix-hits')
def prefix_hits(short: bool) -> list[Figure]:
    """Prompt tokens found in caches, over those that a router that knows everything finds."""
    start, end = 10.0, 30.0 if short else 120.0
    per_s = 0.6 * ENGINES * SLOTS * SLOT_SPEED / 250
    hits = []
    hottest = []
    for kind in ('policy', 'omniscient', 'baseline'):
        world = build(kind != 'baseline', cache_blocks=_CACHE_BLOCKS)
        world.prefix_of = _history
        world.event_loss = _EVENT_LOSS
        if kind == 'omniscient':
            for entry in world.entries:
                entry.router = Omniscient(world)
        _run(world, per_s, 100, end)
        measured = [attempt for attempt in world.attempts if attempt.arrived >= start]
        hits.append(
            sum(attempt.hit_tokens for attempt in measured)
            / sum(len(attempt.prefix) * attempt.block_tokens for attempt in measured)
        )
        loads = Counter(attempt.upstream for attempt in measured)
        hottest.append(max(loads.values()) * ENGINES / len(measured))
    bound = PREFIX_HIT_RATIO
    return [
        Figure(
            'hits over those of an omniscient router',
            'ratio',
            hits[0] / hits[1],
            hits[2] / hits[1],
            at_least=bound,
        ),
        Figure('prompt tokens found in the cache', 'fraction', hits[0], hits[2]),
        Figure('attempts of the most loaded engine over the mean', 'ratio', hottest[0], hottest[2]),
    ]


def _candidates(engines: int, zones: int) -> list[Candidate]:
    return [
        Candidate(
            UpstreamName(f'engine-{number}'),
            Zone(f'zone-{number % zones}'),
            frozenset((MODEL,)),
            frozenset(),
            SLOTS,
        )
        for number in range(engines)
    ]


def _choose_at_target(router: Router | ScanRouter, attempts: int) -> float:
    # Returns the mean time of a choice in microseconds.
    rng = random.Random(3)
    candidates = _candidates(_ENGINES_AT_TARGET, _ZONES_AT_TARGET)
    router.update(candidates, 0)
    for candidate in candidates:
        load = UpstreamLoad(rng.uniform(0, 4_000), 8, SLOTS * SLOT_SPEED)
        router.apply_report(candidate.name, load, 0)
    requests = []
    for number in range(attempts):
        prefix, block = _history(rng)
        requests.append(RouteRequest(MODEL, None, 200, prefix, len(prefix) * block, 1 + number % 3))
    taken = 0.0
    for number, req in enumerate(requests):
        now = number / 1_000
        began = time.perf_counter()
        name = router.choose(req, now)
        taken += time.perf_counter() - began
        assert name is not None
        router.record_sent(AttemptId(str(number)), name, req, now)
    return taken / attempts * 1e6


@benchmark('routing-choice')
def choice(short: bool) -> list[Figure]:
    """Time of a choice among 1,800 engines, against a scan of all."""
    attempts = 2_000 if short else 20_000
    router = Router(Zone('zone-0'), 'entry-0')
    taken = _choose_at_target(router, attempts)
    scan = _choose_at_target(ScanRouter(Zone('zone-0')), attempts // 100)
    return [
        Figure('time of a choice', 'us', taken, scan, at_most=CHOICE_TIME_US, deterministic=False),
        Figure('candidates looked at', 'count', router.candidates_seen / attempts, _ENGINES_AT_TARGET),
    ]


@benchmark('routing-ejection')
def ejection(short: bool) -> list[Figure]:
    """Three upstreams of twelve fail, then six; failed requests, fraction ejected, and the way back."""
    end = 60.0 if short else 120.0
    failed = []
    figures = []
    for is_policy in (True, False):
        world = build(is_policy)
        for upstream in world.upstreams[:3]:
            world.loop.at(10, partial(upstream.set_failing, True))
            world.loop.at(30, partial(upstream.set_failing, False))
        _run(world, 0.5 * ENGINES * SLOTS * SLOT_SPEED / 100, 100, end)
        during = [attempt for attempt in world.attempts if 15 <= attempt.arrived < 30]
        failed.append(sum(attempt.outcome == 'failed' for attempt in during) / len(during))
        if is_policy:
            figures += _slow_start(world)
    figures.insert(0, Figure('failed requests with 3 of 12 failing', 'fraction', *failed))
    return [
        *figures,
        Figure('most upstreams ejected with 6 of 12 failing', 'count', _most_ejected(), 6, at_most=4),
    ]


def _slow_start(world: World) -> list[Figure]:
    # Share of the attempts that the returned upstreams get, over an equal share.
    figures = []
    for start, end in ((36, 40), (50, 60)):
        loads = Counter(one.upstream for one in world.attempts if start <= one.arrived < end)
        returned = sum(loads[upstream.name] for upstream in world.upstreams[:3])
        share = returned / sum(loads.values()) * ENGINES / 3
        figures.append(Figure(f'load of returned upstreams, {start - 30} to {end - 30} s on', 'ratio', share))
    return figures


def _most_ejected() -> int:
    world = build(is_policy=True)
    for upstream in world.upstreams[:6]:
        upstream.failing = True
    most = 0

    def count() -> None:
        nonlocal most
        for entry in world.entries:
            if isinstance(entry.router, Router):
                most = max(most, sum(entry.router.is_ejected(one.name) for one in world.upstreams))
        world.loop.at(world.loop.now + 1, count)

    world.loop.at(1, count)
    _run(world, 0.3 * ENGINES * SLOTS * SLOT_SPEED / 100, 100, 20)
    return most
