"""Renders settings templates as the platform does; supports the part of its language that they use."""

import json
import re
from pathlib import Path
from typing import Any

_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def render(template: Path, fields: dict[str, Any]) -> str:
    """Return the rendered text of a template; sections and values without a field are empty."""
    text = _SECTION.sub(
        lambda match: _render_entries(match[2], _look_up(fields, match[1]) or []), template.read_text()
    )
    return _PLACEHOLDER.sub(lambda match: _format_value(_look_up(fields, match[1]), bool(match[2])), text)


def _render_entries(part: str, entries: list[str]) -> str:
    last = len(entries) - 1
    filled = []
    for index, entry in enumerate(entries):
        comma = '' if index == last else ','
        filled.append(part.replace('{{.}}', entry).replace('{{,}}', comma))
    return ''.join(filled)


def _look_up(fields: Any, name: str) -> Any:
    for step in name.split('.'):
        if fields is None:
            return None
        fields = fields[int(step)] if isinstance(fields, list) else fields.get(step)
    return fields


def _format_value(value: Any, as_json: bool) -> str:
    if value is None:
        return ''
    return json.dumps(value) if as_json else str(value)
