"""Handles the attempts at an agent: start, bar, cancel, leaving and the planned stop.

An agent announces ``AgentState.leaving_reason``, ``AgentState.incarnation`` and ``current_load``.
"""

from basilcove.admission.models import QueueItem, Refused
from basilcove.agents import calls  # noqa: F401 (registers its handlers)
from basilcove.agents.attempts import abort, bar_attempt, end_running, refuse_waiting, start_waiting
from basilcove.agents.const import DEFAULT_RETRY_AFTER_S, LEAVING_GRACE_S
from basilcove.agents.events import CancelCall, LeaveRequested, ReturnRequested
from basilcove.agents.models import AgentAttempt, AgentState
from basilcove.core.events import Count, Effect, PeerFound, PeerLost, Received, Send, StopRequested, Tick
from basilcove.core.ids import Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.requests.events import StopCompleted
from basilcove.requests.messages import AttemptFailed, AttemptRefused, CancelAttempt, StartAttempt
from basilcove.routing.models import UpstreamLoad


def current_load(state: AgentState) -> UpstreamLoad:
    """Return the load to announce.

    The speed is that of all slots, busy or not: a router that used the current rate of generated tokens
    instead would consider a lightly loaded upstream slow and a full one fast.
    """
    queue = state.queue
    return UpstreamLoad(queue.queued_work, len(state.running), queue.tokens_per_s, queue.work_by_level)


@handles(EnvironmentChanged, AgentState)
def on_environment(state: AgentState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    """Apply slots and limits of a newer document."""
    if state.revision is not None and event.revision <= state.revision:
        return []
    state.revision = event.revision
    upstream = event.environment.upstreams.get(state.upstream)
    state.is_allowed = upstream is not None
    if upstream is None:
        return []
    state.queue.configure(event.environment, upstream.slots)
    return start_waiting(state, ctx.now)


@handles_message(StartAttempt, AgentState)
def on_start(state: AgentState, event: Received, ctx: Context) -> list[Effect]:
    """Queue an attempt that this agent has not seen before, or reply why it was not queued."""
    msg = event.message
    if not isinstance(msg, StartAttempt) or not state.memory.register_sender(event.peer, ctx.now):
        return [_count_dropped(event, 'former_entry')]
    if msg.attempt_id in state.attempts:
        return [_count_dropped(event, 'duplicate_attempt')]
    reply = _reply_if_ended(state, event, msg)
    if reply is not None:
        return reply
    reason = _find_refusal_reason(state, msg)
    deadline = ctx.now + msg.timeout_s
    retry_after_s = DEFAULT_RETRY_AFTER_S
    if reason is None:
        item = QueueItem(msg.attempt_id, msg.team, msg.priority, msg.work, deadline, msg.admitted_before)
        admission = state.queue.offer(item, ctx.now)
        if not isinstance(admission, Refused):
            state.attempts[msg.attempt_id] = AgentAttempt(msg, event.peer, deadline, ctx.now)
            return start_waiting(state, ctx.now)
        reason, retry_after_s = admission.reason, admission.retry_after_s
    bar_attempt(state, event.peer, msg.attempt_id, msg.number, ctx.now)
    return [
        Send(
            event.peer.node,
            AttemptRefused(msg.attempt_id, reason, retry_after_s, state.leaving_reason is not None),
        ),
        Count('attempts_refused'),
    ]


@handles_message(CancelAttempt, AgentState)
def on_cancel(state: AgentState, event: Received, ctx: Context) -> list[Effect]:
    """Bar an attempt that has not started; end a running one if requested."""
    msg = event.message
    if not isinstance(msg, CancelAttempt) or not state.memory.register_sender(event.peer, ctx.now):
        return [_count_dropped(event, 'former_entry')]
    attempt = state.attempts.get(msg.attempt_id)
    if attempt is None:
        reply = _reply_if_ended(state, event, msg)
        if reply is not None:
            return reply
        bar_attempt(state, event.peer, msg.attempt_id, msg.number, ctx.now)
        return [Send(event.peer.node, AttemptRefused(msg.attempt_id, 'cancelled', DEFAULT_RETRY_AFTER_S))]
    if attempt.entry != event.peer:
        return [_count_dropped(event, 'other_sender')]
    if not attempt.is_running:
        return refuse_waiting(state, attempt, ctx.now, 'cancelled')
    if msg.only_if_waiting:
        return []
    spans = end_running(state, attempt, ctx.now)
    return [CancelCall(msg.attempt_id), *spans, *start_waiting(state, ctx.now)]


@handles(PeerFound, AgentState)
def on_peer_found(state: AgentState, event: PeerFound, ctx: Context) -> list[Effect]:
    """Use a new link; the entry has failed its attempts in flight on a former one."""
    former = state.links.get(event.peer.node)
    state.links[event.peer.node] = event.peer
    return _orphan_attempts(state, former, ctx.now) if former is not None else []


@handles(PeerLost, AgentState)
def on_peer_lost(state: AgentState, event: PeerLost, ctx: Context) -> list[Effect]:
    """End the attempts of a lost entry; calls that may run only once run to their end."""
    if state.links.get(event.peer.node) == event.peer:
        state.links.pop(event.peer.node)
    return _orphan_attempts(state, event.peer, ctx.now)


@handles(LeaveRequested, AgentState)
def on_leave(state: AgentState, event: LeaveRequested, ctx: Context) -> list[Effect]:
    """Accept no new work from now on; attempts in flight continue."""
    _start_leaving(state, event.reason, ctx.now)
    return []


@handles(ReturnRequested, AgentState)
def on_return(state: AgentState, event: ReturnRequested, ctx: Context) -> list[Effect]:
    """Accept new work again, unless the process stops."""
    if state.stop_by is None:
        state.leaving_reason = None
        state.grace_ends_at = None
    return []


@handles(StopRequested, AgentState)
def on_stop(state: AgentState, event: StopRequested, ctx: Context) -> list[Effect]:
    """Leave, and stop once the attempts in flight have ended or the timeout has passed."""
    _start_leaving(state, 'the agent is stopping', ctx.now)
    if state.stop_by is None:
        state.stop_by = ctx.now + state.config.stop_timeout_s
    return _check_stop(state)


@handles(Tick, AgentState)
def on_tick(state: AgentState, event: Tick, ctx: Context) -> list[Effect]:
    """Enforce deadlines, progress timeouts and the grace period, and end a planned stop in time."""
    effects: list[Effect] = []
    for attempt in tuple(state.running.values()):
        reason = _find_abort_reason(state, attempt, ctx.now)
        if reason is not None:
            effects.extend(abort(state, attempt, ctx.now, reason))
    effects.extend(start_waiting(state, ctx.now))
    state.memory.expire(ctx.now)
    return [*effects, *_check_stop(state)]


def _reply_if_ended(
    state: AgentState,
    event: Received,
    msg: StartAttempt | CancelAttempt,
) -> list[Effect] | None:
    """Reply to a message about an attempt that ended here, or may have; None if the attempt is new."""
    if msg.incarnation != state.incarnation:
        # The former process may have run the attempt.
        reason = 'addressed to another process start of the agent'
        return [Send(event.peer.node, AttemptFailed(msg.attempt_id, reason))]
    ended = state.memory.find(msg.attempt_id)
    if ended is not None:
        if ended.has_started:
            return [_count_dropped(event, 'ended_attempt')]
        refusal = AttemptRefused(msg.attempt_id, 'barred before', DEFAULT_RETRY_AFTER_S)
        return [Send(event.peer.node, refusal)]
    if state.memory.may_have_ended(event.peer, msg.number):
        return [Send(event.peer.node, AttemptFailed(msg.attempt_id, 'older than the memory of attempts'))]
    return None


def _find_refusal_reason(state: AgentState, msg: StartAttempt) -> str | None:
    if state.leaving_reason is not None:
        return state.leaving_reason
    if msg.upstream != state.upstream:
        return f'this agent serves {state.upstream}'
    if not state.is_allowed:
        return 'the document does not allow the upstream'
    return None


def _start_leaving(state: AgentState, reason: str, now: float) -> None:
    if state.leaving_reason is None:
        state.leaving_reason = reason
        state.grace_ends_at = now + LEAVING_GRACE_S


def _find_abort_reason(state: AgentState, attempt: AgentAttempt, now: float) -> str | None:
    if state.stop_by is not None and now >= state.stop_by:
        return 'the agent stopped'
    if now - attempt.progressed_at >= state.config.progress_timeout_s:
        return 'the upstream made no progress'
    if now >= attempt.deadline and attempt.start.repeatable:
        return 'the deadline has passed'
    return None


def _orphan_attempts(state: AgentState, entry: object, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for attempt in tuple(state.attempts.values()):
        if attempt.entry != entry:
            continue
        attempt.is_orphaned = True
        if not attempt.is_running:
            effects.extend(refuse_waiting(state, attempt, now, 'the entry was lost'))
        elif attempt.start.repeatable:
            effects.extend(end_running(state, attempt, now))
            effects.append(CancelCall(attempt.start.attempt_id))
    return [*effects, *start_waiting(state, now)]


def _check_stop(state: AgentState) -> list[Effect]:
    if state.stop_by is None or state.stop_completed or state.attempts:
        return []
    state.stop_completed = True
    return [StopCompleted(Role.AGENT)]


def _count_dropped(event: Received, reason: str) -> Count:
    return Count('messages_dropped', (('kind', type(event.message).__name__), ('reason', reason)))
