"""Limits of one listener."""

from dataclasses import dataclass

from basilcove.http.const import (
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    MAX_EXTENSION_BYTES,
    MAX_LEADING_BYTES,
    RECEIVE_TIMEOUT_S,
    RESERVED_DESCRIPTORS,
    SOCKET_TIMEOUT_S,
)


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener on its requests and connections.

    A sender that is silent for ``timeout_s``, or needs longer than ``receive_timeout_s`` for a complete
    request, gets 408. ``max_leading_bytes`` bounds the empty lines before a request, ``max_extension_bytes``
    the extensions of all chunks of a body together. ``reserved_descriptors`` are left to the rest of the
    process.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_connections: int = MAX_CONNECTIONS
    timeout_s: float = SOCKET_TIMEOUT_S
    receive_timeout_s: float = RECEIVE_TIMEOUT_S
    max_leading_bytes: int = MAX_LEADING_BYTES
    max_extension_bytes: int = MAX_EXTENSION_BYTES
    reserved_descriptors: int = RESERVED_DESCRIPTORS
