"""Reads YAML text into plain data, keeping the line of each path."""

from dataclasses import dataclass, field
from typing import Any, Final

import yaml

from basilcove.environment.const import MAX_DEPTH
from basilcove.environment.faults import DocumentFault, Path, locate

_Loader: Final = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_MERGE_TAG: Final = 'tag:yaml.org,2002:merge'


@dataclass
class Source:
    """Plain data of a document, the line of each path and the faults of its text."""

    content: Any = None
    lines: dict[Path, int] = field(default_factory=dict)
    faults: list[DocumentFault] = field(default_factory=list)


def read_source(text: str) -> Source:
    """Read YAML text; add a fault instead of raising an exception if it can't be read."""
    source = Source()
    try:
        fault = _check_shape(text)
    except (yaml.YAMLError, ValueError) as exc:
        fault = _syntax_fault(exc)
    if fault is not None:
        source.faults.append(fault)
        return source
    loader = _Loader(text)
    try:
        node = loader.get_single_node()
        source.content = None if node is None else _build(loader, node, (), source)
    except (yaml.YAMLError, ValueError) as exc:
        source.faults.append(_syntax_fault(exc))
    finally:
        loader.dispose()
    return source


def _check_shape(text: str) -> DocumentFault | None:
    # Aliases let a short text expand without bound, so they are refused.
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        if isinstance(event, yaml.AliasEvent):
            return DocumentFault('', 'YAML aliases are not allowed', _line(event))
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return DocumentFault('', f'nested deeper than {MAX_DEPTH} levels', _line(event))
    return None


def _line(event: yaml.Event) -> int | None:
    mark = event.start_mark
    return None if mark is None else mark.line + 1


def _syntax_fault(exc: Exception) -> DocumentFault:
    mark = getattr(exc, 'problem_mark', None)
    problem = getattr(exc, 'problem', None) or str(exc).splitlines()[0]
    return DocumentFault('', f'invalid YAML: {problem}', None if mark is None else mark.line + 1)


def _build(loader: Any, node: yaml.Node, path: Path, source: Source) -> Any:
    source.lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        elements = enumerate(node.value)
        return [_build(loader, element, (*path, str(index)), source) for index, element in elements]
    if isinstance(node, yaml.MappingNode):
        return _build_mapping(loader, node, path, source)
    return loader.construct_object(node)


def _build_mapping(loader: Any, node: yaml.MappingNode, path: Path, source: Source) -> dict[str, Any]:
    mapping: dict[str, Any] = {}
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        key = _key(loader, key_node)
        if key is None:
            text = 'a key must be text; put numbers, dates and words such as yes in quotes'
            source.faults.append(DocumentFault('.'.join(path), text, line))
            continue
        key_path = (*path, key)
        if key in mapping:
            text = f'the key {key} is given twice, first in line {source.lines[key_path]}'
            source.faults.append(DocumentFault('.'.join(key_path), text, line))
            continue
        source.lines[key_path] = line
        mapping[key] = _build(loader, value_node, key_path, source)
    return mapping


def _key(loader: Any, node: yaml.Node) -> str | None:
    if not isinstance(node, yaml.ScalarNode) or node.tag == _MERGE_TAG:
        return None
    key = loader.construct_object(node)
    return key if isinstance(key, str) else None


def fault_at(source: Source, path: Path, text: str) -> None:
    """Add a fault at a path of the document."""
    source.faults.append(locate(path, text, source.lines))
