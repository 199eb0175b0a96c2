import ast
import gc
import threading
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

import prometheus_client
import pytest

from basilcove.helpers import metrics as module
from basilcove.helpers.metrics import Metrics
from tests.harness.processes import ROOT


def _counts() -> Iterator[tuple[str, tuple[str, ...]]]:
    """Yield name and label names of each counter that the source counts by literals."""
    for path in sorted(ROOT.glob('basilcove/**/*.py')):
        for call in ast.walk(_parse(path.read_text())):
            if not isinstance(call, ast.Call) or not call.args or not isinstance(call.args[0], ast.Constant):
                continue
            function = call.func
            if getattr(function, 'id', '') == 'Count' or getattr(function, 'attr', '') == 'count':
                pairs = (
                    call.args[1].elts if len(call.args) > 1 and isinstance(call.args[1], ast.Tuple) else ()
                )
                yield str(call.args[0].value), tuple(ast.literal_eval(pair.elts[0]) for pair in pairs)


def _parse(source: str) -> ast.AST:
    """Parse without garbage collection.

    Python 3.11 raises SystemError if a finalizer parses code in the meantime, as pytest does to report an
    exception of a finalizer that an earlier test left behind.
    """
    gc.disable()
    try:
        return ast.parse(source)
    finally:
        gc.enable()


class TestCounters:
    def test_concurrent_first_counts_share_a_counter(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a request that fails because two threads register the same counter."""
        both = threading.Barrier(2)

        def register(*arguments: Any, **options: Any) -> prometheus_client.Counter:
            try:
                both.wait(0.2)
            except threading.BrokenBarrierError:
                both.reset()
            return prometheus_client.Counter(*arguments, **options)

        monkeypatch.setattr(module, 'Counter', register)
        metrics = Metrics()
        labels = (('reason', 'client'),)
        threads = [
            threading.Thread(target=metrics.count, args=('requests_refused', labels, 1)) for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert 'basilcove_requests_refused_total{reason="client"} 2.0' in metrics.render().decode()

    def test_labelled_gauge_is_read_at_each_scrape(self) -> None:
        """Guards against series of groups that no longer have a limit."""
        limits = {'g-1': 57.5}
        metrics = Metrics()
        metrics.labelled_gauge('group_limit', 'Limit.', 'group', lambda: limits)
        assert 'basilcove_group_limit{group="g-1"} 57.5' in metrics.render().decode()
        limits.clear()
        assert 'g-1' not in metrics.render().decode()

    def test_each_counter_has_the_same_labels_everywhere(self) -> None:
        """Guards against an exception in a process whose roles count the same name with different labels."""
        labels = defaultdict(set)
        for name, label_names in _counts():
            labels[name].add(label_names)
        assert len(labels) > 20
        differing = [counted for counted, variants in labels.items() if len(variants) > 1]
        assert not differing
