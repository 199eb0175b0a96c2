"""Applies commands to the replicated state, deterministically and without side effects."""

from basilcove.catalog import claims as _claims
from basilcove.catalog import evacuations as _evacuations  # noqa: F401
from basilcove.catalog import leases as _leases
from basilcove.catalog.commands import (
    AbandonClaim,
    AdmitHost,
    ApplyDocument,
    Claim,
    CompleteClaim,
    EvacuateZone,
    PromoteDocument,
    RefuseHostChange,
    ReleaseClaim,
    RemoveHost,
    RestoreZone,
)
from basilcove.catalog.const import (
    MAX_PROPOSALS,
    MAX_REQUESTS,
    PROPOSAL_RETENTION_S,
    REQUEST_RETENTION_S,
)
from basilcove.catalog.messages import LoggedCommand
from basilcove.catalog.models import AnswerRow, CatalogState
from basilcove.catalog.outcomes import CommandRefused, MembersChanged, ZoneConflict
from basilcove.catalog.registry import APPLIERS, applies
from basilcove.consensus.models import Members
from basilcove.core.events import Message
from basilcove.helpers.codec import CodecError, decode, encode
from basilcove.helpers.hashing import stable_hash

_KEYED_BY_ATTEMPT = (Claim, CompleteClaim, ReleaseClaim, AbandonClaim)

_IdentifiedCommand = ApplyDocument | PromoteDocument | RefuseHostChange | EvacuateZone | RestoreZone


def apply(state: CatalogState, command: Message, time: float) -> Message:
    """Apply one command; ``time`` is the leader's, in seconds since the epoch.

    Documents and changes of the control group are deduplicated by request id;
    claims are idempotent by key and attempt id. A change of a zone may have no request id.
    """
    _advance_time(state, time)
    if not isinstance(command, _IdentifiedCommand) or not _is_identified(command):
        return _dispatch(state, command)
    digest = compute_digest(command)
    first_answer = find_first_answer(state, command.request_id, digest)
    if first_answer is not None:
        return first_answer
    result = _dispatch(state, command)
    if isinstance(result, ZoneConflict):
        # The request has not been decided: it is sent again for the present version.
        return result
    state.requests[command.request_id] = AnswerRow(command.request_id, state.time, digest, *encode(result))
    return result


def _is_identified(command: _IdentifiedCommand) -> bool:
    return bool(command.request_id) or not isinstance(command, EvacuateZone | RestoreZone)


def find_first_answer(state: CatalogState, request_id: str, digest: int) -> Message | None:
    """Return the first answer to a request or its refusal; None if it may be carried out."""
    row = state.requests.get(request_id)
    if row is None:
        is_full = len(state.requests) >= MAX_REQUESTS
        return CommandRefused('the table of request ids is full') if is_full else None
    if row.digest != digest:
        return CommandRefused('the request id was used for another change')
    return decode(row.kind, row.body)


def apply_members(state: CatalogState, members: Members, time: float) -> None:
    """Record the answer to the request that led to a committed group."""
    if not members.request_id:
        return
    _advance_time(state, time)
    answer = encode(MembersChanged())
    row = AnswerRow(members.request_id, state.time, members.request_digest, *answer)
    state.requests.setdefault(members.request_id, row)


def compute_digest(command: _IdentifiedCommand | AdmitHost | RemoveHost) -> int:
    """Return a hash of a request's content."""
    name = type(command).__name__
    if isinstance(command, RefuseHostChange):
        return command.digest
    if isinstance(command, AdmitHost | RemoveHost):
        return stable_hash(name, command.node)
    if isinstance(command, EvacuateZone | RestoreZone):
        return stable_hash(name, command.zone)
    document = command.document if isinstance(command, ApplyDocument) else ''
    return stable_hash(name, command.environment, command.expected_revision, document)


@applies(RefuseHostChange)
def _refuse_host_change(state: CatalogState, command: RefuseHostChange) -> Message:
    return CommandRefused(command.reason)


def apply_logged(state: CatalogState, logged: LoggedCommand, time: float) -> Message:
    """Apply a command from the log, once for each proposal id."""
    _advance_time(state, time)
    try:
        command = decode(logged.kind, logged.body)
    except CodecError as exc:
        return CommandRefused(str(exc))
    row = state.proposals.get(logged.proposal_id)
    if row is not None:
        return decode(row.kind, row.body)
    if logged.expires < state.time:
        return CommandRefused('the command is too old')
    if isinstance(command, _KEYED_BY_ATTEMPT):
        return apply(state, command, time)
    if len(state.proposals) >= MAX_PROPOSALS:
        return CommandRefused('the table of proposals is full')
    result = apply(state, command, time)
    state.proposals[logged.proposal_id] = AnswerRow(logged.proposal_id, state.time, 0, *encode(result))
    return result


def _dispatch(state: CatalogState, command: Message) -> Message:
    applier = APPLIERS.get(type(command))
    if applier is None:
        return CommandRefused(f'{type(command).__name__} is not a command')
    return applier(state, command)


def _advance_time(state: CatalogState, time: float) -> None:
    if time <= state.time:
        return
    state.time = time
    _drop_older(state.requests, state.time - REQUEST_RETENTION_S)
    _drop_older(state.proposals, state.time - PROPOSAL_RETENTION_S)
    _claims.drop_expired_claims(state)
    _leases.drop_expired_leases(state)


def _drop_older(answers: dict[str, AnswerRow], oldest_kept: float) -> None:
    while answers:
        key = next(iter(answers))
        if answers[key].time >= oldest_kept:
            return
        answers.pop(key)
