"""W3C trace contexts that reducers derive without random numbers."""

import hashlib

_SPAN_ID_BYTES = 8
_FIELDS = 4
_HEX = 16


def child_of(traceparent: str, name: str) -> str:
    """Return the context of a child span; empty if there is no parent context.

    The span's id is a hash of both arguments, so the name must be unique among the children.
    """
    fields = traceparent.split('-')
    if len(fields) != _FIELDS:
        return ''
    span_id = hashlib.blake2b(f'{traceparent}{name}'.encode(), digest_size=_SPAN_ID_BYTES).hexdigest()
    return '-'.join((fields[0], fields[1], span_id, fields[3]))


def agent_context(traceparent: str) -> str:
    """Return the context of the agent's span, a child of the attempt's span."""
    return child_of(traceparent, 'agent')


def upstream_context(traceparent: str) -> str:
    """Return the context of the upstream's span, a child of the agent's span."""
    return child_of(agent_context(traceparent), 'upstream')


def span_id_of(traceparent: str) -> int:
    """Return the span id of a context; 0 if there is none."""
    fields = traceparent.split('-')
    return int(fields[2], _HEX) if len(fields) == _FIELDS else 0
