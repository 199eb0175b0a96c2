"""State of requests and attempts at an entry."""

import enum
import math
from dataclasses import dataclass, field
from typing import Self

from basilcove.core.events import Peer
from basilcove.core.ids import AttemptId, Incarnation, NodeId, RequestId, Revision, UpstreamName, Zone
from basilcove.environment.models import Environment
from basilcove.membership.events import UpstreamJoined
from basilcove.requests.assembly import Assemblies
from basilcove.requests.budget import RetryBudget
from basilcove.requests.claims import ClaimKey, StoredAnswer
from basilcove.requests.config import RequestsConfig
from basilcove.requests.events import Request
from basilcove.requests.limits import TeamLimits
from basilcove.routing.models import Candidate, RouteRequest
from basilcove.routing.router import Router


class AttemptPhase(enum.Enum):
    """Progress of an attempt, according to its agent's messages."""

    SENT = 'sent'
    STARTED = 'started'
    ANSWERING = 'answering'


@dataclass(slots=True)
class Attempt:
    """One attempt in flight.

    ``is_moving`` is set once the agent was asked to bar the attempt if it still waits, so that
    it can be sent to another upstream.
    """

    attempt_id: AttemptId
    number: int
    upstream: UpstreamName
    agent: NodeId
    incarnation: Incarnation
    sent_at: float
    phase: AttemptPhase = AttemptPhase.SENT
    is_moving: bool = False


class ClaimPhase(enum.Enum):
    """Progress of the claim of a keyed call."""

    ASKED = 'asked'
    GRANTED = 'granted'
    RECORDING = 'recording'


@dataclass(slots=True)
class KeyClaim:
    """Claim of a keyed call; the answer is withheld from the caller until recorded or ``deliver_by``."""

    key: ClaimKey
    attempt_id: AttemptId
    phase: ClaimPhase = ClaimPhase.ASKED
    answer: StoredAnswer | None = None
    deliver_by: float = 0


@dataclass(slots=True)
class RequestRecord:
    """One request that has not ended; times in monotonic seconds, ``level`` is the level of its priority.

    ``may_have_run`` is set once an attempt was lost without a confirmation that it did
    not run. ``status`` and ``headers`` are from the head of the answer, ``tokens`` counts the tokens
    that earlier attempts delivered. ``confirm_by`` is set once an attempt was barred at the deadline.
    ``has_reserved_retry`` is set while a retry is allowed but not yet sent. One
    retry of each request is free of the budget: the one after a refusal by a leaving upstream, because a
    planned stop must not fail requests that wait. This can't amplify a flood, because the upstream is then
    paused. ``has_used_free_retry`` is set once that retry was allowed. ``admitted_before`` is set once an
    agent that had admitted the request returned it.
    """

    request: Request
    level: int
    deadline: float
    repeatable: bool
    claim: KeyClaim | None = None
    attempt: Attempt | None = None
    tried_upstreams: set[UpstreamName] = field(default_factory=set)
    may_have_run: bool = False
    is_head_sent: bool = False
    is_caller_gone: bool = False
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    tokens: int = 0
    retry_after_s: float | None = None
    confirm_by: float | None = None
    has_reserved_retry: bool = False
    has_used_free_retry: bool = False
    admitted_before: bool = False

    @property
    def route(self) -> RouteRequest:
        """Return the properties of the request by which the router chooses an upstream."""
        req = self.request
        return RouteRequest(req.model, req.service, req.work, req.prefix, level=self.level)

    @property
    def can_resume(self) -> bool:
        """Tell whether another upstream can resume the answer at a token offset."""
        return self.request.model is not None and self.request.stream


@dataclass(slots=True)
class UpstreamStatus:
    """Status of an upstream that joined; it is not chosen before ``paused_until``, in monotonic seconds."""

    joined: UpstreamJoined
    is_leaving: bool = False
    paused_until: float = 0


@dataclass
class RequestsState:
    """All requests of one entry.

    The records of the requests are in ``requests`` by request id, in ``attempts`` by the id of the attempt
    in flight, and in ``claims`` by the attempt id of the claim. ``is_router_stale`` is set while the
    router does not have the current candidates. At ``refresh_at``, in monotonic seconds, the first paused
    upstream becomes a candidate again.
    """

    node: NodeId
    incarnation: Incarnation
    router: Router
    config: RequestsConfig = field(default_factory=RequestsConfig)
    environment: Environment | None = None
    revision: Revision | None = None
    upstreams: dict[UpstreamName, UpstreamStatus] = field(default_factory=dict)
    links: dict[NodeId, Peer] = field(default_factory=dict)
    requests: dict[RequestId, RequestRecord] = field(default_factory=dict)
    attempts: dict[AttemptId, RequestRecord] = field(default_factory=dict)
    claims: dict[AttemptId, RequestRecord] = field(default_factory=dict)
    assemblies: Assemblies = field(default_factory=Assemblies)
    budget: RetryBudget = field(default_factory=RetryBudget)
    limits: TeamLimits = field(default_factory=TeamLimits)
    last_number: int = 0
    swept_at: float = 0
    is_router_stale: bool = False
    refresh_at: float = math.inf
    stop_by: float | None = None
    stop_completed: bool = False

    @classmethod
    def from_config(cls, cfg: RequestsConfig, node: NodeId, incarnation: Incarnation, zone: Zone) -> Self:
        """Return the state of an entry that has just started."""
        return cls(node, incarnation, Router(zone), cfg)

    @property
    def is_ready(self) -> bool:
        """Tell whether the entry accepts new requests."""
        return self.environment is not None and self.stop_by is None

    def next_attempt_id(self) -> tuple[AttemptId, int]:
        """Return a new attempt id and its number."""
        self.last_number += 1
        return AttemptId(f'{self.node}-{self.incarnation}-{self.last_number}'), self.last_number

    def pause(self, upstream: UpstreamName, until: float) -> None:
        """Exclude an upstream, whose agent reported that it leaves, from the candidates until this time."""
        status = self.upstreams.get(upstream)
        if status is not None:
            status.paused_until = until
            self.refresh_at = min(self.refresh_at, until)
            self.is_router_stale = True

    def choose(self, record: RequestRecord, now: float) -> UpstreamName | None:
        """Return an upstream for the next attempt: one that has a link and was not tried yet."""
        if self.is_router_stale or now >= self.refresh_at:
            self.router.update(self._candidates(now), now)
            self.is_router_stale = False
        return self.router.choose(record.route, now, record.tried_upstreams)

    def _candidates(self, now: float) -> list[Candidate]:
        self.refresh_at = math.inf
        candidates: list[Candidate] = []
        for status in self.upstreams.values():
            if status.is_leaving or not self._has_link(status.joined):
                continue
            if status.paused_until > now:
                self.refresh_at = min(self.refresh_at, status.paused_until)
                continue
            candidates.append(_to_candidate(status.joined))
        return candidates

    def _has_link(self, joined: UpstreamJoined) -> bool:
        link = self.links.get(joined.agent)
        return link is not None and link.incarnation == joined.incarnation


def _to_candidate(joined: UpstreamJoined) -> Candidate:
    models, services = frozenset(joined.models), frozenset(joined.services)
    return Candidate(joined.upstream, joined.zone, models, services, joined.slots)
