"""Constants of the HTTP interface."""

from typing import Final

KIBIBYTE: Final = 1024

MAX_HEADER_BYTES: Final = 32 * KIBIBYTE
# The line that announces a chunk of a body, with its extensions.
MAX_CHUNK_LINE_BYTES: Final = 4 * KIBIBYTE
MAX_BODY_BYTES: Final = 4 * KIBIBYTE * KIBIBYTE
MAX_ANNOUNCEMENT_BYTES: Final = 64 * KIBIBYTE
# Connections that wait to be accepted. Those beyond it are dropped by the operating system, and their
# callers try again after 1 s; cheroot's default of 5 made 70 callers that came at once wait up to 7 s.
LISTEN_BACKLOG: Final = 512
SOCKET_TIMEOUT_S: Final = 10
# Bounds how long one request may hold a thread while it arrives. A body of the default largest size then
# needs a line of 1.1 Mbit/s.
RECEIVE_TIMEOUT_S: Final = 30
# Announcements are small and come from the agent's own host.
ANNOUNCEMENT_TIMEOUT_S: Final = 5

# Threads beyond the open streams, so that refusals and health checks are answered at full load.
SPARE_THREADS: Final = 8
STATUS_THREADS: Final = 2

# Upper bound of one read from an upstream; what is ready together travels in one frame.
READ_CHUNK_BYTES: Final = 64 * KIBIBYTE
# Chunks of one answer follow each other at least this long apart, so that the tokens of a fast stream
# share a frame. A chunk after a longer pause, such as the first, is sent at once. It is a fraction of
# the target of 76 ms between tokens.
CHUNK_INTERVAL_S: Final = 0.02
# A read that takes longer found nothing buffered. If it took less than the interval, the stream is fast,
# and its thread pauses: threads that wake for each token keep the loop's thread from running.
BUFFERED_READ_S: Final = 0.0005
READ_PAUSE_S: Final = 0.01
CONNECT_TIMEOUT_S: Final = 1.0
COUNTS_TIMEOUT_S: Final = 3.0
# The counts of 4 ranks with 58 layers of 256 experts are 0.6 MB as JSON.
MAX_COUNTS_BYTES: Final = 4 * KIBIBYTE * KIBIBYTE

# The caller's thread gives up this long after the request's deadline if no decision arrived.
ANSWER_GRACE_S: Final = 5.0

EVENT_STREAM: Final = 'text/event-stream'
PROBLEM_JSON: Final = 'application/problem+json'
