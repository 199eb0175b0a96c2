"""Trace spans of attempts at an agent, below the span of the attempt at its entry."""

from basilcove.agents.models import AgentAttempt
from basilcove.core.events import Effect, RecordSpan
from basilcove.helpers.contexts import agent_context, upstream_context


def trace_waiting(attempt: AgentAttempt, now: float) -> list[Effect]:
    """Record the time in the queue, which ends now."""
    context = agent_context(attempt.start.traceparent)
    if not context:
        return []
    return [RecordSpan('queue', context, attempt.arrived_at, now, _fields(attempt))]


def trace_end(attempt: AgentAttempt, now: float) -> list[Effect]:
    """Record the time at the agent and, if the attempt ran, at the upstream; both end now."""
    traceparent = attempt.start.traceparent
    context = agent_context(traceparent)
    if not context:
        return []
    fields = _fields(attempt)
    spans: list[Effect] = [RecordSpan('agent', traceparent, attempt.arrived_at, now, fields, context)]
    if attempt.is_running:
        upstream_span_context = upstream_context(traceparent)
        spans.append(RecordSpan('upstream', context, attempt.called_at, now, fields, upstream_span_context))
    return spans


def _fields(attempt: AgentAttempt) -> tuple[tuple[str, str], ...]:
    start = attempt.start
    return (
        ('request_id', start.request_id),
        ('attempt_id', start.attempt_id),
        ('upstream', start.upstream),
        ('priority', start.priority),
    )
