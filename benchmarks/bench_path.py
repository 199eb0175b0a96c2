"""The path of a request through real processes: added latency, streams held, tokens per core."""

import asyncio
import os
import tempfile
from pathlib import Path

import yaml

from benchmarks.fakes.callers import StreamCallers, time_calls
from benchmarks.fakes.measures import percentile
from benchmarks.registry import Figure, benchmark
from tests.harness import documents
from tests.harness.cluster import ZONES, Cluster, UpstreamSpec
from tests.harness.processes import wait_for

# Targets of docs/design.md, section 4.
ADDED_MEDIAN_MS = 3.0
ADDED_P99_MS = 10.0
TOKENS_PER_S = 19_000
STREAMS = 70
CORES = 1.0

_ENGINES = 3
_HELD_SHORT, _HELD_LONG = 256, 1_024
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Streams go on this long after a measurement.
_SPARE_S = 10
_HELD_TOKENS = 100
_HELD_STEP_S = 0.5
_WORDS_OF_LINKS = ('silent', 'closing the link', 'link to', 'WARNING', 'ERROR')
_LINES_PRINTED = 20


class _Entry:
    """What the operating system counts for the entry's process."""

    def __init__(self, cluster: Cluster) -> None:
        self.address = cluster.addresses['entry-1'].http
        self._folder = Path('/proc') / str(cluster.processes['entry-1'].pid)

    @property
    def cpu_s(self) -> float:
        fields = (self._folder / 'stat').read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    @property
    def memory_mb(self) -> float:
        lines = (self._folder / 'status').read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith('VmRSS')) / 1024


def _prepare(folder: Path, held: int) -> tuple[Cluster, Path]:
    specs = tuple(
        UpstreamSpec(f'engine-{number}', 'tests.standins.fast_engine', ZONES[0], models='rider-assistant')
        for number in range(1, _ENGINES + 1)
    )
    cluster = Cluster(folder, entries=1, upstreams=specs)
    _set(folder / 'entry-1.yaml', 'http', max_streams=held)
    for name in cluster.agents:
        _set(folder / f'{name}.yaml', 'agent', max_calls=held)
    content = documents.document(specs)
    content['teams']['kiosk']['max_concurrent'] = 2 * held
    for upstream in content['upstreams'].values():
        upstream['slots'] = held
    return cluster, documents.write(folder, content)


def _set(path: Path, section: str, **changes: int) -> None:
    content = yaml.safe_load(path.read_text())
    content[section].update(changes)
    path.write_text(yaml.safe_dump(content))


@benchmark('path')
def path(short: bool) -> list[Figure]:
    """Measure one entry with four agents and engines on loopback."""
    held = _HELD_SHORT if short else _HELD_LONG
    with tempfile.TemporaryDirectory() as folder:
        cluster, document = _prepare(Path(folder), held)
        with cluster:
            cluster.start_all(document)
            try:
                return _measure(cluster, held, short)
            except AssertionError:
                _print_lines_of_links(cluster)
                raise


def _print_lines_of_links(cluster: Cluster) -> None:
    """Print why links ended, before the folder with the logs is removed."""
    for name, process in cluster.processes.items():
        lines = process.log.read_text(errors='replace').splitlines()
        found = [line for line in lines if any(word in line for word in _WORDS_OF_LINKS)]
        for line in found[-_LINES_PRINTED:]:
            print(f'{name}: {line}')


def _measure(cluster: Cluster, held: int, short: bool) -> list[Figure]:
    entry = _Entry(cluster)
    figures = _latency(cluster, 200 if short else 3_000)
    _set_step(cluster, STREAMS / TOKENS_PER_S)
    figures += asyncio.run(_carry(entry, 1 if short else 10))
    wait_for(lambda: _is_idle(cluster), 'the streams of the callers that hung up to end')
    _set_step(cluster, _HELD_STEP_S)
    return figures + asyncio.run(_hold(entry, held))


def _is_idle(cluster: Cluster) -> bool:
    return 'basilcove_requests_open 0.0' in cluster.get('entry-1', '/metrics').data.decode()


def _set_step(cluster: Cluster, step_s: float) -> None:
    for name in cluster.upstreams:
        cluster.behave(name, token_s=step_s)


def _latency(cluster: Cluster, rounds: int) -> list[Figure]:
    addresses = [cluster.addresses[name].http for name in ('engine-1', 'entry-1')]
    time_calls(addresses, rounds // 10)
    direct, through = time_calls(addresses, rounds)
    figures = []
    for label, share, bound in (('median', 0.5, ADDED_MEDIAN_MS), ('p99', 0.99, ADDED_P99_MS)):
        base = percentile(direct, share) * 1000
        added = percentile(through, share) * 1000 - base
        figures.append(
            Figure(
                f'added latency, {label} (baseline: direct)', 'ms', added, base, bound, deterministic=False
            )
        )
    return figures


async def _carry(entry: _Entry, duration_s: float) -> list[Figure]:
    callers = StreamCallers(entry.address, int(TOKENS_PER_S / STREAMS * (duration_s + _SPARE_S)))
    await callers.open(STREAMS)
    await callers.wait_for_tokens()
    loop = asyncio.get_running_loop()
    began, cpu_s, events = loop.time(), entry.cpu_s, sum(callers.events)
    await asyncio.sleep(duration_s)
    taken, cpu_s, events = loop.time() - began, entry.cpu_s - cpu_s, sum(callers.events) - events
    await callers.close()
    per_s = events / taken
    cores = cpu_s / taken
    return [
        Figure(
            f'tokens over {STREAMS} streams', '1/s', per_s, at_least=0.99 * TOKENS_PER_S, deterministic=False
        ),
        Figure('cores that the entry took for them', 'cores', cores, at_most=CORES, deterministic=False),
        Figure(
            f'cores that the entry takes for {TOKENS_PER_S} tokens/s',
            'cores',
            cores * TOKENS_PER_S / per_s,
            at_most=CORES,
            deterministic=False,
        ),
    ]


async def _hold(entry: _Entry, held: int) -> list[Figure]:
    idle_mb = entry.memory_mb
    callers = StreamCallers(entry.address, _HELD_TOKENS)
    await callers.open(held)
    await callers.wait_for_tokens()
    per_stream_kb = (entry.memory_mb - idle_mb) * 1024 / held
    extra = StreamCallers(entry.address, _HELD_TOKENS)
    await extra.open(1)
    await extra.close()
    open_streams = callers.statuses.count(200)
    await callers.close()
    return [
        Figure('streams held at once', 'count', open_streams, at_least=held, deterministic=False),
        Figure('refusals of the next one (status)', '', extra.statuses[0], at_most=503, deterministic=False),
        Figure('memory of the entry for each stream held', 'KB', per_stream_kb, deterministic=False),
        Figure('memory of the entry before', 'MB', idle_mb, deterministic=False),
    ]
