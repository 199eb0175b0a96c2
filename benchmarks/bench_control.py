"""Control group: traffic, CPU time, memory and catch-up, with the reducers under a virtual clock."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial

from basilcove.catalog.apply import apply
from basilcove.catalog.models import CatalogState
from basilcove.catalog.snapshot import encode_state
from basilcove.core.events import Message
from benchmarks.fakes.control import MeteredCluster, change, claim
from benchmarks.registry import Figure, benchmark

# Budgets of a node, docs/design.md, section 1.6.
BYTES_PER_S = 15_000
CORE_FRACTION = 0.032
NEW_LEADER_S = 2.0
IN_EFFECT_S = 4.0

_SIZES = (1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1_024, 2_000)
_CHANGES_PER_DAY = 3_600
_TEAMS_TODAY = 10
_IDLE_S = 60.0
_RATE = 10
_CLAIM_TIME = 1_000_000.0


def _idle(members: int) -> MeteredCluster:
    cluster = MeteredCluster(members)
    cluster.elect()
    cluster.run(5)
    cluster.reset()
    cluster.run(_IDLE_S)
    return cluster


@benchmark('control-idle')
def idle(short: bool) -> list[Figure]:
    """Messages, bytes and CPU time of the replicated log while nothing changes."""
    figures = []
    for members in (3, 5, 7):
        cluster = _idle(members)
        leader = cluster.busiest()
        follower = cluster.idlest()
        sent = cluster.sent[leader] / _IDLE_S
        per_s = cluster.messages[leader] / _IDLE_S
        figures += [
            Figure(f'messages sent by the leader of {members}', '1/s', per_s),
            Figure(f'bytes sent by the leader of {members}', 'B/s', sent, at_most=BYTES_PER_S),
            Figure(f'bytes sent by a follower of {members}', 'B/s', cluster.sent[follower] / _IDLE_S),
            Figure(
                f'CPU time of the leader of {members}',
                'core',
                cluster.cpu_s[leader] / _IDLE_S,
                at_most=CORE_FRACTION,
                deterministic=False,
            ),
        ]
    return figures


@benchmark('control-new-leader')
def new_leader(short: bool) -> list[Figure]:
    """Time from the loss of a leader until another one has committed an entry, over many losses."""
    figures = []
    for members in (3, 5, 7):
        times = []
        cluster = MeteredCluster(members)
        for number in range(20 if short else 200):
            old = cluster.elect()
            # The loss falls at another time after the last heartbeat each time.
            cluster.run(3 + 0.037 * (number % 11))
            cluster.kill(old.name)
            began = cluster.now
            cluster.run_until(partial(_has_leader, cluster), step=0.01)
            times.append(cluster.now - began)
            cluster.start(old.name)
        times.sort()
        figures += [
            Figure(f'median of {members} members', 's', times[len(times) // 2], at_most=NEW_LEADER_S),
            Figure(f'p95 of {members} members', 's', times[len(times) * 95 // 100]),
            Figure(f'longest of {members} members', 's', times[-1]),
        ]
    return figures


def _has_leader(cluster: MeteredCluster) -> bool:
    host = cluster.leader()
    return host is not None and host.consensus.commit >= host.consensus.leader_state.first_index


@benchmark('control-change')
def changes(short: bool) -> list[Figure]:
    """Cost of a committed claim beyond that of an idle group; CPU time against applying it once."""
    figures = []
    count = 200 if short else 1_000
    seconds = count / _RATE
    for members in (3, 5, 7):
        base = _idle(members)
        cluster = MeteredCluster(members)
        cluster.elect()
        cluster.run(5)
        cluster.reset()
        for number in range(count):
            cluster.propose(f'claim-{number}', claim(number))
            cluster.run(1 / _RATE)
        messages = cluster.messages.total() - base.messages.total() * seconds / _IDLE_S
        sent = cluster.sent.total() - base.sent.total() * seconds / _IDLE_S
        leader = cluster.busiest()
        cpu = (cluster.cpu_s[leader] - base.cpu_s[leader] * seconds / _IDLE_S) / count * 1e6
        figures += [
            Figure(f'messages per claim, {members} members', 'count', messages / count),
            Figure(f'bytes per claim, {members} members', 'B', sent / count),
            Figure(
                f'CPU time of the leader per claim, {members} members',
                'us',
                cpu,
                _time_of_apply(claim, count),
                deterministic=False,
            ),
        ]
    return [*figures, *_document_changes(count // 4)]


def _document_changes(count: int) -> list[Figure]:
    cluster = MeteredCluster(3)
    cluster.elect()
    cluster.run(5)
    cluster.reset()
    for number in range(count):
        cluster.ask(f'change-{number}', change(number, _TEAMS_TODAY))
    leader = cluster.busiest()

    def today(number: int) -> Message:
        return change(number, _TEAMS_TODAY)

    cpu = cluster.cpu_s[leader] / count * 1e6
    return [
        Figure('bytes per change of a document of 10 teams', 'B', cluster.sent.total() / count),
        Figure(
            'CPU time of the leader per change', 'us', cpu, _time_of_apply(today, count), deterministic=False
        ),
    ]


def _time_of_apply(command: Callable[[int], Message], count: int) -> float:
    commands = [command(number) for number in range(count)]
    state = CatalogState()
    began = time.perf_counter()
    for one in commands:
        apply(state, one, _CLAIM_TIME)
    return (time.perf_counter() - began) / count * 1e6


def _state(commands: Iterable[Message]) -> tuple[int, int]:
    """Return the bytes in memory and in a snapshot of a state after these commands."""
    gc.collect()
    tracemalloc.start()
    state = CatalogState()
    for command in commands:
        apply(state, command, _CLAIM_TIME)
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory, len(encode_state(state))


def _team_state(count: int) -> tuple[int, int]:
    return _state(change(0, teams) for teams in (count,))


def _document_state(count: int) -> tuple[int, int]:
    return _state(change(0, _TEAMS_TODAY, f'wandoo-{number}') for number in range(count))


def _claim_state(count: int) -> tuple[int, int]:
    return _state(claim(number) for number in range(count))


@benchmark('control-state')
def state(short: bool) -> list[Figure]:
    """Replicated state in memory and in a snapshot, by teams of a document, documents and claims."""
    figures = []
    kinds = {'teams': _team_state, 'documents': _document_state, 'claims': _claim_state}
    for kind, build in kinds.items():
        sizes = (_SIZES[0], _SIZES[-1]) if short else _SIZES
        measured = [build(size) for size in sizes]
        if not short:
            for size, (_memory, snapshot) in zip(sizes, measured, strict=True):
                figures.append(Figure(f'snapshot with {size} {kind}', 'B', snapshot))
        span = sizes[-1] - sizes[0]
        figures += [
            Figure(f'snapshot for each of {kind}', 'B', (measured[-1][1] - measured[0][1]) / span),
            Figure(
                f'memory for each of {kind}',
                'B',
                (measured[-1][0] - measured[0][0]) / span,
                deterministic=False,
            ),
        ]
    return figures


def _catch_up(snapshot_after: int, kept: int, count: int) -> tuple[float, int, int]:
    """Return the seconds and bytes until an isolated member is current, and the snapshot's bytes."""
    cluster = MeteredCluster(3, snapshot_after=snapshot_after, kept=kept)
    leader = cluster.elect()
    away = cluster.hosts[next(name for name in cluster.bootstrap if name != leader.name)]
    cluster.partition(away.name)
    for number in range(count):
        cluster.propose(f'change-{number}', change(number, _TEAMS_TODAY))
        cluster.run(0.05)
    cluster.partition()
    cluster.reset()
    began = cluster.now
    cluster.run_until(lambda: away.consensus.commit == leader.consensus.commit, step=0.001)
    return cluster.now - began, cluster.received[away.name], len(encode_state(away.catalog))


@benchmark('control-catch-up')
def catch_up(short: bool) -> list[Figure]:
    """A member returns after a day's changes; by snapshot, against the whole log."""
    count = _CHANGES_PER_DAY
    if short:
        count //= 10
    by_snapshot = _catch_up(count // 4, 50, count)
    by_log = _catch_up(10 * count, 10 * count, count)
    return [
        Figure(f'time after {count} changes', 's', by_snapshot[0], by_log[0], at_most=IN_EFFECT_S),
        Figure(f'bytes after {count} changes', 'B', by_snapshot[1], by_log[1]),
        Figure(f'state after {count} changes', 'B', by_snapshot[2]),
    ]
