"""Constants of the HTTP interface."""

from typing import Final

KIBIBYTE: Final = 1024

MAX_HEADER_BYTES: Final = 32 * KIBIBYTE
MAX_BODY_BYTES: Final = 4 * KIBIBYTE * KIBIBYTE
MAX_ANNOUNCEMENT_BYTES: Final = 64 * KIBIBYTE
SOCKET_TIMEOUT_S: Final = 10

# Threads beyond the open streams, so that refusals and health checks are answered at full load.
SPARE_THREADS: Final = 8
STATUS_THREADS: Final = 2

# Upper bound of one read from an upstream; what is ready together travels in one frame.
READ_CHUNK_BYTES: Final = 64 * KIBIBYTE
CONNECT_TIMEOUT_S: Final = 1.0

# The caller's thread gives up this long after the request's deadline if no decision arrived.
ANSWER_GRACE_S: Final = 5.0

EVENT_STREAM: Final = 'text/event-stream'
PROBLEM_JSON: Final = 'application/problem+json'
