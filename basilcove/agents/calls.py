"""Reports the progress and the end of upstream calls to the entries."""

from basilcove.agents.attempts import end_running, notify_entry, start_waiting
from basilcove.agents.const import DEFAULT_RETRY_AFTER_S
from basilcove.agents.events import UpstreamAnswered, UpstreamFailed, UpstreamFinished, UpstreamProgressed
from basilcove.agents.models import AgentState
from basilcove.core.events import Count, Effect
from basilcove.core.reducer import Context, handles
from basilcove.requests.messages import AnswerEnd, AnswerHead, AttemptFailed, AttemptRefused


@handles(UpstreamAnswered, AgentState)
def on_answered(state: AgentState, event: UpstreamAnswered, ctx: Context) -> list[Effect]:
    """Forward status and headers."""
    attempt = state.running.get(event.attempt_id)
    if attempt is None:
        return [_count_dropped(event)]
    attempt.progressed_at = ctx.now
    return notify_entry(attempt, AnswerHead(event.attempt_id, event.status, event.headers))


@handles(UpstreamProgressed, AgentState)
def on_progressed(state: AgentState, event: UpstreamProgressed, ctx: Context) -> list[Effect]:
    """Record progress, and correct the work in the queue if it exceeds the estimate."""
    attempt = state.running.get(event.attempt_id)
    if attempt is None:
        return [_count_dropped(event)]
    attempt.progressed_at = ctx.now
    attempt.tokens = max(attempt.tokens, event.tokens)
    if attempt.work > attempt.start.work:
        state.queue.correct(event.attempt_id, attempt.work)
    return []


@handles(UpstreamFinished, AgentState)
def on_finished(state: AgentState, event: UpstreamFinished, ctx: Context) -> list[Effect]:
    """Send the end marker, and start the next attempt."""
    attempt = state.running.get(event.attempt_id)
    if attempt is None:
        return [_count_dropped(event)]
    spans = end_running(state, attempt, ctx.now)
    end = AnswerEnd(event.attempt_id, event.chunks, event.length)
    return [*notify_entry(attempt, end), *spans, *start_waiting(state, ctx.now)]


@handles(UpstreamFailed, AgentState)
def on_failed(state: AgentState, event: UpstreamFailed, ctx: Context) -> list[Effect]:
    """Report the failure and whether it is certain that the call did not run, and start the next attempt."""
    attempt = state.running.get(event.attempt_id)
    if attempt is None:
        return [_count_dropped(event)]
    spans = end_running(state, attempt, ctx.now, has_started=event.sent)
    if event.sent:
        replies = notify_entry(attempt, AttemptFailed(event.attempt_id, event.reason))
    else:
        replies = notify_entry(attempt, AttemptRefused(event.attempt_id, event.reason, DEFAULT_RETRY_AFTER_S))
    return [*replies, *spans, *start_waiting(state, ctx.now)]


def _count_dropped(event: UpstreamAnswered | UpstreamProgressed | UpstreamFinished | UpstreamFailed) -> Count:
    return Count('call_events_dropped', (('kind', type(event).__name__),))
