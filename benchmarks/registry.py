"""Registry of benchmarks and the figures that they return."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Figure:
    """One measured figure beside its baseline; at most one of the bounds is set.

    A figure that is not deterministic (wall-clock time) never fails a run.
    """

    name: str
    unit: str
    measured: float
    baseline: float | None = None
    at_most: float | None = None
    at_least: float | None = None
    deterministic: bool = True

    @property
    def is_met(self) -> bool:
        """Tell whether the figure keeps its bound."""
        if self.at_most is not None and self.measured > self.at_most:
            return False
        return self.at_least is None or self.measured >= self.at_least


Benchmark: TypeAlias = Callable[[bool], list[Figure]]

BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a benchmark; its argument asks for the short run."""

    def register(run: Benchmark) -> Benchmark:
        BENCHMARKS[name] = run
        return run

    return register
