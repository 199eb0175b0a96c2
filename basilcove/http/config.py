"""Settings of the HTTP interfaces."""

from dataclasses import replace

from pydantic import BaseModel, ConfigDict, Field

from basilcove.const import MAX_REQUEST_BYTES
from basilcove.experts.planning.const import COUNTS_INTERVAL_S
from basilcove.http.const import (
    ANNOUNCEMENT_TIMEOUT_S,
    MAX_ANNOUNCING_CONNECTIONS,
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    MAX_EXTENSION_BYTES,
    MAX_LEADING_BYTES,
    MAX_STATUS_CONNECTIONS,
    MIN_LEADING_BYTES,
    RECEIVE_TIMEOUT_S,
    RESERVED_DESCRIPTORS,
    SOCKET_TIMEOUT_S,
)
from basilcove.http.limits import ListenerLimits


class ListenConfig(BaseModel):
    """Where a server listens, and limits that each of them has.

    ``max_leading_bytes`` bounds the empty lines before a request, ``max_extension_bytes`` the extensions of
    all chunks of a body together. Connections leave ``reserved_descriptors`` to links, upstreams and files.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    max_leading_bytes: int = Field(MAX_LEADING_BYTES, ge=MIN_LEADING_BYTES)
    max_extension_bytes: int = Field(MAX_EXTENSION_BYTES, ge=0)
    reserved_descriptors: int = Field(RESERVED_DESCRIPTORS, ge=0)

    def build_limits(self, limits: ListenerLimits) -> ListenerLimits:
        """Return ``limits`` with those that each server has."""
        return replace(
            limits,
            max_leading_bytes=self.max_leading_bytes,
            max_extension_bytes=self.max_extension_bytes,
            reserved_descriptors=self.reserved_descriptors,
        )


class HttpConfig(ListenConfig):
    """Where an entry listens for callers and how many answers it streams concurrently.

    A caller that neither sends nor reads for ``socket_timeout_s``, or needs longer than ``receive_timeout_s``
    to send a complete request, is disconnected. ``max_connections`` bounds the connections besides those of
    ``max_streams``; at the bound the one that has waited longest for its caller is closed.
    """

    max_streams: int = Field(64, gt=0, le=4096)
    max_body_bytes: int = Field(MAX_BODY_BYTES, gt=0, le=MAX_REQUEST_BYTES)
    socket_timeout_s: float = Field(SOCKET_TIMEOUT_S, gt=0)
    receive_timeout_s: float = Field(RECEIVE_TIMEOUT_S, gt=0)
    max_connections: int = Field(MAX_CONNECTIONS, ge=16, le=16384)


class AnnounceConfig(ListenConfig):
    """Where an agent listens for the upstream on its host.

    An announcement must arrive completely within ``receive_timeout_s``.
    The engine is polled for the counts of its experts every ``counts_interval_s``.
    """

    max_calls: int = Field(64, gt=0, le=4096)
    progress_timeout_s: float = Field(30, gt=0)
    receive_timeout_s: float = Field(ANNOUNCEMENT_TIMEOUT_S, gt=0)
    max_connections: int = Field(MAX_ANNOUNCING_CONNECTIONS, ge=16, le=16384)
    counts_interval_s: float = Field(COUNTS_INTERVAL_S, gt=0)


class StatusConfig(ListenConfig):
    """Where a node without any other HTTP server serves health, readiness and metrics."""

    max_connections: int = Field(MAX_STATUS_CONNECTIONS, ge=16, le=16384)
