import dataclasses
import json
from pathlib import Path

from basilcove.core.events import RecordSpan
from basilcove.helpers.contexts import child_of
from basilcove.helpers.traces import Exporter, TraceConfig, Tracing
from tests.requests.network import World
from tests.requests.samples import make_environment, make_request

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def _run(world: World, until_s: float = 2) -> dict[str, list[RecordSpan]]:
    world.pace_s = 0.1
    caller = world.arrive('e0', dataclasses.replace(make_request('c', 'stream'), traceparent=PARENT))
    world.run(0.35)
    if until_s > 2:
        broken = next(iter(world.processes['e0'].entry.attempts.values())).attempt
        world.break_link(('e0', broken.agent))
    world.run(until_s)
    assert caller.end == 'whole'
    spans: dict[str, list[RecordSpan]] = {}
    for span in world.spans:
        spans.setdefault(span.name, []).append(span)
    return spans


class TestSpans:
    def test_each_hop_has_a_span_whose_parent_is_the_previous_one(self) -> None:
        """Guards against a trace that ends at the entry or is disconnected between processes."""
        spans = _run(World(make_environment()))
        assert {name: len(group) for name, group in spans.items()} == {
            'attempt': 1, 'agent': 1, 'queue': 1, 'upstream': 1,
        }  # fmt: skip
        attempt, agent = spans['attempt'][0], spans['agent'][0]
        queue, upstream = spans['queue'][0], spans['upstream'][0]
        assert (attempt.traceparent, agent.traceparent) == (PARENT, attempt.context)
        assert (queue.traceparent, upstream.traceparent) == (agent.context, agent.context)
        starts = [span.started_at for span in (attempt, agent, upstream)]
        ends = [span.ended_at for span in (queue, upstream, agent, attempt)]
        assert starts == sorted(starts)
        assert ends == sorted(ends)
        assert queue.ended_at == upstream.started_at

    def test_each_attempt_of_a_resumed_stream_has_its_own_span(self) -> None:
        """Guards against a trace in which a retry can't be told from the first attempt."""
        spans = _run(World(make_environment()), 5)
        first, second = spans['attempt']
        assert first.context != second.context
        assert dict(first.fields)['outcome'] == 'failed'
        assert dict(second.fields)['outcome'] == 'answered'
        assert {span.traceparent for span in spans['agent']} == {first.context, second.context}

    def test_request_without_a_trace_records_nothing(self) -> None:
        """Guards against spans that belong to no trace."""
        world = World(make_environment())
        world.arrive('e0', make_request('c'))
        world.run(2)
        assert not world.spans


class TestTracing:
    def test_exported_span_has_the_id_that_its_children_reference(self, tmp_path: Path) -> None:
        """Guards against spans whose parent is not exported."""
        path = tmp_path / 'spans'
        tracing = Tracing(TraceConfig(exporter=Exporter.FILE, path=path), 'entry-1')
        context = child_of(PARENT, 'a')
        tracing.record(RecordSpan('attempt', PARENT, 1, 2, (), context))
        tracing.record(RecordSpan('agent', context, 1, 2))
        tracing.unload()
        attempt, agent = map(json.loads, path.read_text().splitlines())
        assert attempt['context']['span_id'] == agent['parent_id']
        assert attempt['parent_id'] == '0xb7ad6b7169203331'
        assert agent['context']['span_id'] not in {attempt['context']['span_id'], '0x0000000000000000'}
