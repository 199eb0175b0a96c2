"""Exporter of trace spans, based on the OpenTelemetry SDK."""

import json
import sys
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import TextIO

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator


class JsonLinesExporter(SpanExporter):
    """Writes each span as one JSON object a line."""

    def __init__(self, output: TextIO) -> None:
        """Write to an open text file."""
        self._output = output

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self._output.write(json.dumps(json.loads(span.to_json()), separators=(',', ':')))
            self._output.write('\n')
        self._output.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file unless it is standard error."""
        if self._output is not sys.stderr:
            self._output.close()


class SpanIds(RandomIdGenerator):
    """Generates random ids, except for spans whose id other processes have derived already."""

    def __init__(self) -> None:
        """Start without a preset id; each thread has its own."""
        self._preset = threading.local()

    @contextmanager
    def use(self, span_id: int) -> Iterator[None]:
        """Preset the id of spans that this thread starts within the context; 0 for random ids."""
        self._preset.span_id = span_id
        try:
            yield
        finally:
            self._preset.span_id = 0

    def generate_span_id(self) -> int:
        """Return the preset id or a random one."""
        return getattr(self._preset, 'span_id', 0) or super().generate_span_id()


def start_provider(output: TextIO, node: str) -> TracerProvider:
    """Return a provider that exports to a text file in batches."""
    resource = Resource.create({'service.name': 'basilcove', 'service.instance.id': node})
    provider = TracerProvider(resource=resource, id_generator=SpanIds(), shutdown_on_exit=False)
    provider.add_span_processor(BatchSpanProcessor(JsonLinesExporter(output)))
    return provider
