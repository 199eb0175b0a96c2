"""Checks requests against the document."""

import math
from http import HTTPStatus

from basilcove.core.ids import Outcome, PriorityName, TeamName
from basilcove.environment.models import Environment
from basilcove.environment.paths import find_call
from basilcove.requests.events import Refusal, Request


def choose_priority(
    environment: Environment, team: TeamName, requested: str | None
) -> PriorityName | Refusal:
    """Return the priority of a request, by default the least urgent one of the team."""
    allowed = environment.teams[team].priorities
    if requested is None:
        return max(allowed, key=lambda name: environment.priorities[name].level)
    name = PriorityName(requested)
    if name not in environment.priorities:
        return _refuse(HTTPStatus.BAD_REQUEST, f'unknown priority {requested}')
    if name not in allowed:
        return _refuse(HTTPStatus.FORBIDDEN, f'the team may not use priority {requested}')
    return name


def choose_timeout(environment: Environment, requested: str | None) -> float | Refusal:
    """Return the timeout of a request in seconds, at most the document's ``max_timeout_s``."""
    if requested is None:
        return environment.limits.default_timeout_s
    try:
        timeout_s = float(requested)
    except ValueError:
        return _refuse(HTTPStatus.BAD_REQUEST, 'the timeout is not a number')
    if not math.isfinite(timeout_s) or timeout_s <= 0:
        return _refuse(HTTPStatus.BAD_REQUEST, 'the timeout is not a positive number')
    return min(timeout_s, environment.limits.max_timeout_s)


def validate_request(environment: Environment, req: Request) -> Refusal | None:
    """Return a refusal if the document does not allow a request."""
    team = environment.teams.get(req.team)
    if team is None:
        return _refuse(HTTPStatus.UNAUTHORIZED, 'unknown team')
    priority = choose_priority(environment, req.team, req.priority)
    if isinstance(priority, Refusal):
        return priority
    if req.model is not None and req.model not in environment.models:
        return _refuse(HTTPStatus.NOT_FOUND, f'unknown model {req.model}')
    if req.model is None and req.service not in environment.services:
        return _refuse(HTTPStatus.NOT_FOUND, f'unknown service {req.service}')
    return None


def is_repeatable(environment: Environment, req: Request) -> bool:
    """Tell whether a request may run more than once.

    Of the calls in the document that match method and path, the one with the longest path applies. A
    path that an upstream could resolve differently is not repeatable.
    """
    if req.model is not None:
        return True
    return req.service is not None and find_call(environment, req.service, req.method, req.path).repeatable


def _refuse(status: HTTPStatus, reason: str) -> Refusal:
    return Refusal(status, Outcome.NOT_RUN, reason)
