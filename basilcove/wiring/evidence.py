"""Counts the requests that an entry served under a trial document, and reports them to control hosts."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from basilcove.catalog.client import ClientState
from basilcove.catalog.control import ControlState
from basilcove.catalog.delivery import deliver
from basilcove.catalog.messages import TrialReport
from basilcove.core.events import Effect, Event, Tick
from basilcove.core.ids import EnvironmentName, Revision, Stage
from basilcove.core.reducer import Context, handles
from basilcove.distribution.models import DistributionState
from basilcove.environment.events import EnvironmentChanged
from basilcove.http.answers import Broken, Complete, Part, Refused
from basilcove.wiring.const import REPORT_INTERVAL_S


@dataclass(frozen=True, slots=True)
class AnswerEnded(Event):
    """A caller's answer ended; a failure is one that the caller did not cause."""

    is_failure: bool


@dataclass
class EvidenceState:
    """Counts of this process since the trial revision came into effect."""

    environment: EnvironmentName
    stage: Stage
    revision: Revision = Revision(0)
    requests: int = 0
    failures: int = 0
    due_at: float = 0


def build_observer(apply: Callable[[Event], object]) -> Callable[[Part], None]:
    """Return an observer of answer parts that notifies the reducer when an answer ends."""

    def observe(part: Part) -> None:
        if isinstance(part, Refused):
            apply(AnswerEnded(part.refusal.status >= HTTPStatus.INTERNAL_SERVER_ERROR))
        elif isinstance(part, Complete | Broken):
            apply(AnswerEnded(isinstance(part, Broken)))

    return observe


@handles(EnvironmentChanged, EvidenceState)
def on_environment(state: EvidenceState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    """Reset the counts for a newer document."""
    state.revision = event.revision
    state.requests = 0
    state.failures = 0
    return []


@handles(AnswerEnded, EvidenceState)
def on_ended(state: EvidenceState, event: AnswerEnded, ctx: Context) -> list[Effect]:
    """Count one request."""
    state.requests += 1
    state.failures += int(event.is_failure)
    return []


@handles(Tick, EvidenceState)
def on_tick(state: EvidenceState, event: Tick, ctx: Context) -> list[Effect]:
    """Report to every control host at each interval."""
    if ctx.now < state.due_at or state.stage is not Stage.TRIAL:
        return []
    state.due_at = ctx.now + REPORT_INTERVAL_S
    violations = len(ctx.node.part(DistributionState).breaches)
    report = TrialReport(state.environment, state.revision, state.requests, state.failures, violations)
    client = ctx.node.part(ClientState)
    hosts = list(client.hosts)
    if ctx.node.has(ControlState):
        hosts.append(client.node)
    return [deliver(client.node, host, report) for host in hosts]
