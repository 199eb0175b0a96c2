"""Checks announcements against the document."""

from dataclasses import dataclass

from basilcove.core.ids import ModelName, NodeId, ServiceName, UpstreamName, Zone
from basilcove.environment.models import Environment, Upstream


@dataclass(frozen=True, slots=True)
class Allowed:
    """The content of an announcement that the document allows."""

    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    slots: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The refusal of an announcement, with its reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class Announcement:
    """Content of an announcement, with the agent that sent it and its zone."""

    name: UpstreamName
    agent: NodeId
    zone: Zone
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]


def authorize(environment: Environment, announcement: Announcement) -> Allowed | Refused:
    """Return the part of an announcement that the document allows; the credential is checked elsewhere.

    Models and services that the document doesn't list are dropped, so that a
    changed document can remove one model without stopping the others.
    """
    declared = environment.upstreams.get(announcement.name)
    if declared is None:
        return Refused(f'the document has no upstream {announcement.name}')
    if declared.zone != announcement.zone:
        return Refused(f'{announcement.name} belongs in {declared.zone}, not in {announcement.zone}')
    if declared.agent is not None and declared.agent != announcement.agent:
        return Refused(f'{announcement.name} belongs to agent {declared.agent}, not to {announcement.agent}')
    return _allow(declared, announcement)


def _allow(declared: Upstream, announcement: Announcement) -> Allowed | Refused:
    models = tuple(model for model in declared.models if model in announcement.models)
    services = tuple(service for service in declared.services if service in announcement.services)
    if not models and not services:
        return Refused(f'{announcement.name} announces nothing that the document lists for it')
    return Allowed(models, services, declared.slots)
