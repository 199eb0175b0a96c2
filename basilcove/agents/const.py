"""Constants of attempts at an agent."""

from typing import Final

# Ended attempts are remembered this long, and at most this many; evicted ones are refused by their number.
MEMORY_S: Final = 60.0
MAX_REMEMBERED_ATTEMPTS: Final = 20_000

# An entry without messages is remembered this long, so that a former process of it stays refused.
ENTRY_MEMORY_S: Final = 3600.0

# Grace period in which a leaving upstream still gets the attempts that waited when it began to leave. It
# must get no new work after 2 s.
LEAVING_GRACE_S: Final = 1.5

# Defaults of the settings.
PROGRESS_TIMEOUT_S: Final = 10.0
STOP_TIMEOUT_S: Final = 30.0

# Retry-After in seconds if no better estimate is available.
DEFAULT_RETRY_AFTER_S: Final = 1.0
