"""Constants of the links between nodes."""

from typing import Final

RECONNECT_MIN_S: Final = 0.1
RECONNECT_MAX_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 2.0

# All links are looked after in one wake-up. A peer is given up at the last look before PEER_TIMEOUT_S.
LINK_CHECK_INTERVAL_S: Final = 0.25
# Each message wakes both processes, and the wake-ups are most of what an idle link costs. An idle link is
# silent for 1.25 s at most, so a peer that is late by 0.5 s is not given up. An agent refreshes its
# announcements every 0.9 s, give or take a tick of 0.1 s: its links need no heartbeat besides.
HEARTBEAT_AFTER_S: Final = 1.0

# Above the 12 engines of today's largest application, so that every entry links to all of them.
MAX_SAMPLED_UPSTREAMS: Final = 64
SAMPLE_CHECK_INTERVAL_S: Final = 1.0

# A link whose queue is full is closed: its peer doesn't read, and every protocol resends.
MAX_QUEUED_ENVELOPES: Final = 20_000
# A write costs far more than an envelope, so those that are ready travel in one, up to about this size.
MAX_BATCH_BYTES: Final = 256 * 1024
# A message that need not arrive at once leaves alone after this time. A frame of its own keeps each side's
# loop busy for about 0.2 ms, for which the call to the upstream would wait that begins at that moment.
MAX_MESSAGE_WAIT_S: Final = 0.01
MAX_ENVELOPE_BYTES: Final = 16 * 1024 * 1024

OPERATOR_CALL_TIMEOUT_S: Final = 15.0
