"""Keeps promises back until what they rest on is synced."""

from basilcove.consensus.models import ConsensusState, HeldMessage, PendingWrite
from basilcove.core.events import Effect, Message, Send
from basilcove.core.ids import NodeId
from basilcove.storage.events import Persist, PersistSnapshot
from basilcove.storage.models import LogEntry, Snapshot


def persist(state: ConsensusState, entries: tuple[LogEntry, ...], hard: bool = False) -> Effect:
    """Return the write of entries and, if ``hard``, of term, vote and identity."""
    ticket = _next_ticket(state, state.log.last_index if entries else 0)
    if hard:
        state.durability.hard_ticket = ticket
    return Persist(ticket, state.hard_state if hard else None, entries)


def persist_snapshot(state: ConsensusState, snapshot: Snapshot) -> Effect:
    """Return the write of a snapshot with the rest of the log after it."""
    ticket = _next_ticket(state, state.log.last_index)
    tail = state.log.between(snapshot.index + 1, state.log.last_index)
    return PersistSnapshot(ticket, snapshot, state.hard_state, tail)


def send_when_durable(state: ConsensusState, node: NodeId, message: Message) -> list[Effect]:
    """Send a message that promises something about term, vote or identity."""
    durability = state.durability
    if durability.confirmed >= durability.hard_ticket:
        return [Send(node, message)]
    durability.held.append(HeldMessage(durability.hard_ticket, node, message))
    return []


def confirm(state: ConsensusState, ticket: int) -> list[Effect]:
    """Take account of a sync; return the messages that waited for it."""
    durability = state.durability
    durability.confirmed = ticket
    while durability.pending and durability.pending[0].ticket <= ticket:
        written = durability.pending.popleft()
        durability.synced_index = max(durability.synced_index, written.last_index)
    effects: list[Effect] = []
    while durability.held and durability.held[0].ticket <= ticket:
        held = durability.held.popleft()
        effects.append(Send(held.node, held.message))
    return effects


def is_hard_state_durable(state: ConsensusState) -> bool:
    """Tell whether term, vote and identity are synced."""
    return state.durability.confirmed >= state.durability.hard_ticket


def _next_ticket(state: ConsensusState, last_index: int) -> int:
    state.durability.ticket += 1
    state.durability.pending.append(PendingWrite(state.durability.ticket, last_index))
    return state.durability.ticket
