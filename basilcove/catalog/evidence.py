"""Evidence that entries report for a trial document, and the checks before a proposal."""

from basilcove.catalog.commands import ApplyDocument, PromoteDocument, PutDocument, TrialEvidence
from basilcove.catalog.control import ControlState
from basilcove.catalog.messages import TrialReport
from basilcove.catalog.outcomes import DocumentRefused
from basilcove.core.events import Effect, Message, Received
from basilcove.core.ids import EnvironmentName, Revision, Stage
from basilcove.core.reducer import Context, handles_message
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.storing import read_stored


@handles_message(TrialReport, ControlState)
def _on_report(state: ControlState, event: Received, ctx: Context) -> list[Effect]:
    report = event.message
    if not isinstance(report, TrialReport) or report.revision != _trial_revision(state, report.environment):
        return []
    reports = state.reports.setdefault(report.environment, {})
    stale = [process for process, other in reports.items() if other.revision != report.revision]
    for process in stale:
        reports.pop(process)
    sender = (event.peer.node, event.peer.incarnation)
    newest = reports.get(sender)
    # Counts never decrease, so the report with more requests is the newer one.
    if newest is None or report.requests >= newest.requests:
        reports[sender] = report
    return []


def prepare_command(state: ControlState, command: Message) -> Message:
    """Return the command to propose, or the refusal of a document that no host could read."""
    text = _find_document(state, command)
    if text is not None:
        try:
            read_stored(text)
        except DocumentError as exc:
            return DocumentRefused(exc.faults)
    if isinstance(command, PromoteDocument):
        evidence = _sum_reports(state, command.environment)
        return PromoteDocument(command.environment, command.expected_revision, command.request_id, evidence)
    return command


def _find_document(state: ControlState, command: Message) -> str | None:
    """Return the document that a command would store; None if it would store none."""
    if isinstance(command, PromoteDocument):
        trial = state.catalog.documents.get((command.environment, Stage.TRIAL))
        return None if trial is None else trial.text
    if isinstance(command, PutDocument):
        current = state.catalog.documents.get((command.environment, command.stage))
        return None if current is not None and command.revision <= current.revision else command.document
    return command.document if isinstance(command, ApplyDocument) else None


def _sum_reports(state: ControlState, environment: EnvironmentName) -> TrialEvidence:
    revision = _trial_revision(state, environment)
    requests = 0
    failures = 0
    violations = 0
    for report in state.reports.get(environment, {}).values():
        if report.revision != revision:
            continue
        requests += report.requests
        failures += report.failures
        violations += report.violations
    return TrialEvidence(revision, requests, failures, violations)


def _trial_revision(state: ControlState, environment: EnvironmentName) -> Revision:
    trial = state.catalog.documents.get((environment, Stage.TRIAL))
    return Revision(0) if trial is None else trial.revision
