"""Metrics of a process, in a registry of prometheus_client."""

import threading
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from basilcove.core.events import Count
from basilcove.core.runtime import carries_out

_LATENCY_BUCKETS_S: Final = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.45, 1, 2.5, 5, 10, 30, 60)


ReadByLabel = Callable[[], Mapping[str, float]]


class _LabelledGauge(Collector):
    """A gauge with one label, whose values are read at each scrape."""

    def __init__(self, name: str, text: str, label: str, read: ReadByLabel) -> None:
        self._name = name
        self._text = text
        self._label = label
        self._read = read

    def collect(self) -> Iterator[GaugeMetricFamily]:
        family = GaugeMetricFamily(self._name, self._text, labels=(self._label,))
        for label_value, reading in self._read().items():
            family.add_metric((label_value,), reading)
        yield family


class Metrics:
    """Counters by name and labels; the driver of ``Count``."""

    def __init__(self) -> None:
        """Start with an empty registry of its own."""
        self.registry = CollectorRegistry()
        self._lock = threading.Lock()
        self._counters: dict[str, Counter] = {}
        self._children: dict[tuple[str, tuple[tuple[str, str], ...]], Counter] = {}
        self.first_byte_s = Histogram(
            'basilcove_first_byte_seconds',
            'Time from a request to the first byte of its answer.',
            ('priority',),
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def count(self, name: str, labels: tuple[tuple[str, str], ...], amount: float) -> None:
        """Add to a counter; its label names are those of the first call."""
        counter = self._children.get((name, labels))
        if counter is None:
            # Server threads count refusals besides the loop's thread; a name can be registered only once.
            with self._lock:
                counter = self._find(name, labels)
            self._children[(name, labels)] = counter
        counter.inc(amount)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read at each scrape."""
        Gauge(f'basilcove_{name}', text, registry=self.registry).set_function(read)

    def labelled_gauge(self, name: str, text: str, label: str, read: ReadByLabel) -> None:
        """Register a gauge with one label that is read at each scrape, by value of the label."""
        self.registry.register(_LabelledGauge(f'basilcove_{name}', text, label, read))

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def _find(self, name: str, labels: tuple[tuple[str, str], ...]) -> Counter:
        counter = self._counters.get(name)
        if counter is None:
            names = [label for label, _ in labels]
            counter = Counter(f'basilcove_{name}', name.replace('_', ' '), names, registry=self.registry)
            self._counters[name] = counter
        return counter.labels(**dict(labels)) if labels else counter


@carries_out(Count, Metrics)
def count(metrics: Metrics, effect: Count) -> None:
    """Add to a counter."""
    metrics.count(effect.name, effect.labels, effect.amount)
