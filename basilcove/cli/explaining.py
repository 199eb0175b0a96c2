"""Collects the log lines of one request from the logs of several processes."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

Line = dict[str, Any]

# Messages of lines that end a request, and the fields that all lines have.
_ENDS: Final = frozenset(('request refused', 'answer broken off', 'caller left'))
_COMMON: Final = frozenset(('time', 'level', 'node', 'module', 'message', 'request'))


def explain(request_id: str, files: Iterable[str]) -> str:
    """Return the lines of a request in order of time, with its end marked; empty if there are none."""
    lines = sorted(_find_lines(request_id, files), key=_time_of)
    end_line = _find_end(lines)
    return '\n'.join(_format_line(line, is_end=line is end_line) for line in lines)


def _find_lines(request_id: str, files: Iterable[str]) -> Iterator[Line]:
    for name in files:
        for raw in _read(name).splitlines():
            line = _parse(raw) if request_id in raw else {}
            if line.get('request') == request_id:
                yield line


def _read(name: str) -> str:
    return sys.stdin.read() if name == '-' else Path(name).read_text(encoding='utf-8', errors='replace')


def _parse(raw: str) -> Line:
    """Return the object of a line, which may have a prefix of a log collector."""
    try:
        content = json.loads(raw[raw.index('{') :])
    except ValueError:
        # The line was cut short by the end of its process.
        return {}
    return content if isinstance(content, dict) else {}


def _find_end(lines: list[Line]) -> Line:
    for line in reversed(lines):
        if line['message'] in _ENDS or line.get('result') == 'answered':
            return line
    return lines[-1] if lines else {}


def _time_of(line: Line) -> str:
    return str(line.get('time', ''))


def _format_line(line: Line, *, is_end: bool) -> str:
    fields = ' '.join(
        f'{name}={field}' for name, field in line.items() if name not in _COMMON and field != ''
    )
    mark = '=>' if is_end else '  '
    return f'{mark} {line.get("time", "")} {line.get("node", "")} {line["message"]}: {fields}'
