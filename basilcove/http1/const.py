"""Constants of HTTP/1.1 connections."""

from typing import Final

# Bounds of a request until a document states others.
MAX_HEADER_BYTES: Final = 16 * 1024
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# Requests that a caller sent ahead on one connection.
MAX_PIPELINED: Final = 4
# Bytes to a peer beyond which its source is no longer read.
WRITE_BUFFER_BYTES: Final = 256 * 1024
# How often connections are checked for their timeouts.
SWEEP_INTERVAL_S: Final = 0.5
BACKLOG: Final = 1024
# How long a caller may go on sending a request that was refused.
REFUSED_LINGER_S: Final = 1.0
