"""Constants that several subsystems share."""

from typing import Final

# Version 2 names the sender in the first envelope of a link only. In version 3 agents refresh announcements
# instead of repeating them, so an entry of version 2 would lose their upstreams.
PROTOCOL_VERSION: Final = 3

# An idle process that wakes 20 times a second takes 0.7% of a core for the wake-ups alone.
TICK_INTERVAL_S: Final = 0.1
PEER_TIMEOUT_S: Final = 2.0

# A request's body and headers must fit into one message to an agent.
MAX_REQUEST_BYTES: Final = 15 * 1024 * 1024

MICROSECONDS_PER_S: Final = 1_000_000
MILLISECONDS_PER_S: Final = 1000

VERSION: Final = '0.1.0'

# Memory that a process's listeners hold for requests and answers, and the least that a setting may allow.
MAX_RECEIVE_BYTES: Final = 32 * 1024 * 1024
MIN_RECEIVE_BYTES: Final = 1024 * 1024
