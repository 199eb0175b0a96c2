"""Constants of requests at an entry."""

from typing import Final

# How long an agent may take to confirm that an attempt which had not started at its deadline is barred.
CONFIRM_TIMEOUT_S: Final = 0.25

# The answer of a keyed call is withheld from the caller until it is recorded, but not longer than this.
RECORD_TIMEOUT_S: Final = 1.0

# Each attempt goes to another upstream, so this also bounds how many upstreams one request visits.
MAX_ATTEMPTS: Final = 4

# Retries that an entry may make before its first attempts have added to the budget. First attempts repay
# this advance, so once there are more than RETRY_ADVANCE / share of them, the retries never exceed the
# budget's share.
RETRY_ADVANCE: Final = 3.0
# Bounds the burst of retries after a long time without any.
MAX_RETRY_BALANCE: Final = 20.0

# An upstream that refused an attempt because it leaves is not chosen for this long. By then, either its
# leaving announcement has arrived, or it sent none and accepts work again.
LEAVING_PAUSE_S: Final = 2.0

# Retry-After in seconds if no better estimate is available.
DEFAULT_RETRY_AFTER_S: Final = 1.0

# An answer is stored with its claim in the replicated state, which contains many of them.
MAX_STORED_ANSWER_BYTES: Final = 64 * 1024
# A keyed call's answer is buffered in memory until it is recorded.
MAX_BUFFERED_ANSWER_BYTES: Final = 1024 * 1024

# Defaults of the settings.
MAX_WAIT_S: Final = 5.0
STOP_TIMEOUT_S: Final = 30.0

TEAM_SWEEP_INTERVAL_S: Final = 1.0

MIN_SERVER_ERROR_STATUS: Final = 500
