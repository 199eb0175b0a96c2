"""Constants of HTTP/1.1 connections."""

from typing import Final

# Requests that a caller sent ahead on one connection.
MAX_PIPELINED: Final = 4
# Bytes to a peer beyond which its source is no longer read.
WRITE_BUFFER_BYTES: Final = 256 * 1024
# How often connections are checked for their timeouts.
SWEEP_INTERVAL_S: Final = 0.5
BACKLOG: Final = 1024
