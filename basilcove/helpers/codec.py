"""Binds dataclasses to protobuf messages, field by field of the same name."""

import dataclasses
import enum
import functools
import types
from collections.abc import Callable
from typing import Any, NewType, TypeVar, Union, cast, get_args, get_origin, get_type_hints

from google.protobuf.message import DecodeError
from google.protobuf.message import Message as ProtoMessage

from basilcove.core.events import Message
from basilcove.exceptions import BasilcoveError

MessageT = TypeVar('MessageT')
Convert = Callable[[Any], Any]

_KINDS: dict[str, type] = {}
_HINTS: dict[type, tuple[tuple[str, Any], ...]] = {}
_PROTOS: dict[type, tuple[str, type[ProtoMessage]]] = {}


class CodecError(BasilcoveError):
    """A message could not be decoded."""


def message(kind: str, proto: type[ProtoMessage]) -> Callable[[type[MessageT]], type[MessageT]]:
    """Register a dataclass as the content of envelopes of this kind.

    Fields may be scalars, ``NewType`` ids, enums, optionals, tuples of these,
    ``dict[str, scalar]`` and nested dataclasses.
    """

    def register(cls: type[MessageT]) -> type[MessageT]:
        _KINDS[kind] = cls
        _PROTOS[cls] = (kind, proto)
        return cls

    return register


def encode(msg: Message) -> tuple[str, bytes]:
    """Return the kind and the protobuf bytes of a registered message."""
    kind, proto = _PROTOS[type(msg)]
    return kind, to_proto(msg, proto).SerializeToString()


def decode(kind: str, body: bytes) -> Message:
    """Return the message of this kind; CodecError if unknown or malformed."""
    cls = _KINDS.get(kind)
    if cls is None:
        raise CodecError(f'unknown kind of message: {kind}')
    try:
        return cast(Message, from_proto(cls, _PROTOS[cls][1].FromString(body)))
    except (DecodeError, ValueError, TypeError) as exc:
        raise CodecError(f'malformed message of kind {kind}: {exc}') from exc


def to_proto(source: Any, proto: type[ProtoMessage]) -> ProtoMessage:
    """Build a protobuf message from a dataclass with the same field names."""
    target = proto()
    fill_proto(source, target)
    return target


def fill_proto(source: Any, target: ProtoMessage) -> None:
    """Set the fields of a protobuf message from a dataclass."""
    for name, hint in _hints(type(source)):
        field_value = getattr(source, name)
        if field_value is None:
            continue
        _set_field(target, name, hint, field_value)


def from_proto(cls: type[MessageT], source: ProtoMessage) -> MessageT:
    """Build a dataclass from a protobuf message with the same field names."""
    fields = {name: _get_field(source, name, hint) for name, hint in _hints(cls)}
    return cls(**fields)


def _hints(cls: type) -> tuple[tuple[str, Any], ...]:
    known = _HINTS.get(cls)
    if known is None:
        known = _resolve_hints(cls)
        _HINTS[cls] = known
    return known


def _resolve_hints(cls: type) -> tuple[tuple[str, Any], ...]:
    hints = get_type_hints(cls)
    return tuple(
        (declared.name, _plain(hints[declared.name])) for declared in dataclasses.fields(cast(Any, cls))
    )


def _plain(hint: Any) -> Any:
    while isinstance(hint, NewType):
        hint = hint.__supertype__
    return hint


def _is_optional(hint: Any) -> bool:
    return get_origin(hint) in {Union, types.UnionType}


def _inner(hint: Any) -> Any:
    for arg in get_args(hint):
        if arg is not types.NoneType:
            return _plain(arg)
    return hint


def _set_field(target: ProtoMessage, name: str, hint: Any, field_value: Any) -> None:
    if _is_optional(hint):
        hint = _inner(hint)
    origin = get_origin(hint)
    if origin is tuple:
        _extend(getattr(target, name), _inner(hint), field_value)
    elif origin is dict:
        getattr(target, name).update(field_value)
    elif dataclasses.is_dataclass(hint):
        nested = getattr(target, name)
        nested.SetInParent()
        fill_proto(field_value, nested)
    else:
        setattr(target, name, _scalar(field_value))


def _extend(repeated: Any, hint: Any, elements: tuple[Any, ...]) -> None:
    if dataclasses.is_dataclass(hint):
        for element in elements:
            fill_proto(element, repeated.add())
        return
    repeated.extend(map(_scalar, elements))


def _scalar(element: Any) -> Any:
    return element.value if isinstance(element, enum.Enum) else element


def _get_field(source: ProtoMessage, name: str, hint: Any) -> Any:
    if _is_optional(hint):
        if not source.HasField(name):
            return None
        hint = _inner(hint)
    origin = get_origin(hint)
    if origin is tuple:
        convert = _reader(_inner(hint))
        return tuple(convert(element) for element in getattr(source, name))
    if origin is dict:
        return dict(getattr(source, name))
    return _reader(hint)(getattr(source, name))


def _reader(hint: Any) -> Convert:
    if dataclasses.is_dataclass(hint):
        return functools.partial(from_proto, cast(type, hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return _identity


def _identity(element: Any) -> Any:
    return element
