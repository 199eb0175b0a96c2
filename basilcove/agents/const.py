"""Constants of attempts at an agent."""

from typing import Final

# Ended attempts are remembered this long, and at most this many; older ones are refused by number.
MEMORY_S: Final = 60.0
MAX_REMEMBERED: Final = 20_000

# An entry without a link is remembered this long, so that a former process start stays refused.
ENTRY_MEMORY_S: Final = 3600.0

# A leaving upstream still gets the attempts that waited when it began to leave, for this long. It
# must get no new work after 2 s.
LEAVING_GRACE_S: Final = 1.5

# Defaults of the settings.
PROGRESS_TIMEOUT_S: Final = 10.0
STOP_TIMEOUT_S: Final = 30.0

# Retry-After where nothing better is known.
DEFAULT_RETRY_AFTER_S: Final = 1.0
