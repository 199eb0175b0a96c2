"""Passes the document in effect to the HTTP server of an entry."""

from dataclasses import dataclass

from basilcove.core.events import Effect
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment
from basilcove.http.callers import CallerServer
from basilcove.requests.models import RequestsState


@dataclass(frozen=True, slots=True)
class ChangeEnvironment(Effect):
    """Makes the server check callers' requests against this document."""

    environment: Environment


@carries_out(ChangeEnvironment, CallerServer)
def change_environment(server: CallerServer, effect: ChangeEnvironment) -> None:
    """Check requests against another document."""
    server.change_environment(effect.environment)


@handles(EnvironmentChanged, RequestsState)
def on_environment(state: RequestsState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    """Pass a newer document to the HTTP server."""
    return [ChangeEnvironment(event.environment)]
