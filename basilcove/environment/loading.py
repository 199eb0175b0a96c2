"""Parses a document into its typed form, or lists its faults."""

from collections.abc import Mapping
from typing import Any, Final

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from basilcove.environment.checks import CHECKS, Draft
from basilcove.environment.const import MAX_DOCUMENT_BYTES, MAX_FAULTS
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.faults import DocumentFault, DocumentFaults
from basilcove.environment.models import Environment, Group, Model, Priority, Route, Service, Team, Upstream
from basilcove.environment.source import Source, fault_at, read_source

_SECTIONS: Final[Mapping[str, type[BaseModel]]] = {
    'priorities': Priority,
    'teams': Team,
    'groups': Group,
    'models': Model,
    'services': Service,
    'upstreams': Upstream,
    'routes': Route,
}
_TEXTS: Final[Mapping[str, str]] = {'extra_forbidden': 'unknown key', 'missing': 'missing'}


def load(text: str) -> Environment | DocumentFaults:
    """Read a document in YAML or JSON; every fault is listed, with its line where possible."""
    if len(text.encode(errors='replace')) > MAX_DOCUMENT_BYTES:
        return DocumentFaults((DocumentFault('', f'larger than {MAX_DOCUMENT_BYTES} bytes'),))
    source = read_source(text)
    if source.content is None and source.faults:
        return _sorted_faults(source)
    return _check(source)


def load_content(content: object) -> Environment | DocumentFaults:
    """Check a document that has been parsed already; its faults have paths but no lines."""
    return _check(Source(content))


def _check(source: Source) -> Environment | DocumentFaults:
    if not isinstance(source.content, dict):
        fault_at(source, (), 'the document must be a mapping')
        return _sorted_faults(source)
    environment = _validate(source)
    _cross_check(source, environment)
    if source.faults or environment is None:
        return _sorted_faults(source)
    return environment


def load_accepted(text: str) -> Environment:
    """Read the canonical JSON of an accepted document; DocumentError if this version can't."""
    try:
        return Environment.model_validate_json(text)
    except ValidationError as exc:
        details = exc.errors(include_url=False, include_context=False, include_input=False)[:MAX_FAULTS]
        raise DocumentError(*(_describe(detail) for detail in details)) from exc


def _describe(detail: ErrorDetails) -> str:
    path = '.'.join(str(part) for part in detail['loc'])
    return f'{path or "document"}: {detail["msg"]}'


def _validate(source: Source) -> Environment | None:
    try:
        return Environment.model_validate(source.content)
    except ValidationError as exc:
        for detail in exc.errors(include_url=False, include_context=False, include_input=False):
            path = tuple(str(part) for part in detail['loc'])
            fault_at(source, path, _TEXTS.get(detail['type'], detail['msg']))
    return None


def _cross_check(source: Source, environment: Environment | None) -> None:
    sections = {name: _section(source.content, name) for name in _SECTIONS}
    if environment is None:
        environment = _build_partial(sections)
    draft = Draft(environment, {name: frozenset(entries) for name, entries in sections.items()})
    for check in CHECKS:
        for path, text in check(draft):
            fault_at(source, path, text)


def _section(content: dict[str, Any], name: str) -> dict[str, Any]:
    entries = content.get(name)
    return entries if isinstance(entries, dict) else {}


def _build_partial(sections: Mapping[str, dict[str, Any]]) -> Environment:
    # Cross references are checked even if some entries are faulty, so that one run lists all faults.
    valid: dict[str, dict[str, BaseModel]] = {}
    for section, entries in sections.items():
        valid[section] = {}
        for name, entry in entries.items():
            try:
                valid[section][name] = _SECTIONS[section].model_validate(entry)
            except ValidationError:
                continue
    return Environment.model_construct(**valid)  # type: ignore[arg-type]


def _sorted_faults(source: Source) -> DocumentFaults:
    ordered = sorted(source.faults, key=lambda fault: (fault.line or 0, fault.path))
    if len(ordered) > MAX_FAULTS:
        omitted = len(ordered) - MAX_FAULTS
        ordered = [*ordered[:MAX_FAULTS], DocumentFault('', f'{omitted} more faults are not listed')]
    return DocumentFaults(tuple(ordered))
