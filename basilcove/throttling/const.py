"""Constants of the throttling of upstreams that state a limit."""

from typing import Final

# A stated limit is dropped if no gateway has repeated it for this long.
LIMIT_LIFETIME_S: Final = 10.0
# A gateway repeats the limit in the answers that it reads at this interval.
REPEAT_INTERVAL_S: Final = 2.0
# Gateways that send to an upstream with a limit, besides one for each request a second. A few bear the stop
# of one of them; with more, the requests that they send at the same moment would exceed a small limit.
BASE_SENDERS: Final = 2
MAX_SENDERS: Final = 64
# Upstreams with a limit that a process remembers.
MAX_LIMITS: Final = 8192
