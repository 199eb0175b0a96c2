"""Constants of the links between nodes."""

from typing import Final

RECONNECT_MIN_S: Final = 0.1
RECONNECT_MAX_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 2.0

# All links are checked in one wake-up. A silent peer is lost at the last check before PEER_TIMEOUT_S.
LINK_CHECK_INTERVAL_S: Final = 0.25
# Each message wakes both processes, and these wake-ups are most of the cost of an idle link. An idle link is
# silent for at most 1.25 s, so a peer that is late by 0.5 s is not considered lost. An agent refreshes its
# announcements every 0.9 s, plus or minus a tick of 0.1 s, so its links need no additional heartbeats.
HEARTBEAT_AFTER_S: Final = 1.0

# More than the 12 engines of the largest application today, so that every entry links to all of them.
MAX_SAMPLED_UPSTREAMS: Final = 64
SAMPLE_CHECK_INTERVAL_S: Final = 1.0

# A link whose queue is full is closed: its peer doesn't read, and every protocol retransmits.
MAX_QUEUED_ENVELOPES: Final = 20_000
# A write costs far more than an envelope, so queued envelopes share a frame of up to about this size.
MAX_BATCH_BYTES: Final = 256 * 1024
# Maximum delay of a message that is not urgent and waits to share a frame. A separate frame occupies the
# loop of each side for about 0.2 ms, which would delay a call to the upstream that starts at that moment.
MAX_MESSAGE_WAIT_S: Final = 0.01
MAX_ENVELOPE_BYTES: Final = 16 * 1024 * 1024

OPERATOR_CALL_TIMEOUT_S: Final = 15.0
