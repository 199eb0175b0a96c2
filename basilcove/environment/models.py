"""Typed form of an environment's document."""

import enum
import functools
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field

from basilcove.core.ids import (
    GroupName,
    ModelName,
    NodeId,
    PriorityName,
    RouteName,
    ServiceName,
    TeamName,
    UpstreamName,
    Zone,
)

Fraction = Annotated[float, Field(ge=0, le=1)]
# Messages carry numbers as int32, and sums of weights must stay finite.
_MAX_INT: Final = 2_147_483_647
_MAX_FLOAT: Final = 1e12

PositiveFloat = Annotated[float, Field(gt=0, le=_MAX_FLOAT)]
PositiveInt = Annotated[int, Field(gt=0, le=_MAX_INT)]
Digest = Annotated[str, Field(pattern=r'^sha256:[0-9a-f]{64}$')]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, allow_inf_nan=False)


class UpstreamKind(enum.Enum):
    """Kind of software that an upstream runs."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Priority(_Section):
    """Class of work; level 1 is served first."""

    level: PositiveInt
    target_first_token_s: PositiveFloat
    weight: PositiveFloat = 1
    floor: Fraction = 0


class Team(_Section):
    """A customer; ``rate`` is in requests a second, ``share`` is a relative weight."""

    key_digests: tuple[Digest, ...]
    priorities: tuple[PriorityName, ...]
    share: PositiveFloat = 1
    max_concurrent: PositiveInt = 256
    rate: PositiveFloat = 1000


class Group(_Section):
    """Upstreams whose ranks advance in lock-step.

    In each layer a rank holds ``expert_slots`` experts; slots beyond one for each expert hold replicas of hot
    ones. Without ``expert_slots`` each expert is held once.
    """

    ranks: PositiveInt
    experts: PositiveInt
    layers: PositiveInt
    upstreams: tuple[UpstreamName, ...]
    expert_slots: PositiveInt | None = None


class Model(_Section):
    """A model that a group serves."""

    group: GroupName
    version: str = '1'
    adapters: tuple[str, ...] = ()


class Upstream(_Section):
    """An upstream that may join; ``slots`` is how many attempts it runs concurrently.

    With ``agent`` only the agent of that node id may announce the upstream.
    """

    kind: UpstreamKind
    zone: Zone
    credential_digest: Digest
    models: tuple[ModelName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    slots: PositiveInt = 16
    checks_fencing: bool = False
    agent: NodeId | None = None


class Call(_Section):
    """Calls of a service by method and path prefix."""

    method: Annotated[str, Field(pattern='^[A-Z]+$')]
    path: Annotated[str, Field(pattern='^/')]
    repeatable: bool = False
    deduplicates: bool = False


class ExpertSlots(_Section):
    """Sizes of the expert maps of a service whose upstreams are ranks of groups.

    Each rank holds ``slots`` experts of a layer at most, of which a new map may add ``max_new`` at most.
    ``copy_s`` is the time in which a rank copies one expert; 0 if it isn't known.
    """

    layers: PositiveInt
    experts: PositiveInt
    slots: PositiveInt
    max_new: PositiveInt
    copy_s: Annotated[float, Field(ge=0, le=_MAX_FLOAT)] = 0


class Service(_Section):
    """A plain service; a call that no entry matches is not repeatable.

    ``max_connections`` is how many connections one of its upstreams accepts from all callers together. An
    upstream takes ``cold_limit_per_s`` requests a second while it is cold, that is for ``cold_time_s`` after
    its start; without both its upstreams are never cold. ``memory_tokens`` is how many prompt and generated
    tokens the requests at one upstream may have together.
    """

    calls: tuple[Call, ...] = ()
    max_connections: PositiveInt | None = None
    cold_limit_per_s: PositiveFloat | None = None
    cold_time_s: PositiveFloat | None = None
    memory_tokens: PositiveInt | None = None
    experts: ExpertSlots | None = None


class RouteKind(enum.Enum):
    """Whether requests may be retried: safe ones always, streams only where they may be resumed."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class RouteTarget(_Section):
    """A service that a route sends to, with its relative weight."""

    service: ServiceName
    weight: Annotated[float, Field(ge=0, le=_MAX_FLOAT)] = 1


class Route(_Section):
    """Passes requests of a host whose path begins with a prefix through to services.

    The longest prefix wins. ``max_upstreams`` bounds the upstreams that one request is sent to. A stream is
    on time if no two of its events are more than ``target_pause_s`` apart. The requests in flight of a group
    may be limited if its streams have such a target.
    """

    host: str
    path_prefix: Annotated[str, Field(pattern='^/(.*/)?$')]
    kind: RouteKind
    timeout_s: PositiveFloat
    priority: PriorityName
    targets: Annotated[tuple[RouteTarget, ...], Field(min_length=1)]
    target_first_byte_s: PositiveFloat = 1
    max_upstreams: PositiveInt = 1
    is_public: bool = False
    is_resumable: bool = False
    target_pause_s: PositiveFloat | None = None


class Limits(_Section):
    """Limits of the whole environment."""

    max_body_bytes: PositiveInt = 1024 * 1024
    max_timeout_s: PositiveFloat = 600
    default_timeout_s: PositiveFloat = 60
    retry_budget: Fraction = 0.1
    claim_retention_s: PositiveFloat = 86_400
    max_claims: PositiveInt = 100_000
    max_queued_work: PositiveInt = 2_000_000
    max_queued_attempts: PositiveInt = 2_000
    max_header_bytes: PositiveInt = 16_384
    header_timeout_s: PositiveFloat = 10
    idle_timeout_s: PositiveFloat = 60


class Evidence(_Section):
    """Evidence from the trial stage that a document needs for its promotion."""

    min_time_s: Annotated[float, Field(ge=0)] = 600
    min_requests: Annotated[int, Field(ge=0)] = 100
    max_failure_fraction: Fraction = 0.01


class Environment(_Section):
    """One environment: who is served, by what, and in which order.

    ``annotations`` hold texts of other tools; no decision depends on them.
    """

    name: Name
    priorities: dict[PriorityName, Priority]
    teams: dict[TeamName, Team]
    groups: dict[GroupName, Group] = {}
    models: dict[ModelName, Model] = {}
    services: dict[ServiceName, Service] = {}
    upstreams: dict[UpstreamName, Upstream] = {}
    routes: dict[RouteName, Route] = {}
    limits: Limits = Limits()
    evidence: Evidence = Evidence()
    annotations: dict[str, str] = {}

    @functools.cached_property
    def team_by_digest(self) -> dict[str, TeamName]:
        """Index of the teams by the digests of their keys."""
        return {digest: name for name, team in self.teams.items() for digest in team.key_digests}
