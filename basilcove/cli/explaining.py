"""Tells the story of one request from the logs of several processes."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

Line = dict[str, Any]

# Lines that end a request, and what they say besides the fields that all lines have.
_ENDS: Final = frozenset(('request refused', 'answer broken off', 'caller left'))
_COMMON: Final = frozenset(('time', 'level', 'node', 'module', 'message', 'request'))


def explain(request_id: str, files: Iterable[str]) -> str:
    """Return the lines of a request in order of time, the one that ended it marked; empty without any."""
    lines = sorted(_lines_of(request_id, files), key=_time_of)
    ended = _end_of(lines)
    return '\n'.join(_show(line, is_end=line is ended) for line in lines)


def _lines_of(request_id: str, files: Iterable[str]) -> Iterator[Line]:
    for name in files:
        for raw in _read(name).splitlines():
            line = _parse(raw) if request_id in raw else {}
            if line.get('request') == request_id:
                yield line


def _read(name: str) -> str:
    return sys.stdin.read() if name == '-' else Path(name).read_text(encoding='utf-8', errors='replace')


def _parse(raw: str) -> Line:
    """Return the object of a line; whoever collected the lines may have put something before it."""
    try:
        found = json.loads(raw[raw.index('{') :])
    except ValueError:
        # A line that was cut short by the end of its process.
        return {}
    return found if isinstance(found, dict) else {}


def _end_of(lines: list[Line]) -> Line:
    for line in reversed(lines):
        if line['message'] in _ENDS or line.get('result') == 'answered':
            return line
    return lines[-1] if lines else {}


def _time_of(line: Line) -> str:
    return str(line.get('time', ''))


def _show(line: Line, *, is_end: bool) -> str:
    facts = ' '.join(f'{name}={fact}' for name, fact in line.items() if name not in _COMMON and fact != '')
    mark = '=>' if is_end else '  '
    return f'{mark} {line.get("time", "")} {line.get("node", "")} {line["message"]}: {facts}'
