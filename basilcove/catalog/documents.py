"""Compare-and-set of documents and promotion from trial to production."""

import json
import math

from pydantic import BaseModel, ValidationError

from basilcove.catalog.commands import ApplyDocument, PromoteDocument, PutDocument, TrialEvidence
from basilcove.catalog.models import CatalogState, DocumentKey, DocumentRow
from basilcove.catalog.outcomes import DocumentApplied, DocumentRefused, PromotionRefused, RevisionConflict
from basilcove.catalog.registry import applies
from basilcove.core.events import Message
from basilcove.core.ids import EnvironmentName, Revision, Stage
from basilcove.environment.const import MAX_DOCUMENT_BYTES
from basilcove.environment.models import Evidence, Limits

_NO_REVISION = Revision(0)


class _Sections(BaseModel):
    """The sections of a document that the catalog uses."""

    name: EnvironmentName
    limits: Limits = Limits()
    evidence: Evidence = Evidence()


@applies(ApplyDocument)
def _apply_document(state: CatalogState, command: ApplyDocument) -> Message:
    if command.stage is not Stage.TRIAL:
        return DocumentRefused(('production takes documents only by promotion from trial',))
    if len(command.document) > MAX_DOCUMENT_BYTES:
        return DocumentRefused((f'the document exceeds {MAX_DOCUMENT_BYTES} bytes',))
    key = (command.environment, command.stage)
    current = _current_revision(state, key)
    if command.expected_revision != current:
        return RevisionConflict(current)
    try:
        sections = _read_sections(command.document)
    except ValueError as exc:
        return DocumentRefused((str(exc),))
    if sections.name != command.environment:
        return DocumentRefused((f'name: {sections.name} is not {command.environment}',))
    return _store_document(state, key, command.document, _NO_REVISION)


@applies(PutDocument)
def _put_document(state: CatalogState, command: PutDocument) -> Message:
    key = (command.environment, command.stage)
    current = _current_revision(state, key)
    if command.revision <= current:
        return DocumentApplied(current)
    if len(command.document) > MAX_DOCUMENT_BYTES:
        return DocumentRefused((f'the document exceeds {MAX_DOCUMENT_BYTES} bytes',))
    return _store_document(state, key, command.document, _NO_REVISION, command.revision)


@applies(PromoteDocument)
def _promote_document(state: CatalogState, command: PromoteDocument) -> Message:
    trial = state.documents.get((command.environment, Stage.TRIAL))
    if trial is None or trial.revision != command.expected_revision:
        return RevisionConflict(_NO_REVISION if trial is None else trial.revision)
    key = (command.environment, Stage.PRODUCTION)
    missing = _missing_evidence(state, trial, command.evidence)
    production = state.documents.get(key)
    if production is not None and production.promoted_from == trial.revision:
        missing = (f'trial revision {trial.revision} is in production already',)
    if missing:
        return PromotionRefused(missing)
    return _store_document(state, key, trial.text, trial.revision)


def limits_of(state: CatalogState, environment: EnvironmentName) -> Limits:
    """Return the limits of an environment, which are read from its document when they are first needed."""
    limits = state.limits.get(environment)
    if limits is None:
        limits = _read_limits(state, environment)
        state.limits[environment] = limits
    return limits


def _current_revision(state: CatalogState, key: DocumentKey) -> Revision:
    row = state.documents.get(key)
    return _NO_REVISION if row is None else row.revision


def _read_sections(text: str) -> _Sections:
    """Return the sections; ValueError with the first fault."""
    try:
        return _Sections.model_validate(json.loads(text))
    except ValidationError as exc:
        fault = exc.errors()[0]
        path = '.'.join(str(part) for part in fault['loc'])
        raise ValueError(f'{path}: {fault["msg"]}') from exc


def _store_document(
    state: CatalogState,
    key: DocumentKey,
    text: str,
    promoted_from: Revision,
    revision: Revision | None = None,
) -> Message:
    if revision is None:
        revision = Revision(_current_revision(state, key) + 1)
    state.documents[key] = DocumentRow(*key, revision, text, state.time, promoted_from)
    state.limits.pop(key[0], None)
    return DocumentApplied(revision)


def _read_limits(state: CatalogState, environment: EnvironmentName) -> Limits:
    for stage in (Stage.PRODUCTION, Stage.TRIAL):
        row = state.documents.get((environment, stage))
        if row is None:
            continue
        try:
            return _read_sections(row.text).limits
        except ValueError:
            # An adapter stored a document of another build.
            return Limits()
    return Limits()


def _missing_evidence(
    state: CatalogState, trial: DocumentRow, evidence: TrialEvidence | None
) -> tuple[str, ...]:
    required = _read_sections(trial.text).evidence
    if evidence is None or evidence.revision != trial.revision:
        evidence = TrialEvidence(trial.revision, 0, 0, 0)
    missing: list[str] = []
    age = state.time - trial.accepted_at
    if age < required.min_time_s:
        # Rounded up, so that the remaining time is never shown as 0 s.
        remaining_s = math.ceil(10 * (required.min_time_s - age)) / 10
        missing.append(f'{remaining_s:.10g} s left of {required.min_time_s:g} s in trial')
    if evidence.requests < required.min_requests:
        missing.append(f'{evidence.requests} of {required.min_requests} requests')
    if evidence.failures > required.max_failure_fraction * evidence.requests:
        missing.append(f'{evidence.failures} of {evidence.requests} requests failed')
    if evidence.violations:
        missing.append(f'{evidence.violations} violations of an invariant')
    return tuple(missing)
