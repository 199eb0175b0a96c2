"""Converts between dataclasses and protobuf messages with the same field names."""

import dataclasses
import enum
import operator
import types
from collections.abc import Callable
from typing import Any, NewType, TypeVar, Union, cast, get_args, get_origin, get_type_hints

from google.protobuf.message import DecodeError
from google.protobuf.message import Message as ProtoMessage

from basilcove.core.events import Message
from basilcove.exceptions import BasilcoveError

MessageT = TypeVar('MessageT')
Write = Callable[[Any, Any], None]
Read = Callable[[Any], Any]
# A field's name and the functions that write it to and read it from a protobuf message.
FieldCodec = tuple[str, Write, Read]

_KINDS: dict[str, type] = {}
_CODECS: dict[type, tuple[FieldCodec, ...]] = {}
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
    for name, write, _ in _get_codecs(type(source)):
        field_value = getattr(source, name)
        if field_value is not None:
            write(target, field_value)


def from_proto(cls: type[MessageT], source: ProtoMessage) -> MessageT:
    """Build a dataclass from a protobuf message with the same field names."""
    return cls(**{name: read(source) for name, _, read in _get_codecs(cls)})


def _get_codecs(cls: type) -> tuple[FieldCodec, ...]:
    # Type hints are resolved once for each class; resolving them for each message took 30 of the 39
    # microseconds that an announcement's encoding took.
    codecs = _CODECS.get(cls)
    if codecs is None:
        hints = get_type_hints(cls)
        declared = dataclasses.fields(cast(Any, cls))
        codecs = tuple(
            _build_codec(each.name, _unwrap_newtype(hints[each.name])) for each in declared if each.init
        )
        _CODECS[cls] = codecs
    return codecs


def _build_codec(name: str, hint: Any) -> FieldCodec:
    get = operator.attrgetter(name)
    if get_origin(hint) in {Union, types.UnionType}:
        _, write, read = _build_codec(name, _element_type(hint))
        return name, write, lambda source: read(source) if source.HasField(name) else None
    origin = get_origin(hint)
    if origin is tuple:
        return name, _tuple_writer(name, _element_type(hint)), _tuple_reader(get, _element_type(hint))
    if origin is dict:
        return name, lambda target, content: get(target).update(content), lambda source: dict(get(source))
    if dataclasses.is_dataclass(hint):
        return name, _nested_writer(get), lambda source: from_proto(cast(type, hint), get(source))
    if _is_enum(hint):
        return (
            name,
            lambda target, member: setattr(target, name, member.value),
            lambda source: hint(get(source)),
        )
    return name, lambda target, scalar: setattr(target, name, scalar), get


def _tuple_writer(name: str, hint: Any) -> Write:
    if dataclasses.is_dataclass(hint):

        def write_nested(target: Any, elements: Any) -> None:
            repeated = getattr(target, name)
            for element in elements:
                fill_proto(element, repeated.add())

        return write_nested
    if _is_enum(hint):
        return lambda target, elements: getattr(target, name).extend(member.value for member in elements)
    return lambda target, elements: getattr(target, name).extend(elements)


def _tuple_reader(get: Read, hint: Any) -> Read:
    if dataclasses.is_dataclass(hint):
        return lambda source: tuple(from_proto(cast(type, hint), element) for element in get(source))
    if _is_enum(hint):
        return lambda source: tuple(map(hint, get(source)))
    return lambda source: tuple(get(source))


def _nested_writer(get: Read) -> Write:
    def write(target: Any, content: Any) -> None:
        nested = get(target)
        nested.SetInParent()
        fill_proto(content, nested)

    return write


def _unwrap_newtype(hint: Any) -> Any:
    while isinstance(hint, NewType):
        hint = hint.__supertype__
    return hint


def _element_type(hint: Any) -> Any:
    for arg in get_args(hint):
        if arg is not types.NoneType:
            return _unwrap_newtype(arg)
    return hint


def _is_enum(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, enum.Enum)
