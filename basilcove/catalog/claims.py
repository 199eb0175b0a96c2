"""Claims: the right to run a non-repeatable call once."""

from basilcove.catalog.commands import AbandonClaim, Claim, CompleteClaim, ReleaseClaim
from basilcove.catalog.const import MAX_ANSWER_BYTES, MAX_FORMER_ATTEMPTS, MAX_TOTAL_ANSWER_BYTES
from basilcove.catalog.documents import limits_of
from basilcove.catalog.models import CatalogState, ClaimRow, ClaimState, ClaimTable
from basilcove.catalog.outcomes import (
    ClaimCompleted,
    ClaimGranted,
    ClaimMismatch,
    ClaimNotHeld,
    ClaimPending,
    ClaimRecorded,
    ClaimTableFull,
    ClaimUnknown,
)
from basilcove.catalog.registry import applies
from basilcove.core.events import Message
from basilcove.core.ids import AttemptId, EnvironmentName, NodeId

_NO_OWNER = NodeId('')


@applies(Claim)
def _claim(state: CatalogState, command: Claim) -> Message:
    table = _get_table(state, command.environment)
    row = table.rows.get(command.key)
    if row is None:
        if len(table.rows) >= limits_of(state, command.environment).max_claims:
            return ClaimTableFull()
        row = ClaimRow(command.fingerprint, _NO_OWNER, command.attempt_id, ClaimState.RELEASED, state.time)
        table.rows[command.key] = row
        return _grant(state, table, command)
    # A release that arrived before its claim leaves a row without a fingerprint.
    if row.fingerprint not in {'', command.fingerprint}:
        return ClaimMismatch()
    if row.state is not ClaimState.RELEASED:
        return _claim_existing(row, command)
    if command.attempt_id in row.former:
        return ClaimNotHeld()
    return _grant(state, table, command)


def _claim_existing(row: ClaimRow, command: Claim) -> Message:
    if row.state is ClaimState.COMPLETED:
        return ClaimCompleted(row.answer)
    if row.state is ClaimState.UNKNOWN:
        return ClaimUnknown()
    if row.attempt_id == command.attempt_id:
        return ClaimGranted()
    return ClaimPending(row.owner, row.attempt_id)


def _grant(state: CatalogState, table: ClaimTable, command: Claim) -> Message:
    row = table.rows[command.key]
    row.fingerprint = command.fingerprint
    row.owner = command.owner
    row.attempt_id = command.attempt_id
    _set_state(state, table, command.key, ClaimState.GRANTED)
    return ClaimGranted()


@applies(CompleteClaim)
def _complete(state: CatalogState, command: CompleteClaim) -> Message:
    table = _get_table(state, command.environment)
    row = _find_held(table, command.key, command.attempt_id)
    if row is None:
        return ClaimNotHeld()
    if row.state is ClaimState.COMPLETED:
        return ClaimRecorded()
    size = len(command.answer)
    if size <= MAX_ANSWER_BYTES and table.answer_bytes + size <= MAX_TOTAL_ANSWER_BYTES:
        row.answer = command.answer
        table.answer_bytes += size
    _set_state(state, table, command.key, ClaimState.COMPLETED)
    return ClaimRecorded()


@applies(AbandonClaim)
def _abandon(state: CatalogState, command: AbandonClaim) -> Message:
    table = _get_table(state, command.environment)
    row = _find_held(table, command.key, command.attempt_id)
    if row is None:
        return ClaimNotHeld()
    if row.state is ClaimState.GRANTED:
        _set_state(state, table, command.key, ClaimState.UNKNOWN)
    return ClaimRecorded()


@applies(ReleaseClaim)
def _release(state: CatalogState, command: ReleaseClaim) -> Message:
    table = _get_table(state, command.environment)
    row = table.rows.get(command.key)
    if row is None:
        # The release arrived before the claim, which must not be granted when it arrives.
        if len(table.rows) >= limits_of(state, command.environment).max_claims:
            return ClaimTableFull()
        row = ClaimRow('', _NO_OWNER, command.attempt_id, ClaimState.RELEASED, state.time)
        table.rows[command.key] = row
    if command.attempt_id not in row.former:
        row.former = (*row.former, command.attempt_id)[-MAX_FORMER_ATTEMPTS:]
    if row.attempt_id == command.attempt_id:
        if row.state is ClaimState.COMPLETED:
            return ClaimNotHeld()
        _set_state(state, table, command.key, ClaimState.RELEASED)
    return ClaimRecorded()


def drop_expired_claims(state: CatalogState) -> None:
    """Drop claims whose last change is older than the environment's retention."""
    for environment, table in state.claims.items():
        oldest_kept = state.time - limits_of(state, environment).claim_retention_s
        while table.rows:
            key = next(iter(table.rows))
            row = table.rows[key]
            if row.updated_at >= oldest_kept:
                break
            table.answer_bytes -= len(row.answer or b'')
            table.rows.pop(key)


def _get_table(state: CatalogState, environment: EnvironmentName) -> ClaimTable:
    table = state.claims.get(environment)
    if table is None:
        table = ClaimTable()
        state.claims[environment] = table
    return table


def _find_held(table: ClaimTable, key: str, attempt_id: AttemptId) -> ClaimRow | None:
    row = table.rows.get(key)
    if row is None or row.attempt_id != attempt_id or row.state is ClaimState.RELEASED:
        return None
    return row


def _set_state(state: CatalogState, table: ClaimTable, key: str, claim_state: ClaimState) -> None:
    """Set the state and move the row to the end; rows stay ordered by their last change, oldest first."""
    row = table.rows.pop(key)
    row.state = claim_state
    row.updated_at = state.time
    table.rows[key] = row
