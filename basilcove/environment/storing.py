"""Text of a document as hosts store it and read it, and JSON that all readers take alike."""

import json
from typing import Any, Never

from basilcove.environment.canonical import canonical, canonical_json
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.loading import load_accepted
from basilcove.environment.models import Environment

# Exceptions of a JSON text that can't be read, or whose content can't be written.
_UNREADABLE = (ValueError, RecursionError)


def read_json(text: bytes | str) -> Any:
    """Return the content of a JSON text; ValueError if another reader may refuse it or read other content.

    Refused are numbers beyond the range of doubles, halves of characters and keys that are given twice.
    """
    try:
        content = json.loads(text, object_pairs_hook=_build_object, parse_constant=_refuse_constant)
        json.dumps(content, ensure_ascii=False, allow_nan=False).encode()
    except RecursionError as exc:
        raise ValueError('nested too deeply') from exc
    return content


def write_stored(environment: Environment) -> str:
    """Return the canonical JSON of a document; DocumentError if a host would not read the same document."""
    try:
        text = canonical(environment)
    except _UNREADABLE as exc:
        raise DocumentError(f'the document can not be written: {exc}') from exc
    if read_stored(text) != environment:
        raise DocumentError('the document does not read back as it is')
    return text


def normalise_stored(text: str) -> str:
    """Return the canonical JSON of a stored text; DocumentError if it isn't JSON."""
    try:
        return canonical_json(json.loads(text))
    except _UNREADABLE as exc:
        raise DocumentError(f'the document is not JSON: {exc}') from exc


def read_stored(text: str) -> Environment:
    """Return the document of a stored text as each host reads it; DocumentError if a host can't."""
    return load_accepted(normalise_stored(text))


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    built = dict(pairs)
    if len(built) < len(pairs):
        raise ValueError('a key is given twice in one object')
    return built


def _refuse_constant(name: str) -> Never:
    raise ValueError(f'{name} is no number of JSON')
