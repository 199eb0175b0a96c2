"""Formats the text and JSON that the operators' tool prints."""

import dataclasses
import json
from datetime import UTC, datetime
from typing import Any

import yaml

from basilcove.cli.messages import ShowReply, StatusReply, UpstreamRow, UpstreamsReply, ZonesReply
from basilcove.environment.canonical import digest


def to_json(source: Any, **more: object) -> str:
    """Return a reply's fields as JSON."""
    fields = source if isinstance(source, dict) else dataclasses.asdict(source)
    return json.dumps({**fields, **more}, indent=2, sort_keys=True, default=_to_plain)


def format_document(reply: ShowReply, environment: str, stage: str) -> str:
    """Return the document as YAML that can be edited and applied again."""
    content = yaml.safe_dump(json.loads(reply.document), sort_keys=False, allow_unicode=True)
    return (
        f'# {environment}, {stage}, revision {reply.revision}, {digest(reply.document)}\n{content.rstrip()}'
    )


def format_status(reply: StatusReply) -> str:
    """Return the status of a node, one fact a line."""
    roles = ', '.join(role.value for role in reply.roles)
    effect = f'revision {reply.revision}' if reply.revision else 'no document'
    facts = (
        ('node', f'{reply.node} ({roles}) in {reply.zone}, version {reply.version}'),
        ('serves', f'{reply.environment}, {reply.stage.value}, {effect} in effect'),
        ('ready', 'yes' if reply.ready else 'no'),
        ('control', ', '.join(reply.control_nodes) or 'unknown'),
        ('leader', reply.leader or 'none known'),
        ('linked', ', '.join(reply.peers) or 'nothing'),
    )
    return '\n'.join(f'{name:<8} {fact}' for name, fact in facts)


def format_upstreams(reply: UpstreamsReply) -> str:
    """Return a table of the upstreams."""
    header = ['upstream', 'state', 'zone', 'agent', 'running', 'queued', 'tokens/s', 'serves']
    return _format_table([header, *(_cells(row) for row in reply.upstreams)])


def format_zones(reply: ZonesReply) -> str:
    """Return a table of the evacuated zones; times are in UTC."""
    rows = [
        [row.zone, datetime.fromtimestamp(row.time, UTC).isoformat(timespec='seconds'), row.requester]
        for row in reply.evacuations.rows
    ]
    table = _format_table([['zone', 'since', 'requester'], *rows]) if rows else 'no zone is evacuated'
    return f'{table}\nversion {reply.evacuations.version}'


def _format_table(rows: list[list[str]]) -> str:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = ('  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows)
    return '\n'.join(line.rstrip() for line in lines)


def _cells(row: UpstreamRow) -> list[str]:
    return [
        row.name,
        row.state,
        row.zone,
        row.agent or '-',
        f'{row.running}/{row.slots}',
        f'{row.queued_work:.0f}',
        f'{row.tokens_per_s:.0f}',
        ', '.join(row.serves),
    ]


def _to_plain(source: Any) -> Any:
    return getattr(source, 'value', str(source))
