"""Asks the control leader after each start for the newest revision; the node may not act on an older one."""

from dataclasses import dataclass
from typing import Final

from basilcove.catalog.commands import ReadRevision
from basilcove.catalog.events import Query, QueryAnswered
from basilcove.catalog.outcomes import RevisionRead
from basilcove.core.events import Effect, Emit, Tick
from basilcove.core.ids import Incarnation, NodeId
from basilcove.core.reducer import Context, handles
from basilcove.distribution.events import RevisionConfirmed
from basilcove.distribution.models import DistributionState
from basilcove.wiring.const import CONFIRMATION_TIMEOUT_S

_QUERY_PREFIX: Final = 'revision/'


@dataclass
class Confirmation:
    """The query for the newest revision; repeated until the node is ready or has the answer."""

    node: NodeId
    incarnation: Incarnation
    asked_at: float | None = None


@handles(Tick, Confirmation)
def on_tick(state: Confirmation, event: Tick, ctx: Context) -> list[Effect]:
    """Ask for the newest revision if it is needed and no query is in flight."""
    documents = ctx.node.part(DistributionState)
    if documents.ready or documents.confirmed_revision is not None:
        return []
    if state.asked_at is not None and ctx.now - state.asked_at < CONFIRMATION_TIMEOUT_S:
        return []
    state.asked_at = ctx.now
    # The incarnation keeps an answer to a former process from being taken for one to this process.
    query_id = f'{_QUERY_PREFIX}{state.node}/{state.incarnation}/{ctx.now}'
    return [Emit(Query(query_id, ReadRevision(*documents.key), ctx.now + CONFIRMATION_TIMEOUT_S))]


@handles(QueryAnswered, Confirmation)
def on_answered(state: Confirmation, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Pass the answer to the distribution of documents."""
    if event.query_id.startswith(_QUERY_PREFIX) and isinstance(event.answer, RevisionRead):
        return [Emit(RevisionConfirmed(event.answer.revision, event.answer.evacuations_version))]
    return []
