"""Constants of expert maps of remote groups."""

from typing import Final

from basilcove.http1.client import ClientConfig

# Ranks answer within milliseconds; a call without an answer is retried.
CALL_TIMEOUT_S: Final = 0.4
RESEND_S: Final = 0.15
# Longest Retry-After of a rank that is believed.
MAX_HOLD_S: Final = 60.0
# Added to the time until a call is sent again for each call of its phase, since the work on all takes time.
RESEND_PER_CALL_S: Final = 0.004
# Calls to ranks that are in progress at the same time; the others wait.
MAX_OPEN_CALLS: Final = 32
# Lists of a map with thousands of experts take some tens of kilobytes.
MAX_ANSWER_BYTES: Final = 1024 * 1024
# An order without an answer may still take effect within this time.
MAX_ORDER_DELAY_S: Final = 13.0
# The report of a rank lags behind its state by a few hundred milliseconds.
REPORT_LAG_S: Final = 0.6
REPORT_INTERVAL_S: Final = 0.2
# The same while ranks copy, from when they should have finished.
COPY_POLL_INTERVAL_S: Final = 0.1

# Popularity changes within seconds, but each reading is charged for and pauses the group briefly.
COUNTS_INTERVAL_S: Final = 1.2
# The same where copies are bounded since popularity changes while ranks copy: what is known first counts.
URGENT_COUNTS_INTERVAL_S: Final = 0.6
# Used until a popularity is known, as after a change of leader: a map needs the difference of two readings.
FIRST_COUNTS_INTERVAL_S: Final = 0.4
# Ranks whose counts are read: requests are spread over all ranks, so a few of them are a fair sample. Each
# reading pauses the whole group, and all of them together may make an event of every stream late.
SAMPLED_RANKS: Final = 3
# Weight of earlier readings relative to the latest one.
COUNTS_DECAY: Final = 0.3
# Part of its slots that a group must have in use for its map to change; below it, passes are short enough.
MIN_UTILISATION: Final = 0.6
# The same for the first map, which assigns experts in turn: its slowest rank has several times the mean load;
# and where copies are bounded, since a map that is planned only once passes are long comes too late.
EARLY_UTILISATION: Final = 0.3
# By how much a new map must lower the expected skew, which is the slowest over the mean load of the ranks.
MIN_SKEW_GAIN: Final = 0.25
# A layer whose expected skew falls by less keeps its experts, which saves their copies.
MIN_LAYER_SKEW_GAIN: Final = 0.1
# Ranks times layers that are planned in one step of the loop; heartbeats of the control group go out between.
PLANNED_RANKS_PER_TICK: Final = 260
# Time for which ranks may copy experts for one map. Popularity moves every few seconds, and a map that is
# copied for longer comes into effect when it no longer fits.
MAX_COPY_S: Final = 0.5
# The search in one layer ends at this skew; what remains is far less than a change of popularity costs.
TARGET_SKEW: Final = 1.12

# A rank below this part of the usual speed is relieved of experts, beyond what swaps do: every pass waits
# for it, and swaps would move too few experts at a time.
RELIEF_SPEED: Final = 0.67

# If more than this part of a group is slow, the other ranks have no capacity for the work of the slow ones.
MAX_SLOW_SHARE: Final = 1 / 3

# Interval of the reports of an idle group while orders of a former leader may still take effect.
WATCH_INTERVAL_S: Final = 1.0

PREPARE_TIMEOUT_S: Final = 4.0
HOLD_TIMEOUT_S: Final = 1.5
# How often a change is tried with a later step if the step to hold had begun.
MAX_LATE_HOLDS: Final = 3
# How far ahead the step of the switch is, so that no pass waits for an order.
ARM_AHEAD_S: Final = 0.25
# The same while orders are lost: retries reach all ranks in this time even if a third of the orders is lost.
LOSSY_ARM_AHEAD_S: Final = 0.7
# Added to it: a few steps, or fewer in small groups whose steps are long. While a group waits at the step, an
# event of every stream is late.
MAX_SPARE_STEPS: Final = 4
SPARE_S: Final = 0.1
# How long arming is retried at ranks that refuse it before all ranks are disarmed.
ARM_TIMEOUT_S: Final = 3.0
# No new change starts for this long after one that failed.
CHANGE_BACKOFF_S: Final = 4.0

# No map has this version, so an order to disarm it changes only the fencing token of a rank.
UNUSED_VERSION: Final = 2**53 - 1
# A group is taken over when it forms, and again after one of its ranks was missing.
TOKENS_PER_TERM: Final = 65_536
# A leader changes a group's map a few times a minute, and a term lasts days at most.
VERSIONS_PER_TOKEN: Final = 100_000

# Connections to ranks: calls come in bursts of a few seconds.
RANK_CLIENT_CONFIG: Final = ClientConfig(
    connect_timeout_s=0.3,
    default_keep_alive_s=5,
    keep_alive_margin_s=1,
    max_idle_connections=2,
    unacknowledged_timeout_ms=1500,
)
