"""Fills in settings templates as the platform does, with the part of its language that they use."""

import json
import re
from pathlib import Path
from typing import Any

_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def render(template: Path, fields: dict[str, Any]) -> str:
    """Return the text of a template; placeholders without a field are left empty."""
    text = _SECTION.sub(lambda found: _repeat(found[2], _find(fields, found[1]) or []), template.read_text())
    return _PLACE.sub(lambda found: _show(_find(fields, found[1]), bool(found[2])), text)


def _repeat(part: str, entries: list[str]) -> str:
    last = len(entries) - 1
    filled = []
    for index, entry in enumerate(entries):
        comma = '' if index == last else ','
        filled.append(part.replace('{{.}}', entry).replace('{{,}}', comma))
    return ''.join(filled)


def _find(fields: Any, name: str) -> Any:
    for step in name.split('.'):
        fields = fields[int(step)] if isinstance(fields, list) else fields.get(step)
    return fields


def _show(found: Any, as_json: bool) -> str:
    return json.dumps(found) if as_json else str(found)
