"""Limits of a listener and of the requests that it receives."""

import resource
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

from basilcove.http1.const import MAX_BODY_BYTES, MAX_HEADER_BYTES


@dataclass(slots=True)
class ConnectionLimits:
    """Limits on the size of a request, in bytes, and on its arrival and idle times, in seconds."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


class ReceiveConfig(BaseModel):
    """Limits on what all connections of a listener take together.

    ``max_leading_bytes`` bounds the empty lines before a request, and ``max_lingering`` the refused
    connections that are kept open until their callers have read the refusal. Of the descriptors of the
    process, ``reserved_descriptors`` are kept for links to other processes. The memory is bounded by the
    account of the process.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    max_connections: int = Field(default=1024, gt=0)
    reserved_descriptors: int = Field(default=128, ge=0)
    max_leading_bytes: int = Field(default=MAX_HEADER_BYTES, gt=0)
    max_lingering: int = Field(default=64, ge=0)


def find_max_connections(cfg: ReceiveConfig) -> int:
    """Return how many connections a listener may have open with the descriptors of this process.

    Each caller's request may need a second descriptor for its upstream.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return cfg.max_connections
    return max(1, min(cfg.max_connections, (soft - cfg.reserved_descriptors) // 2))
