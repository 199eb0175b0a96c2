"""Tracks durable writes, and defers messages until the hard state that they rely on is synced."""

from basilcove.consensus.models import ConsensusState, DeferredMessage, PendingWrite
from basilcove.core.events import Effect, Message, Send
from basilcove.core.ids import NodeId
from basilcove.storage.events import Persist, PersistSnapshot
from basilcove.storage.models import LogEntry, Snapshot


def persist(state: ConsensusState, entries: tuple[LogEntry, ...], with_hard_state: bool = False) -> Effect:
    """Return the write of entries and, if ``with_hard_state``, of term, vote and identity."""
    ticket = _next_ticket(state, state.log.last_index if entries else 0)
    if with_hard_state:
        state.durability.hard_state_ticket = ticket
    return Persist(ticket, state.hard_state if with_hard_state else None, entries)


def persist_snapshot(state: ConsensusState, snapshot: Snapshot) -> Effect:
    """Return the write of a snapshot and the log entries after it."""
    ticket = _next_ticket(state, state.log.last_index)
    tail = state.log.between(snapshot.index + 1, state.log.last_index)
    return PersistSnapshot(ticket, snapshot, state.hard_state, tail)


def send_when_durable(state: ConsensusState, node: NodeId, message: Message) -> list[Effect]:
    """Send a message once the term, vote and identity that it relies on are synced."""
    durability = state.durability
    if durability.confirmed_ticket >= durability.hard_state_ticket:
        return [Send(node, message)]
    durability.deferred.append(DeferredMessage(durability.hard_state_ticket, node, message))
    return []


def confirm_writes(state: ConsensusState, ticket: int) -> list[Effect]:
    """Record that writes up to a ticket are synced; return the messages deferred until then."""
    durability = state.durability
    durability.confirmed_ticket = ticket
    while durability.pending and durability.pending[0].ticket <= ticket:
        written = durability.pending.popleft()
        durability.synced_index = max(durability.synced_index, written.last_index)
    effects: list[Effect] = []
    while durability.deferred and durability.deferred[0].ticket <= ticket:
        deferred = durability.deferred.popleft()
        effects.append(Send(deferred.node, deferred.message))
    return effects


def is_hard_state_durable(state: ConsensusState) -> bool:
    """Tell whether term, vote and identity are synced."""
    return state.durability.confirmed_ticket >= state.durability.hard_state_ticket


def _next_ticket(state: ConsensusState, last_index: int) -> int:
    state.durability.ticket += 1
    state.durability.pending.append(PendingWrite(state.durability.ticket, last_index))
    return state.durability.ticket
