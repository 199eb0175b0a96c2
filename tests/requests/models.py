"""Callers, processes and links of the fake network."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from basilcove.agents.models import AgentState
from basilcove.core.events import Effect, Peer
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Node
from basilcove.requests.events import (
    BreakAnswer,
    EndAnswer,
    Refusal,
    RefuseRequest,
    Request,
    StartAnswer,
    WriteAnswer,
)
from basilcove.requests.models import RequestsState


@dataclass
class Caller:
    """A caller's request, the answer so far, and how often any upstream ran the request."""

    request: Request
    entry: 'Process'
    due: float
    head: int | None = None
    body: bytes = b''
    end: str | None = None
    refusal: Refusal | None = None
    runs: int = 0

    def receive(self, effect: Effect) -> None:
        """Receive a part of the entry's answer."""
        if self.end in {'gone', 'died'}:
            return
        assert self.end is None, f'{effect} after {self.end}'
        match effect:
            case StartAnswer(_, status, _):
                assert self.head is None
                self.head = status
            case WriteAnswer(_, body):
                assert self.head is not None
                self.body += body
            case EndAnswer():
                assert self.head is not None
                self.end = 'whole'
            case BreakAnswer():
                assert self.head is not None
                self.end = 'broken'
            case RefuseRequest(_, refusal):
                assert self.head is None
                self.end, self.refusal = 'refused', refusal


@dataclass
class Process:
    peer: Peer
    node: Node
    is_alive: bool = True
    frozen_at: float | None = None
    inbox: list[Callable[[], None]] = field(default_factory=list)
    sent: Counter[str] = field(default_factory=Counter)
    moved: set[str] = field(default_factory=set)

    @property
    def entry(self) -> RequestsState:
        return self.node.part(RequestsState)

    @property
    def agent(self) -> AgentState:
        return self.node.part(AgentState)


@dataclass
class Link:
    ends: dict[NodeId, Process]
    is_silent: bool = False
