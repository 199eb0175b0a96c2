"""Reads what a process takes from the kernel's tables, and fits lines through such figures."""

import re
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

_KIB_PER_MB: Final = 1024.0
_NS_PER_S: Final = 1e9


@dataclass(frozen=True)
class Sample:
    """Totals of a process at one moment; memory in MB, times in seconds."""

    at: float
    threads: int
    cpu_s: float
    rss_mb: float
    pss_mb: float


def sample(pid: int) -> Sample:
    """Read the totals of a process.

    CPU time is the sum over the threads' schedstat, the clock behind /proc/PID/stat in nanoseconds
    instead of ticks of 10 ms. The sum loses threads that ended, and an idle daemon ends none.
    """
    folder = Path(f'/proc/{pid}')
    threads = list(folder.glob('task/*/schedstat'))
    cpu_ns = sum(int(thread.read_text().split()[0]) for thread in threads)
    rss = _kib(folder / 'status', 'VmRSS')
    pss = _kib(folder / 'smaps_rollup', 'Pss')
    return Sample(time.monotonic(), len(threads), cpu_ns / _NS_PER_S, rss / _KIB_PER_MB, pss / _KIB_PER_MB)


def line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through points (x, y)."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def _kib(path: Path, name: str) -> float:
    found = re.search(rf'^{name}:\s+(\d+) kB', path.read_text(), re.MULTILINE)
    return float(found.group(1)) if found else 0.0
