"""What the document allows an upstream."""

from dataclasses import dataclass

from basilcove.core.ids import ModelName, NodeId, ServiceName, UpstreamName, Zone
from basilcove.environment.models import Environment, Upstream


@dataclass(frozen=True, slots=True)
class Allowed:
    """The part of an announcement's content that the document allows."""

    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    slots: int


@dataclass(frozen=True, slots=True)
class Refused:
    """An announcement is refused."""

    reason: str


@dataclass(frozen=True, slots=True)
class Claim:
    """Who announces what, and from where."""

    name: UpstreamName
    agent: NodeId
    zone: Zone
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]


def judge(environment: Environment, claim: Claim) -> Allowed | Refused:
    """Return what the document allows of a claim, whose credential is checked elsewhere.

    Models and services that the document doesn't list are left out, so that a
    changed document takes one model away without stopping the others.
    """
    declared = environment.upstreams.get(claim.name)
    if declared is None:
        return Refused(f'the document has no upstream {claim.name}')
    if declared.zone != claim.zone:
        return Refused(f'{claim.name} belongs in {declared.zone}, not in {claim.zone}')
    if declared.agent is not None and declared.agent != claim.agent:
        return Refused(f'{claim.name} belongs to agent {declared.agent}, not to {claim.agent}')
    return _allow(declared, claim)


def _allow(declared: Upstream, claim: Claim) -> Allowed | Refused:
    models = tuple(model for model in declared.models if model in claim.models)
    services = tuple(service for service in declared.services if service in claim.services)
    if not models and not services:
        return Refused(f'{claim.name} announces nothing that the document lists for it')
    return Allowed(models, services, declared.slots)
