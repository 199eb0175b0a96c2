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
from benchmarks.fakes.peers import FakeAgent, FakePeer, stagger
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
_SETTLE_S = 0.8
_FAKES = 60
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
        for peer in self._peers:
            self._run(peer.unload())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

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


@contextmanager
def _deployment() -> Iterator[tuple[Cluster, dict[str, str], _Fakes]]:
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(Path(folder), entries=1, upstreams=_ENGINES) as cluster,
    ):
        # Only the first engine has a real agent; the fakes announce the others.
        cluster.upstreams = {_ENGINES[0].name: _ENGINES[0]}
        for node in (*cluster.control, AGENT, ENTRY):
            cluster.start(node)
        cluster.start_standin(_ENGINES[0].name)
        wait_for(lambda: cluster.cli('status', check=False)['exit'] == 0, 'a control leader')
        _apply(cluster, 0, _FEW_TEAMS)
        cluster.wait_ready()
        leader = cluster.cli('status', node=cluster.control[0])['content']['leader']
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
    """CPU, memory and traffic of idle daemons against 1 to 60 fake peers, as lines over the links."""
    counts = (1, 16, _FAKES) if short else (1, 2, 4, 8, 16, 32, _FAKES)
    window_s = 1.2 if short else 10.0
    points: dict[str, list[_Point]] = {}
    print(f'load average {os.getloadavg()[0]:.1f}, window {window_s:g} s')
    with _deployment() as (cluster, names, fakes):
        for count in counts:
            fakes.grow(count)
            time.sleep(_SETTLE_S)
            for role, point in _measure(cluster, names, window_s).items():
                points.setdefault(role, []).append(point)
                print(
                    f'{role:<17} {point.links:3} links {point.cpu_percent:6.2f}% {point.end.rss_mb:6.1f} MB'
                    f' RSS {point.end.pss_mb:6.1f} MB PSS {point.messages:7.1f} messages/s'
                    f' {point.sent:8.0f} B/s out {point.received:8.0f} B/s in {point.end.threads} threads'
                )
    return [figure for one, measured in points.items() for figure in _lines(one, measured)]


@benchmark('processes-teams')
def teams(short: bool) -> list[Figure]:
    """Memory and CPU time that taking a document costs each role, per team of the document."""
    steps = (400,) if short else (500, 1_000, 2_000)
    taken: dict[str, list[tuple[float, float, float]]] = {}
    with _deployment() as (cluster, names, _):
        for role, now in _samples(cluster, names).items():
            taken[role] = [(_FEW_TEAMS, now.rss_mb, 0)]
        for revision, count in enumerate(steps, start=1):
            before = _samples(cluster, names)
            _apply(cluster, revision, count)
            wait_for(partial(_all_hold, cluster, names, revision + 1), 'the document everywhere')
            for one, then in _samples(cluster, names).items():
                taken[one].append((count, then.rss_mb, then.cpu_s - before[one].cpu_s))
    figures = []
    for label, rows in taken.items():
        slope, _ = line([(size, rss) for size, rss, _ in rows])
        figures.append(_figure(f'{label}: VmRSS per team', 'KB', slope * _KIB_PER_MB))
        most, rss_mb, cpu_s = rows[-1]
        figures.append(_figure(f'{label}: VmRSS with {most:g} teams', 'MB', rss_mb, MEMORY_MB))
        figures.append(_figure(f'{label}: CPU time to take {most:g} teams anew', 's', cpu_s))
    return figures


def _all_hold(cluster: Cluster, names: dict[str, str], revision: int) -> bool:
    return all(_gauge(cluster, name, 'document_revision') >= revision for name in names.values())
