"""Fleets of today's size, with the policy or with the baseline."""

from dataclasses import dataclass

from basilcove.admission.queue import AdmissionQueue
from basilcove.core.ids import EnvironmentName, PriorityName, TeamName, Zone
from basilcove.environment.models import Environment, Limits, Priority, Team
from basilcove.routing.router import Router
from benchmarks.fakes.fifo import FifoQueue
from benchmarks.fakes.loop import Loop
from benchmarks.fakes.round_robin import RoundRobin
from benchmarks.fakes.upstream import FakeUpstream, Queue
from benchmarks.fakes.world import Entry, World

ZONES = (Zone('collie-depot'), Zone('donnybrook-depot'), Zone('bunbury-office'))
SLOTS = 16
SLOT_SPEED = 50.0
ENGINES = 12
ENTRIES = 7
URGENT, BOOKING, BATCH = 'urgent', 'booking', 'batch'
TEAMS = tuple(f'team-{number}' for number in range(10))


@dataclass
class RunOptions:
    """What all worlds of one run share."""

    seed: int = 7


OPTIONS = RunOptions()


def environment() -> Environment:
    """Return a document with the default floors and ten teams of equal share."""
    names = (URGENT, BOOKING, BATCH)
    floors = (0, 0.1, 0.05)
    targets = (0.45, 2, 30)
    return Environment(
        name=EnvironmentName('shire'),
        priorities={
            PriorityName(name): Priority(level=level, target_first_token_s=target, floor=floor)
            for level, (name, target, floor) in enumerate(zip(names, targets, floors, strict=True), 1)
        },
        teams={
            TeamName(name): Team(key_digests=(), priorities=tuple(map(PriorityName, names))) for name in TEAMS
        },
        limits=Limits(),
    )


def build(
    is_policy: bool,
    engines: int = ENGINES,
    entries: int = ENTRIES,
    slow: dict[int, float] | None = None,
    cache_blocks: int = 0,
    seed: int | None = None,
) -> World:
    """Return a world of engines spread over the zones; ``slow`` maps engines to a factor of their speed."""
    loop = Loop()
    document = environment()
    upstreams = []
    for number in range(engines):
        speed = SLOT_SPEED * (slow or {}).get(number, 1)
        queue = _queue(is_policy, document)
        zone = ZONES[number % len(ZONES)]
        upstreams.append(FakeUpstream(loop, f'engine-{number}', zone, queue, SLOTS, speed, cache_blocks))
    hosts = []
    for number in range(entries):
        zone = ZONES[number % len(ZONES)]
        hosts.append(Entry(Router(zone, f'entry-{number}') if is_policy else RoundRobin(), zone))
    return World(loop, upstreams, hosts, OPTIONS.seed if seed is None else seed)


def _queue(is_policy: bool, document: Environment) -> Queue:
    if not is_policy:
        return FifoQueue(SLOTS)
    queue = AdmissionQueue(SLOTS)
    queue.configure(document, SLOTS)
    return queue
