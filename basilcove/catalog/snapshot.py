"""Snapshots of the whole replicated state."""

from dataclasses import dataclass

from basilcove.catalog import catalog_pb2 as pb
from basilcove.catalog.models import (
    AnswerRow,
    CatalogState,
    ClaimRow,
    ClaimState,
    ClaimTable,
    DocumentRow,
    LeaseRow,
    MapRow,
)
from basilcove.core.ids import AttemptId, EnvironmentName, FencingNumber, NodeId
from basilcove.helpers import codec
from basilcove.zones.models import Evacuations


@dataclass(frozen=True, slots=True)
class ClaimColumns:
    """Claims of one environment by column, oldest change first."""

    environment: EnvironmentName
    key: tuple[str, ...]
    fingerprint: tuple[str, ...]
    owner: tuple[NodeId, ...]
    attempt_id: tuple[AttemptId, ...]
    state: tuple[ClaimState, ...]
    updated_at: tuple[float, ...]
    has_answer: tuple[bool, ...]
    answer: tuple[bytes, ...]
    former_count: tuple[int, ...]
    former: tuple[AttemptId, ...]


@dataclass(frozen=True, slots=True)
class CatalogSnapshot:
    """The whole state; tables preserve the order in which they drop rows."""

    time: float
    fence: FencingNumber
    documents: tuple[DocumentRow, ...]
    leases: tuple[LeaseRow, ...]
    maps: tuple[MapRow, ...]
    requests: tuple[AnswerRow, ...]
    proposals: tuple[AnswerRow, ...]
    claims: tuple[ClaimColumns, ...]
    evacuations: Evacuations


def encode_state(state: CatalogState) -> bytes:
    """Return the protobuf bytes of a snapshot; equal states give equal bytes."""
    snapshot = CatalogSnapshot(
        state.time,
        state.fence,
        tuple(state.documents.values()),
        tuple(state.leases.values()),
        tuple(state.maps.values()),
        tuple(state.requests.values()),
        tuple(state.proposals.values()),
        tuple(_to_columns(environment, table) for environment, table in state.claims.items()),
        state.evacuations,
    )
    return codec.to_proto(snapshot, pb.CatalogSnapshot).SerializeToString()


def decode_state(body: bytes) -> CatalogState:
    """Return the state of a snapshot."""
    snapshot = codec.from_proto(CatalogSnapshot, pb.CatalogSnapshot.FromString(body))
    return CatalogState(
        snapshot.time,
        snapshot.fence,
        {(row.environment, row.stage): row for row in snapshot.documents},
        {row.name: row for row in snapshot.leases},
        {row.group: row for row in snapshot.maps},
        {row.key: row for row in snapshot.requests},
        {row.key: row for row in snapshot.proposals},
        {columns.environment: _from_columns(columns) for columns in snapshot.claims},
        snapshot.evacuations,
    )


def _to_columns(environment: EnvironmentName, table: ClaimTable) -> ClaimColumns:
    rows = table.rows.values()
    return ClaimColumns(
        environment,
        tuple(table.rows),
        tuple(row.fingerprint for row in rows),
        tuple(row.owner for row in rows),
        tuple(row.attempt_id for row in rows),
        tuple(row.state for row in rows),
        tuple(row.updated_at for row in rows),
        tuple(row.answer is not None for row in rows),
        tuple(row.answer or b'' for row in rows),
        tuple(len(row.former) for row in rows),
        tuple(attempt for row in rows for attempt in row.former),
    )


def _from_columns(columns: ClaimColumns) -> ClaimTable:
    table = ClaimTable()
    position = 0
    # One row at a time; the order of the columns is that of the fields of ClaimRow.
    for number, key in enumerate(columns.key):
        end = position + columns.former_count[number]
        answer = columns.answer[number] if columns.has_answer[number] else None
        table.rows[key] = ClaimRow(
            columns.fingerprint[number],
            columns.owner[number],
            columns.attempt_id[number],
            columns.state[number],
            columns.updated_at[number],
            answer,
            columns.former[position:end],
        )
        table.answer_bytes += len(answer or b'')
        position = end
    return table
