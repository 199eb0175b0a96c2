"""Lets an adapter store and read documents whose revisions are numbered by the operator."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

from basilcove.catalog.commands import PutDocument, ReadDocument
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import ProposalFailed, Propose, Proposed, Query, QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import DocumentApplied, DocumentRead
from basilcove.core.events import Effect, Event, Message
from basilcove.core.ids import EnvironmentName, Incarnation, NodeId, Revision, Stage
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import Runtime, carries_out
from basilcove.wiring.const import DOCUMENT_TIMEOUT_S

_NO_REVISION = Revision(0)


@dataclass(frozen=True, slots=True)
class DeliverAnswer(Effect):
    """Delivers the answer to an adapter's request; ``answer`` is None if the request failed."""

    name: str
    answer: Message | None


@dataclass
class GateState:
    """Marks a node with an adapter; the names of its requests begin with ``prefix``."""

    prefix: str


class DocumentGate:
    """Sends requests of an adapter to the catalog; the driver of ``DeliverAnswer``."""

    def __init__(
        self,
        runtime: Runtime,
        node: NodeId,
        incarnation: Incarnation,
        environment: EnvironmentName,
        stage: Stage,
    ) -> None:
        """Serve the documents of one environment and stage."""
        self._runtime = runtime
        self._key = (environment, stage)
        self._prefix = f'gate/{node}/{incarnation}/'
        self._numbers = itertools.count(1)
        self._waiting: dict[str, asyncio.Future[Message | None]] = {}
        runtime.node.add(GateState(self._prefix))
        runtime.add_driver(self)

    async def put(self, revision: Revision, text: str) -> bool:
        """Store a document; tell whether a majority is known to hold this or a higher revision durably."""
        if revision <= self.committed_revision:
            return True
        answer = await self._ask(
            lambda name, until: Propose(name, PutDocument(*self._key, revision, text), until)
        )
        return isinstance(answer, DocumentApplied)

    async def read(self) -> tuple[Revision, str] | None:
        """Return the newest document, confirmed by a majority; None if it can't be confirmed now."""
        answer = await self._ask(lambda name, until: Query(name, ReadDocument(*self._key), until))
        if not isinstance(answer, DocumentRead):
            return None
        return answer.revision, answer.document

    @property
    def committed_revision(self) -> Revision:
        """Return the newest revision that this host knows to be committed."""
        row = self._runtime.node.part(ControlState).catalog.documents.get(self._key)
        return row.revision if row is not None else _NO_REVISION

    def deliver(self, name: str, answer: Message | None) -> None:
        """Deliver an answer to the request that waits for it."""
        fut = self._waiting.pop(name, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    async def _ask(self, build_event: Callable[[str, float], Event]) -> Message | None:
        name = f'{self._prefix}{next(self._numbers)}'
        fut: asyncio.Future[Message | None] = asyncio.get_running_loop().create_future()
        self._waiting[name] = fut
        self._runtime.apply(build_event(name, time.monotonic() + DOCUMENT_TIMEOUT_S))
        return await fut


@handles(Proposed, GateState)
def _on_proposed(state: GateState, event: Proposed, ctx: Context) -> list[Effect]:
    return _deliver(state, event.proposal_id, event.result)


@handles(ProposalFailed, GateState)
def _on_proposal_failed(state: GateState, event: ProposalFailed, ctx: Context) -> list[Effect]:
    return _deliver(state, event.proposal_id, None)


@handles(QueryAnswered, GateState)
def _on_answered(state: GateState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    return _deliver(state, event.query_id, event.answer)


@handles(QueryFailed, GateState)
def _on_query_failed(state: GateState, event: QueryFailed, ctx: Context) -> list[Effect]:
    return _deliver(state, event.query_id, None)


def _deliver(state: GateState, name: str, answer: Message | None) -> list[Effect]:
    return [DeliverAnswer(name, answer)] if name.startswith(state.prefix) else []


@carries_out(DeliverAnswer, DocumentGate)
def _deliver_answer(gate: DocumentGate, effect: DeliverAnswer) -> None:
    gate.deliver(effect.name, effect.answer)
