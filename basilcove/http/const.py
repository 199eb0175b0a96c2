"""Constants of the HTTP interface."""

from typing import Final

KIBIBYTE: Final = 1024

MAX_HEADER_BYTES: Final = 32 * KIBIBYTE
# The size line of a chunk, with its extensions.
MAX_CHUNK_LINE_BYTES: Final = 4 * KIBIBYTE
# Default of the extensions of all chunks of a body together; none of them is used.
MAX_EXTENSION_BYTES: Final = 256 * KIBIBYTE
# Default of the empty lines before a request. RFC 9112, section 2.2, asks that at least one be ignored.
MAX_LEADING_BYTES: Final = 64
MIN_LEADING_BYTES: Final = 2
# Memory of a short header line in the mappings of cheroot, WSGI and a call, besides its text: three entries
# of two strings each.
HEADER_LINE_BYTES: Final = 512
# Memory of a part of an answer in its queue, besides its bytes.
PART_COST_BYTES: Final = 128
MAX_BODY_BYTES: Final = 4 * KIBIBYTE * KIBIBYTE
MAX_ANNOUNCEMENT_BYTES: Final = 64 * KIBIBYTE
# Connections that wait to be accepted. The operating system drops any more, and their callers retry after
# 1 s; with cheroot's default of 5, 70 callers that connected simultaneously waited up to 7 s.
LISTEN_BACKLOG: Final = 512
SOCKET_TIMEOUT_S: Final = 10
# Bounds how long a request may occupy a thread while it arrives. A body of the default maximum size then
# needs a bandwidth of 1.1 Mbit/s.
RECEIVE_TIMEOUT_S: Final = 30
# Announcements are small and come from the agent's own host.
ANNOUNCEMENT_TIMEOUT_S: Final = 5

# Connections of a listener, besides those that stream answers.
MAX_CONNECTIONS: Final = 512
MAX_ANNOUNCING_CONNECTIONS: Final = 128
MAX_STATUS_CONNECTIONS: Final = 64
# Default of the descriptors that connections leave to links, upstreams and files.
RESERVED_DESCRIPTORS: Final = 256
# Upper bound of one read from a connection, after which other connections are served.
RECEIVE_BYTES: Final = 64 * KIBIBYTE
# The bound outside of content of a known size: 64 KiB of tiny chunks take 10 ms, in which no other connection
# is served, and 349 such connections delayed an ordinary request by 3.6 s.
SMALL_READ_BYTES: Final = 4 * KIBIBYTE
# Interval at which deadlines of connections are checked.
SWEEP_INTERVAL_S: Final = 0.25
# Connections that are accepted between two rounds over all others.
ACCEPTS: Final = 64
# A connection is closed for a new one only after this time, so that the request of a new one can arrive.
MIN_WAIT_S: Final = 0.2
# Interval at which a full server looks for room, which threads make without waking the poller.
RESUME_INTERVAL_S: Final = 0.01
# Threads of a listener that answer pipelined requests. Threads that compute wait up to 5 ms for each other at
# each of their steps, and 31 of them delayed an ordinary request by 9 s.
MAX_PIPELINED: Final = 2
RETRY_WHEN_FULL_S: Final = 1

# Threads in addition to those of open streams, so that refusals and health checks are answered at full load.
SPARE_THREADS: Final = 8
STATUS_THREADS: Final = 2

# Upper bound of one read from an upstream; bytes that are available together share a frame.
READ_CHUNK_BYTES: Final = 64 * KIBIBYTE
# Minimum interval between chunks of one answer, so that the tokens of a fast stream share a frame. A chunk
# after a longer pause, such as the first, is sent immediately. It is a fraction of the target of 76 ms
# between tokens.
CHUNK_INTERVAL_S: Final = 0.02
# A read that takes longer had to wait for data. If it took less than CHUNK_INTERVAL_S, the stream is fast,
# and its thread pauses: threads that wake for each token keep the loop's thread from running.
BUFFERED_READ_S: Final = 0.0005
READ_PAUSE_S: Final = 0.01
CONNECT_TIMEOUT_S: Final = 1.0
COUNTS_TIMEOUT_S: Final = 3.0
# The counts of 4 ranks with 58 layers of 256 experts are 0.6 MB as JSON.
MAX_COUNTS_BYTES: Final = 4 * KIBIBYTE * KIBIBYTE

# A caller's thread stops waiting this long after the request's deadline if no answer arrived.
ANSWER_GRACE_S: Final = 5.0

EVENT_STREAM: Final = 'text/event-stream'
PROBLEM_JSON: Final = 'application/problem+json'
