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
    """What the entry knows of an attempt."""

    SENT = 'sent'
    STARTED = 'started'
    ANSWERING = 'answering'


@dataclass(slots=True)
class Attempt:
    """One attempt in flight; ``is_moving`` once it was asked to end if it still waits."""

    attempt_id: AttemptId
    number: int
    upstream: UpstreamName
    agent: NodeId
    incarnation: Incarnation
    sent_at: float
    phase: AttemptPhase = AttemptPhase.SENT
    is_moving: bool = False


class ClaimPhase(enum.Enum):
    """Where a keyed call stands with its claim."""

    ASKED = 'asked'
    GRANTED = 'granted'
    RECORDING = 'recording'


@dataclass(slots=True)
class KeyClaim:
    """Claim of a keyed call; the answer is held until it is recorded or ``answer_by``."""

    key: ClaimKey
    attempt_id: AttemptId
    phase: ClaimPhase = ClaimPhase.ASKED
    answer: StoredAnswer | None = None
    answer_by: float = 0


@dataclass(slots=True)
class RequestRecord:
    """One request that has not ended; times in monotonic seconds, ``level`` that of its priority.

    ``may_have_run`` holds once an attempt was lost without a confirmation that it did
    not run. ``status`` and ``headers`` are those of the answer's head, ``tokens`` those
    delivered by earlier attempts. ``confirm_by`` is set once an attempt was barred at the deadline.
    ``has_paid_retry`` holds while a retry is allowed but not sent. One
    retry of each request is free of the budget, if its upstream leaves: a planned stop must not end
    requests that wait. This can't amplify a flood, because the upstream is then paused; ``has_moved``
    holds once it was used. ``admitted_before`` holds once an agent that had admitted the request handed
    it back.
    """

    request: Request
    level: int
    deadline: float
    repeatable: bool
    claim: KeyClaim | None = None
    attempt: Attempt | None = None
    tried: set[UpstreamName] = field(default_factory=set)
    may_have_run: bool = False
    head_sent: bool = False
    caller_gone: bool = False
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    tokens: int = 0
    retry_after_s: float | None = None
    confirm_by: float | None = None
    has_paid_retry: bool = False
    has_moved: bool = False
    admitted_before: bool = False

    @property
    def route(self) -> RouteRequest:
        """What the router needs to know of the request."""
        req = self.request
        return RouteRequest(req.model, req.service, req.work, req.prefix, level=self.level)

    @property
    def can_resume(self) -> bool:
        """Tell whether another upstream can go on at a token offset."""
        return self.request.model is not None and self.request.stream


@dataclass(slots=True)
class KnownUpstream:
    """An upstream that joined; not chosen until ``paused_until``, in monotonic seconds."""

    joined: UpstreamJoined
    is_leaving: bool = False
    paused_until: float = 0


@dataclass
class RequestsState:
    """All requests of one entry.

    ``requests`` holds each by its id, ``attempts`` by the id of its attempt in flight and
    ``claims`` by the attempt id of its claim.
    """

    node: NodeId
    incarnation: Incarnation
    router: Router
    config: RequestsConfig = field(default_factory=RequestsConfig)
    environment: Environment | None = None
    revision: Revision | None = None
    upstreams: dict[UpstreamName, KnownUpstream] = field(default_factory=dict)
    links: dict[NodeId, Peer] = field(default_factory=dict)
    requests: dict[RequestId, RequestRecord] = field(default_factory=dict)
    attempts: dict[AttemptId, RequestRecord] = field(default_factory=dict)
    claims: dict[AttemptId, RequestRecord] = field(default_factory=dict)
    assemblies: Assemblies = field(default_factory=Assemblies)
    budget: RetryBudget = field(default_factory=RetryBudget)
    limits: TeamLimits = field(default_factory=TeamLimits)
    last_number: int = 0
    swept_at: float = 0
    candidates_changed: bool = False
    refresh_at: float = math.inf
    stop_by: float | None = None
    stop_completed: bool = False

    @classmethod
    def from_config(cls, cfg: RequestsConfig, node: NodeId, incarnation: Incarnation, zone: Zone) -> Self:
        """Return the state of an entry that has just started."""
        return cls(node, incarnation, Router(zone), cfg)

    @property
    def is_ready(self) -> bool:
        """Tell whether the entry takes new requests."""
        return self.environment is not None and self.stop_by is None

    def next_attempt_id(self) -> tuple[AttemptId, int]:
        """Return a new attempt id and its number."""
        self.last_number += 1
        return AttemptId(f'{self.node}-{self.incarnation}-{self.last_number}'), self.last_number

    def pause(self, upstream: UpstreamName, until: float) -> None:
        """Choose an upstream no more until then; its agent said that it leaves."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.paused_until = until
            self.refresh_at = min(self.refresh_at, until)
            self.candidates_changed = True

    def choose(self, record: RequestRecord, now: float) -> UpstreamName | None:
        """Return an upstream for the next attempt that has a link and was not tried."""
        if self.candidates_changed or now >= self.refresh_at:
            self.router.update(self._candidates(now), now)
            self.candidates_changed = False
        return self.router.choose(record.route, now, record.tried)

    def _candidates(self, now: float) -> list[Candidate]:
        self.refresh_at = math.inf
        candidates: list[Candidate] = []
        for known in self.upstreams.values():
            if known.is_leaving or not self._has_link(known.joined):
                continue
            if known.paused_until > now:
                self.refresh_at = min(self.refresh_at, known.paused_until)
                continue
            candidates.append(_to_candidate(known.joined))
        return candidates

    def _has_link(self, joined: UpstreamJoined) -> bool:
        link = self.links.get(joined.agent)
        return link is not None and link.incarnation == joined.incarnation


def _to_candidate(joined: UpstreamJoined) -> Candidate:
    models, services = frozenset(joined.models), frozenset(joined.services)
    return Candidate(joined.upstream, joined.zone, models, services, joined.slots)
