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
# How long a caller may continue to send a request that was refused.
REFUSED_LINGER_S: Final = 1.0

# Bytes of an answer that reach no reader before the next part of its body: heads, interim heads, trailers and
# the framing of chunks. Regular answers have a few hundred of them.
MAX_ANSWER_OVERHEAD_BYTES: Final = 64 * 1024
# The same once an answer to another request was skipped, whose body reaches no reader either.
MAX_SKIPPED_BYTES: Final = 1024 * 1024
