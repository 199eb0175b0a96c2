"""Settings of the HTTP interfaces."""

from pydantic import BaseModel, ConfigDict, Field

from basilcove.const import MAX_REQUEST_BYTES
from basilcove.experts.planning.const import COUNTS_INTERVAL_S
from basilcove.http.const import (
    ANNOUNCEMENT_TIMEOUT_S,
    MAX_ANNOUNCING_CONNECTIONS,
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    MAX_STATUS_CONNECTIONS,
    RECEIVE_TIMEOUT_S,
    SOCKET_TIMEOUT_S,
)


class HttpConfig(BaseModel):
    """Where an entry listens for callers and how many answers it streams concurrently.

    A caller that neither sends nor reads for ``socket_timeout_s``, or needs longer than ``receive_timeout_s``
    to send a complete request, is disconnected. ``max_connections`` bounds the connections besides those of
    ``max_streams``; at the bound the one that has waited longest for its caller is closed.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    max_streams: int = Field(64, gt=0, le=4096)
    max_body_bytes: int = Field(MAX_BODY_BYTES, gt=0, le=MAX_REQUEST_BYTES)
    socket_timeout_s: float = Field(SOCKET_TIMEOUT_S, gt=0)
    receive_timeout_s: float = Field(RECEIVE_TIMEOUT_S, gt=0)
    max_connections: int = Field(MAX_CONNECTIONS, ge=16, le=16384)


class AnnounceConfig(BaseModel):
    """Where an agent listens for the upstream on its host.

    An announcement must arrive completely within ``receive_timeout_s``.
    The engine is polled for the counts of its experts every ``counts_interval_s``.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    max_calls: int = Field(64, gt=0, le=4096)
    progress_timeout_s: float = Field(30, gt=0)
    receive_timeout_s: float = Field(ANNOUNCEMENT_TIMEOUT_S, gt=0)
    max_connections: int = Field(MAX_ANNOUNCING_CONNECTIONS, ge=16, le=16384)
    counts_interval_s: float = Field(COUNTS_INTERVAL_S, gt=0)


class StatusConfig(BaseModel):
    """Where a node without any other HTTP server serves health, readiness and metrics."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    max_connections: int = Field(MAX_STATUS_CONNECTIONS, ge=16, le=16384)
