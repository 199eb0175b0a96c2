"""Trace spans for each hop of a request."""

import enum
import importlib
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Final, TextIO

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from pydantic import BaseModel, ConfigDict

from basilcove.core.events import RecordSpan
from basilcove.core.runtime import carries_out
from basilcove.helpers.contexts import span_id_of

if TYPE_CHECKING:
    from opentelemetry.sdk.trace import TracerProvider

_PROPAGATOR: Final = TraceContextTextMapPropagator()
_NANOSECONDS_PER_S: Final = 1_000_000_000


class Exporter(enum.Enum):
    """Destination of spans."""

    NONE = 'none'
    FILE = 'file'
    STDERR = 'stderr'


class TraceConfig(BaseModel):
    """Exporter of the spans; ``path`` is for the exporter ``file``."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    exporter: Exporter = Exporter.NONE
    path: Path | None = None


class Tracing:
    """The tracer of one process."""

    def __init__(self, cfg: TraceConfig, node: str) -> None:
        """Open the exporter's output; without an exporter spans are not recorded."""
        self._provider: TracerProvider | None = None
        output = _open_output(cfg)
        if output is not None:
            # The SDK takes several megabytes of memory, which a node without an exporter saves.
            spans = importlib.import_module('basilcove.helpers.spans')
            self._provider = spans.start_provider(output, node)

    @property
    def is_recording(self) -> bool:
        """Tell whether spans are exported."""
        return self._provider is not None

    def start(self, name: str, traceparent: str, fields: Mapping[str, str]) -> trace.Span:
        """Start a span as a child of the given W3C trace context; start a new trace if that is empty."""
        if self._provider is None:
            return trace.INVALID_SPAN
        parent = _PROPAGATOR.extract({'traceparent': traceparent}) if traceparent else None
        tracer = self._provider.get_tracer('basilcove')
        return tracer.start_span(name, context=parent, attributes=dict(fields))

    def record(self, effect: RecordSpan) -> None:
        """Record a finished span."""
        if self._provider is None or not effect.traceparent:
            return
        parent = _PROPAGATOR.extract({'traceparent': effect.traceparent})
        tracer = self._provider.get_tracer('basilcove')
        offset_s = time.time() - time.monotonic()
        with self._provider.id_generator.use(span_id_of(effect.context)):  # type: ignore[attr-defined]
            span = tracer.start_span(
                effect.name,
                context=parent,
                attributes=dict(effect.fields),
                start_time=int((effect.started_at + offset_s) * _NANOSECONDS_PER_S),
            )
        span.end(int((effect.ended_at + offset_s) * _NANOSECONDS_PER_S))

    def unload(self) -> None:
        """Export what is buffered and close the output."""
        if self._provider is not None:
            self._provider.shutdown()


@carries_out(RecordSpan, Tracing)
def record_span(tracing: Tracing, effect: RecordSpan) -> None:
    """Record one finished span."""
    tracing.record(effect)


def traceparent_of(span: trace.Span, default: str) -> str:
    """Return the W3C header of a span's context, or the default if the span isn't recorded."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
    return carrier.get('traceparent', default)


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a W3C header; empty if it has none."""
    fields = traceparent.split('-')
    return fields[1] if len(fields) > 2 else ''


def _open_output(cfg: TraceConfig) -> TextIO | None:
    if cfg.exporter is Exporter.STDERR:
        return sys.stderr
    if cfg.exporter is Exporter.FILE and cfg.path is not None:
        return cfg.path.open('a', encoding='utf-8')
    return None
