"""Constants of HTTP/1.1 connections."""

from typing import Final

# Default limits of a request, in effect until a document sets others.
MAX_HEADER_BYTES: Final = 16 * 1024
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# The time in which a request must arrive grows by the time that its body takes at this rate.
MIN_BODY_BYTES_PER_S: Final = 1024
# Requests that a caller may pipeline on one connection.
MAX_PIPELINED: Final = 4
# Bytes buffered for a peer, above which the source of these bytes is no longer read.
WRITE_BUFFER_BYTES: Final = 256 * 1024
# Interval at which connections are checked for timeouts.
SWEEP_INTERVAL_S: Final = 0.5
BACKLOG: Final = 1024
# Connections accepted in one iteration of the event loop.
MAX_ACCEPTS: Final = 64
# How long accepting pauses after an error of the operating system.
ACCEPT_RETRY_S: Final = 1.0
# Idle time after which connections are closed while no more may be accepted.
FULL_IDLE_S: Final = 1.0
# Bytes that are read from one connection in an iteration of the event loop, within a body and otherwise: a
# small segment may hold many requests or header lines.
READ_BYTES: Final = 32 * 1024
HEAD_READ_BYTES: Final = 4 * 1024
# Work of a request in multiples of that of a header line.
REQUEST_PARTS: Final = 32
# Header lines and parts of bodies in one read, above which a connection waits for others before it reads on.
MAX_PARTS_PER_READ: Final = 256
# Memory of a header line besides its characters: a pair, two objects of bytes and a place in a list.
HEADER_COST_BYTES: Final = 160
# Memory of a request besides its header lines and its body.
REQUEST_COST_BYTES: Final = 512
# A growing buffer is allocated up to an eighth more than it holds.
BUFFER_GROWTH: Final = 8
# Copies of a body that is being sent to an upstream.
BODY_COPIES: Final = 2
# Stated to a caller that is refused because too many bytes are held.
RETRY_AFTER_S: Final = 1
REFUSAL_LOG_INTERVAL_S: Final = 1.0
# How long a caller may continue to send a request that was refused.
REFUSED_LINGER_S: Final = 1.0

# Bytes of an answer that reach no reader before the next part of its body: heads, interim heads, trailers and
# the framing of chunks. Regular answers have a few hundred of them.
MAX_ANSWER_OVERHEAD_BYTES: Final = 64 * 1024
# The same once an answer to another request was skipped, whose body reaches no reader either.
MAX_SKIPPED_BYTES: Final = 1024 * 1024
