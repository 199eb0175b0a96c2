"""W3C trace contexts that reducers derive without random numbers."""

import hashlib

_SPAN_ID_BYTES = 8
_FIELDS = 4
_HEX = 16


def child_of(traceparent: str, name: str) -> str:
    """Return the context of a span below this one; empty without a context to be below.

    The span's id is a hash of both, so the name must be unique below the context.
    """
    fields = traceparent.split('-')
    if len(fields) != _FIELDS:
        return ''
    span_id = hashlib.blake2b(f'{traceparent}{name}'.encode(), digest_size=_SPAN_ID_BYTES).hexdigest()
    return '-'.join((fields[0], fields[1], span_id, fields[3]))


def agent_context(traceparent: str) -> str:
    """Return the context of an agent's span below that of an attempt."""
    return child_of(traceparent, 'agent')


def upstream_context(traceparent: str) -> str:
    """Return the context of the upstream's span below that of an attempt."""
    return child_of(agent_context(traceparent), 'upstream')


def span_id_of(traceparent: str) -> int:
    """Return the span id of a context; 0 without one."""
    fields = traceparent.split('-')
    return int(fields[2], _HEX) if len(fields) == _FIELDS else 0
