"""What control costs a node: CPU, memory and traffic of each role by links and by teams."""

import asyncio
import os
import re
import tempfile
import threading
import time
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from basilcove.core.ids import Role
from benchmarks.fakes.peers import FakeAgent, FakePeer, stagger, unload_all
from benchmarks.fakes.usage import Sample, line, sample
from benchmarks.registry import Figure, benchmark
from tests.harness import documents
from tests.harness.cluster import ZONES, Cluster, UpstreamSpec
from tests.harness.processes import wait_for

# A node's budget at the design target, docs/design.md, section 1.6.
CPU_PERCENT = 3.2
MEMORY_MB = 64.0
TRAFFIC_BYTES_PER_S = 15_000.0

ENTRY, AGENT = 'entry-1', 'agent-engine-1'
_KIB_PER_MB = 1024
_FEW_TEAMS = 10
# An offer to a new peer is repeated until both hold the same revision, which ends within this time.
_SETTLE_S = 0.6
_FAKES = 60
_COUNTS = (1, 2, 4, 8, 16, 32, _FAKES)
_ENGINES = tuple(
    UpstreamSpec(f'engine-{number}', 'tests.standins.engine', ZONES[0], models='rider-assistant')
    for number in range(1, _FAKES + 2)
)


@dataclass(frozen=True)
class _Point:
    links: int
    start: Sample
    end: Sample
    messages: float
    sent: float
    received: float

    @property
    def cpu_percent(self) -> float:
        """Return the CPU time over the window, in percent of a core."""
        return 100 * (self.end.cpu_s - self.start.cpu_s) / (self.end.at - self.start.at)

    @property
    def traffic(self) -> float:
        """Return the bytes both ways per second."""
        return self.sent + self.received


class _Fakes:
    """Fake agents of the entry and the control hosts, and fake entries of the agent, on one loop."""

    def __init__(self, cluster: Cluster) -> None:
        """Start none yet."""
        self._cluster = cluster
        self._loop = asyncio.new_event_loop()
        self._peers: list[FakePeer] = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def setup(self) -> None:
        """Start the loop's thread."""
        self._thread.start()

    def unload(self) -> None:
        """End all links and the loop."""
        self.drop()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def drop(self) -> None:
        """End all links."""
        self._run(unload_all(self._peers))
        self._peers.clear()

    def grow(self, count: int) -> None:
        """Raise the number of fake agents and of fake entries to a count."""
        control = [self._cluster.addresses[name].rpc for name in self._cluster.control]
        entry, agent = (self._cluster.addresses[name].rpc for name in (ENTRY, AGENT))
        new: list[FakePeer] = []
        for number in range(len(self._peers) // 2, count):
            new.append(FakeAgent(_ENGINES[number + 1].name, ZONES[0], (entry, *control)))
            new.append(FakePeer(f'fake-entry-{number}', Role.ENTRY, ZONES[0], (agent,)))
        self._run(stagger(new))
        self._peers += new

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()


def _gauge(cluster: Cluster, name: str, gauge: str) -> float:
    text = cluster.get(name, '/metrics').data.decode()
    found = re.search(rf'^basilcove_{gauge} (\S+)$', text, re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def _traffic(cluster: Cluster, name: str) -> tuple[float, float, float]:
    sent, received = (_gauge(cluster, name, f'link_messages_{way}') for way in ('sent', 'received'))
    return (
        sent + received,
        _gauge(cluster, name, 'link_bytes_sent'),
        _gauge(cluster, name, 'link_bytes_received'),
    )


def _samples(cluster: Cluster, names: dict[str, str]) -> dict[str, Sample]:
    return {role: sample(cluster.processes[name].pid) for role, name in names.items()}


def _measure(cluster: Cluster, names: dict[str, str], window_s: float) -> dict[str, _Point]:
    before = {role: _traffic(cluster, name) for role, name in names.items()}
    starts = _samples(cluster, names)
    time.sleep(window_s)
    ends = _samples(cluster, names)
    points = {}
    for role, name in names.items():
        after = _traffic(cluster, name)
        rates = [(new - old) / window_s for old, new in zip(before[role], after, strict=True)]
        points[role] = _Point(int(_gauge(cluster, name, 'links')), starts[role], ends[role], *rates)
    return points


def _leader(cluster: Cluster) -> str:
    status = cluster.cli('status', check=False, node=cluster.control[0])
    return str(status['content'].get('leader', ''))


@contextmanager
def _deployment() -> Iterator[tuple[Cluster, dict[str, str], _Fakes]]:
    with (
        tempfile.TemporaryDirectory() as folder,
        # Only the first engine has a real agent, which would dial the others; the fakes announce them.
        Cluster(Path(folder), entries=1, upstreams=_ENGINES[:1]) as cluster,
    ):
        for node in (*cluster.control, AGENT, ENTRY):
            cluster.start(node)
        cluster.start_standin(_ENGINES[0].name)
        leader = str(wait_for(lambda: _leader(cluster), 'a control leader'))
        _apply(cluster, 0, _FEW_TEAMS)
        cluster.wait_ready()
        follower = next(name for name in cluster.control if name != leader)
        names = {'entry': ENTRY, 'agent': AGENT, 'control leader': leader, 'control follower': follower}
        fakes = _Fakes(cluster)
        fakes.setup()
        try:
            yield cluster, names, fakes
        finally:
            fakes.unload()


def _apply(cluster: Cluster, revision: int, teams: int) -> None:
    content = documents.document(
        _ENGINES,
        teams={
            f'team-{number}': {
                'key_digests': [documents.digest(f'key-{number}')],
                'priorities': ['urgent', 'booking'],
            }
            for number in range(teams)
        },
    )
    path = documents.write(cluster.folder, content, f'teams-{teams}.yaml')
    cluster.cli('apply', str(path), '--expected-revision', str(revision), '--request-id', f'teams-{teams}')


def _figure(name: str, unit: str, measured: float, at_most: float | None = None) -> Figure:
    return Figure(name, unit, measured, at_most=at_most, deterministic=False)


def _lines(role: str, points: list[_Point]) -> Iterator[Figure]:
    last = points[-1]
    for what, unit, read, bound in (
        ('CPU', '% of a core', lambda point: point.cpu_percent, CPU_PERCENT),
        ('VmRSS', 'MB', lambda point: point.end.rss_mb, MEMORY_MB),
        ('PSS', 'MB', lambda point: point.end.pss_mb, None),
        ('messages both ways', '1/s', lambda point: point.messages, None),
        ('traffic both ways', 'B/s', lambda point: point.traffic, TRAFFIC_BYTES_PER_S),
    ):
        slope, intercept = line([(point.links, read(point)) for point in points])
        yield _figure(f'{role}: {what} without links (intercept)', unit, intercept)
        yield _figure(f'{role}: {what} per link', unit, slope)
        yield _figure(f'{role}: {what} with {last.links} links', unit, read(last), bound)


@benchmark('processes')
def processes(short: bool) -> list[Figure]:
    """CPU, memory and traffic of idle daemons by the links to fake peers, then by the teams."""
    # Below the 10 s after which cheroot closes the idle connection by which the gauges are read.
    window_s = 0.8 if short else 8.0
    print(f'load average {os.getloadavg()[0]:.1f}, window {window_s:g} s')
    with _deployment() as (cluster, names, fakes):
        points = _by_links(cluster, names, fakes, (1, _FAKES) if short else _COUNTS, window_s)
        fakes.drop()
        taken = _by_teams(cluster, names, (400,) if short else (500, 1_000, 2_000))
    figures = [figure for role, measured in points.items() for figure in _lines(role, measured)]
    return figures + [figure for role, rows in taken.items() for figure in _team_lines(role, rows)]


def _by_links(
    cluster: Cluster, names: dict[str, str], fakes: _Fakes, counts: tuple[int, ...], window_s: float
) -> dict[str, list[_Point]]:
    points: dict[str, list[_Point]] = {role: [] for role in names}
    for count in counts:
        fakes.grow(count)
        time.sleep(_SETTLE_S)
        for role, point in _measure(cluster, names, window_s).items():
            points[role].append(point)
            print(
                f'{role:<17} {point.links:3} links {point.cpu_percent:6.2f}% {point.end.rss_mb:6.1f} MB'
                f' RSS {point.end.pss_mb:6.1f} MB PSS {point.messages:7.1f} messages/s'
                f' {point.sent:8.0f} B/s out {point.received:8.0f} B/s in {point.end.threads} threads'
            )
    return points


def _by_teams(
    cluster: Cluster, names: dict[str, str], counts: tuple[int, ...]
) -> dict[str, list[tuple[int, float, float]]]:
    """Return teams, memory in MB and CPU time of taking the document in seconds, by role."""
    taken = {role: [(_FEW_TEAMS, now.rss_mb, 0.0)] for role, now in _samples(cluster, names).items()}
    for revision, count in enumerate(counts, start=1):
        before = _samples(cluster, names)
        _apply(cluster, revision, count)
        wait_for(partial(_all_hold, cluster, names, revision + 1), 'the document everywhere')
        for role, after in _samples(cluster, names).items():
            taken[role].append((count, after.rss_mb, after.cpu_s - before[role].cpu_s))
    return taken


def _team_lines(role: str, rows: list[tuple[int, float, float]]) -> Iterator[Figure]:
    slope, _ = line([(count, rss_mb) for count, rss_mb, _ in rows])
    yield _figure(f'{role}: VmRSS per team', 'KB', slope * _KIB_PER_MB)
    most, rss_mb, cpu_s = rows[-1]
    yield _figure(f'{role}: VmRSS with {most} teams, after all links ended', 'MB', rss_mb, MEMORY_MB)
    yield _figure(f'{role}: CPU time while {most} teams replace the former', 's', cpu_s)


def _all_hold(cluster: Cluster, names: dict[str, str], revision: int) -> bool:
    return all(_gauge(cluster, name, 'document_revision') >= revision for name in names.values())
