"""Constants of expert maps of remote groups."""

from typing import Final

from basilcove.http1.client import ClientConfig

# A rank answers within milliseconds; an order without an answer is sent again.
CALL_TIMEOUT_S: Final = 0.4
RESEND_S: Final = 0.15
# An order that got no answer may still be carried out for this long.
LATE_ORDER_S: Final = 13.0
# What a rank says of itself lags by some hundred milliseconds.
REPORT_LAG_S: Final = 0.6
REPORT_INTERVAL_S: Final = 0.2

# Popularity changes within seconds, and each reading is charged and pauses the group for a moment.
COUNTS_INTERVAL_S: Final = 1.2
# Until anything is known, as after a change of leader: the difference of two readings is needed for a map.
FIRST_COUNTS_INTERVAL_S: Final = 0.4
# Every so many ranks one is read: requests are spread over ranks, so a part of them is a fair sample.
SAMPLED_RANKS: Final = 3
# What earlier readings weigh beside the latest one.
COUNTS_DECAY: Final = 0.3
# Maps are changed while the group has this part of its slots taken; below it, passes are short enough.
MIN_UTILISATION: Final = 0.6
# The same for the first map, in which experts stand in turn; its slowest rank has some times the mean load.
FIRST_MAP_UTILISATION: Final = 0.3
# Expected skew, slowest over mean load of the ranks, by which a new map must be better.
MIN_GAIN: Final = 0.25
# The search in one layer ends here, far below what a change of popularity costs.
SKEW_WANTED: Final = 1.12

# A rank is relieved of experts, beyond what swaps do, if its speed is below this part of the usual one. Every
# pass waits for it, and swaps would move too few experts at a time.
RELIEF_SPEED: Final = 0.67

# With more slow ranks than this part of a group, the others have no room for what these would leave.
MAX_SLOW_SHARE: Final = 1 / 3

# How often ranks are looked at while orders of a former leader may still be carried out.
WATCH_INTERVAL_S: Final = 1.0

PREPARE_TIMEOUT_S: Final = 4.0
HOLD_TIMEOUT_S: Final = 1.5
# How far ahead the step lies at which the ranks change their map, so that no pass waits for an order.
AHEAD_S: Final = 0.25
# The same while orders are lost: so many sendings reach all ranks of a group though a third of them is lost.
LOSSY_AHEAD_S: Final = 0.7
MIN_AHEAD_STEPS: Final = 4
# How long ranks that refuse to be armed are asked again before the change is given up.
ARM_TIMEOUT_S: Final = 3.0
# After a change that was given up.
PAUSE_S: Final = 4.0

# No map has this number, so that disarming it changes nothing but the fence of a rank.
UNUSED_VERSION: Final = 2**53 - 1
# A leader changes a group's map some times a minute, and a term lasts days at most.
VERSIONS_PER_TOKEN: Final = 100_000

# Connections to ranks: calls come in series of some seconds.
CALLS: Final = ClientConfig(
    connect_timeout_s=0.3, kept_s=5, kept_margin_s=1, max_kept=2, unacknowledged_ms=1500
)
