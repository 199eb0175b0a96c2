"""Constants of the links between nodes."""

from typing import Final

RECONNECT_MIN_S: Final = 0.1
RECONNECT_MAX_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 2.0

# A link whose queue is full is closed: its peer doesn't read, and every protocol resends.
MAX_QUEUED_ENVELOPES: Final = 20_000
# A write costs far more than an envelope, so those that are ready travel in one, up to about this size.
MAX_BATCH_BYTES: Final = 256 * 1024
MAX_ENVELOPE_BYTES: Final = 16 * 1024 * 1024

OPERATOR_CALL_TIMEOUT_S: Final = 15.0
