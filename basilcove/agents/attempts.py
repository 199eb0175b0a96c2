"""Starts and ends attempts at an agent."""

from basilcove.agents.const import DEFAULT_RETRY_AFTER_S
from basilcove.agents.events import CallUpstream, CancelCall
from basilcove.agents.memory import make_ended
from basilcove.agents.models import AgentAttempt, AgentState
from basilcove.agents.tracing import trace_end, trace_waiting
from basilcove.core.events import Count, Effect, Log, Message, Peer, Send
from basilcove.core.ids import AttemptId
from basilcove.requests.messages import AttemptFailed, AttemptRefused, AttemptStarted


def start_waiting(state: AgentState, now: float) -> list[Effect]:
    """Call the upstream for as many waiting attempts as it has slots.

    Attempts whose deadline passed while they waited are refused first. So are all waiting attempts if the
    upstream has been leaving for longer than the grace period: an agent that was frozen must not start them.
    """
    effects = _refuse_after_grace(state, now)
    for expired in state.queue.expire(now):
        attempt = state.attempts.get(expired.attempt_id)
        if attempt is not None:
            effects.extend(refuse_waiting(state, attempt, now, 'the deadline passed while waiting'))
    item = state.queue.start_next(now)
    while item is not None:
        effects.extend(_call_upstream(state, item.attempt_id, now))
        item = state.queue.start_next(now)
    return effects


def bar_attempt(state: AgentState, peer: Peer, attempt_id: AttemptId, number: int, now: float) -> None:
    """Record an attempt as ended before its start, so that it never starts."""
    state.memory.add(attempt_id, make_ended(peer, number, now, has_started=False))


def refuse_waiting(state: AgentState, attempt: AgentAttempt, now: float, reason: str) -> list[Effect]:
    """End an attempt that waits, and confirm to its entry that it did not run."""
    attempt_id = attempt.start.attempt_id
    state.queue.cancel(attempt_id)
    state.attempts.pop(attempt_id, None)
    bar_attempt(state, attempt.entry, attempt_id, attempt.start.number, now)
    replies = notify_entry(
        attempt, AttemptRefused(attempt_id, reason, DEFAULT_RETRY_AFTER_S, state.leaving_reason is not None)
    )
    return [*replies, *trace_waiting(attempt, now), *trace_end(attempt, now)]


def end_running(
    state: AgentState, attempt: AgentAttempt, now: float, *, has_started: bool = True
) -> list[Effect]:
    """End a running attempt, so that its slot is free and it never starts again; return its spans."""
    start = attempt.start
    state.attempts.pop(start.attempt_id, None)
    state.running.pop(start.attempt_id, None)
    state.queue.finish(start.attempt_id, attempt.work, now)
    ended = make_ended(attempt.entry, start.number, now, has_started=has_started)
    state.memory.add(start.attempt_id, ended)
    return trace_end(attempt, now)


def abort(state: AgentState, attempt: AgentAttempt, now: float, reason: str) -> list[Effect]:
    """End a running attempt before its answer is complete; it is unknown whether the call took effect."""
    attempt_id = attempt.start.attempt_id
    spans = end_running(state, attempt, now)
    fields = (('request_id', attempt.start.request_id), ('attempt_id', attempt_id))
    return [
        CancelCall(attempt_id),
        Log('info', f'call ended: {reason}', fields),
        *notify_entry(attempt, AttemptFailed(attempt_id, reason)),
        *spans,
    ]


def notify_entry(attempt: AgentAttempt, msg: Message, *, may_wait: bool = False) -> list[Effect]:
    """Send a message about an attempt to its entry, if the entry still waits for it."""
    if attempt.is_orphaned:
        return []
    return [Send(attempt.entry.node, msg, may_wait)]


def _refuse_after_grace(state: AgentState, now: float) -> list[Effect]:
    if state.leaving_reason is None or state.grace_ends_at is None or now < state.grace_ends_at:
        return []
    effects: list[Effect] = []
    for attempt in tuple(state.attempts.values()):
        if not attempt.is_running:
            effects.extend(refuse_waiting(state, attempt, now, state.leaving_reason))
    return effects


def _call_upstream(state: AgentState, attempt_id: AttemptId, now: float) -> list[Effect]:
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        state.queue.finish(attempt_id, 0, now)
        return []
    attempt.is_running = True
    attempt.progressed_at = now
    attempt.called_at = now
    state.running[attempt_id] = attempt
    return [
        CallUpstream(attempt.entry.node, attempt.start, attempt.deadline - now),
        *notify_entry(attempt, AttemptStarted(attempt_id), may_wait=True),
        Count('calls_started'),
        *trace_waiting(attempt, now),
    ]
