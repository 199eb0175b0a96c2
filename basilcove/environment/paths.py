"""Paths of calls to plain services, and the document's entries for calls."""

import re
from typing import Final
from urllib.parse import unquote

from basilcove.core.ids import ServiceName
from basilcove.environment.models import Call, Environment

# A semicolon starts parameters that some servers cut off; a backslash is a slash to others.
_UNSAFE: Final = re.compile(r'[\x00-\x20\x7f\\;#?]')
_BAD_ESCAPE: Final = re.compile('%(?![0-9A-Fa-f]{2})')
_ENCODED_SLASH: Final = re.compile('%(2f|5c)', re.IGNORECASE)


def normalise_path(path: str) -> str | None:
    """Return the decoded path of a request target, without its query.

    None for a path that two servers may read differently: dot segments, empty
    segments, an encoded slash or backslash, a double encoding, parameters,
    control characters.
    """
    raw = path.partition('?')[0]
    if _BAD_ESCAPE.search(raw) or _ENCODED_SLASH.search(raw):
        return None
    decoded = unquote(raw, errors='replace')
    if '\ufffd' in decoded or unquote(decoded) != decoded:
        return None
    if not decoded.startswith('/') or _UNSAFE.search(decoded):
        return None
    segments = decoded.split('/')[1:]
    if '' in segments[:-1] or not {'.', '..'}.isdisjoint(segments):
        return None
    return decoded


def find_call(environment: Environment, service: ServiceName, method: str, path: str) -> Call:
    """Return the document's entry for a call, by its longest path prefix.

    A prefix ends at a segment's end: ``/stock`` covers ``/stock/7`` but not
    ``/stockpile``. A call without an entry, or with a path that isn't normal,
    is neither repeatable nor deduplicated.
    """
    default = Call(method=method, path='/')
    declared = environment.services.get(service)
    normal = normalise_path(path)
    if declared is None or normal is None:
        return default
    best: Call | None = None
    for call in declared.calls:
        if call.method != method or not _covers(call.path, normal):
            continue
        if best is None or len(call.path) > len(best.path):
            best = call
    return best or default


def _covers(prefix: str, path: str) -> bool:
    stem = prefix.rstrip('/')
    return path == stem or path.startswith(f'{stem}/')
