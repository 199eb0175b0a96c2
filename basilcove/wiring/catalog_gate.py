"""Lets code outside the reducer wait for proposals to and reads of the replicated catalog."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Self

from basilcove.catalog.events import ProposalFailed, Propose, Proposed, Query, QueryAnswered, QueryFailed
from basilcove.core.events import Effect, Event, Message
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import Runtime, carries_out
from basilcove.rpc.envelopes import Identity


@dataclass(frozen=True, slots=True)
class DeliverAnswer(Effect):
    """Delivers the answer to an adapter's request; ``answer`` is None if the request failed."""

    name: str
    answer: Message | None


@dataclass
class GateState:
    """Marks a node with an adapter; the names of its requests begin with ``prefix``."""

    prefix: str


class CatalogGate:
    """Sends requests of an adapter to the catalog; the driver of ``DeliverAnswer``."""

    def __init__(self, runtime: Runtime, prefix: str) -> None:
        """Start without requests; the prefix tells this process from all others."""
        self._runtime = runtime
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._waiting: dict[str, asyncio.Future[Message | None]] = {}
        runtime.node.add(GateState(prefix))
        runtime.add_driver(self)

    @classmethod
    def from_identity(cls, runtime: Runtime, identity: Identity) -> Self:
        """Return the gate of a process."""
        return cls(runtime, f'gate/{identity.node}/{identity.incarnation}/')

    async def propose(self, command: Message, timeout_s: float) -> Message | None:
        """Return the outcome of a command that a majority holds durably; None if it isn't known in time."""
        return await self._ask(timeout_s, lambda name, until: Propose(name, command, until))

    async def query(self, read: Message, timeout_s: float) -> Message | None:
        """Return the answer to a read, confirmed by a majority; None if it can't be confirmed in time."""
        return await self._ask(timeout_s, lambda name, until: Query(name, read, until))

    def deliver(self, name: str, answer: Message | None) -> None:
        """Deliver an answer to the request that waits for it."""
        fut = self._waiting.pop(name, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    async def _ask(self, timeout_s: float, build_event: Callable[[str, float], Event]) -> Message | None:
        name = f'{self._prefix}{next(self._numbers)}'
        fut: asyncio.Future[Message | None] = asyncio.get_running_loop().create_future()
        self._waiting[name] = fut
        self._runtime.apply(build_event(name, time.monotonic() + timeout_s))
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


@carries_out(DeliverAnswer, CatalogGate)
def _deliver_answer(gate: CatalogGate, effect: DeliverAnswer) -> None:
    gate.deliver(effect.name, effect.answer)
