"""Exporter of trace spans, on the OpenTelemetry SDK."""

import json
import sys
from collections.abc import Sequence
from typing import TextIO

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult


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


def start_provider(output: TextIO, node: str) -> TracerProvider:
    """Return a provider that exports to a text file in batches."""
    resource = Resource.create({'service.name': 'basilcove', 'service.instance.id': node})
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    provider.add_span_processor(BatchSpanProcessor(JsonLinesExporter(output)))
    return provider
