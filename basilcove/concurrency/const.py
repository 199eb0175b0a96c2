"""Constants of the limits on requests in flight of groups."""

from typing import Final

# Buckets of pauses grow by this factor, from 1.05 ** MIN_BUCKET to 1.05 ** MAX_BUCKET seconds.
BUCKET_GROWTH: Final = 1.05
MIN_BUCKET: Final = -140
MAX_BUCKET: Final = 80

# A gateway reports pauses at most this often; less often if more gateways report, so that the reports that a
# control host receives don't grow with their number.
REPORT_INTERVAL_S: Final = 0.2
MAX_REPORTS_PER_S: Final = 500
# Groups whose pauses a control host keeps.
MAX_GROUPS: Final = 1024
# A target counts for this long after the last report of a stream that has it.
TARGET_LIFETIME_S: Final = 10.0

# Pauses are joined over this time, about two passes of a group; their quantile stands for its longest pass.
# It leaves out the pauses of few slow upstreams.
INTERVAL_S: Final = 0.2
PAUSE_QUANTILE: Final = 0.9
MIN_PAUSES: Final = 4
# Requests in flight a rank below which pauses tell nothing about the pauses at a limit.
MIN_LOAD: Final = 1.0
# Requests in flight a rank that lengthen a pass as much as its fixed part. Pauses at other loads are derived
# with it until loads have varied. It need not be exact: pauses at the limit correct the limit.
# Smaller ones are not believed, as streams that last longer also raise the load.
BASE_LOAD: Final = 1.0
MAX_BASE_LOAD: Final = 20.0
# Variance of the load at which its effect that was observed counts as much as the one assumed.
BASE_WEIGHT: Final = 0.1
# Time in which the present level of pauses follows their change.
LEVEL_TIME_S: Final = 1.5
# A pass that lasts so many times as long as usual has stalled: it is late at any load.
STALL_FACTOR: Final = 2.5
# Weight of such a pass in the level, so that a lasting change of this size is followed within seconds.
STALL_WEIGHT: Final = 0.25
# How long it is remembered by how much the pauses of a stream exceeded the level at its start.
MEMORY_S: Final = 30.0
# Intervals that are needed before there is a limit.
MIN_INTERVALS: Final = 15
# So many are enough if the longest pass of each was late: no stream of that time can be on time.
LATE_INTERVALS: Final = 5
# Factors by which the longest pass of a stream exceeds the level at its start, assumed until so many streams
# have ended: a load that begins at once fills all slots before many have.
ASSUMED_EXCESSES: Final = (1.1, 1.2, 1.3, 1.4, 1.6)
MIN_EXCESSES: Final = 15
# Bounds on the time for which a stream runs.
MIN_STREAM_S: Final = 0.4
MAX_STREAM_S: Final = 5.0
# Pauses of a stream, until reports tell their number.
ASSUMED_PAUSES: Final = 20

# Limits are compared at loads that grow by this factor.
LOAD_GROWTH: Final = 1.05
MIN_LIMIT: Final = 1.0
# Relative gain in what streams are worth to callers from which a limit is switched on, and below which it is
# switched off.
GAIN_ON: Final = 1.6
GAIN_OFF: Final = 1.2
# What a late answer is worth to its caller in comparison with one on time.
LATE_VALUE: Final = 0.3
# Expected share of streams on time at the best load below which a limit doesn't help.
MIN_ON_TIME_SHARE: Final = 0.1
# A limit of little more than one stream a rank is given up for a time if a smaller share than this was on
# time lately. The time on trial is that of several changes of popularity.
MAX_FLOOR: Final = 1.3
MIN_SEEN_SHARE: Final = 0.05
PROBATION_S: Final = 12.0
GIVE_UP_S: Final = 60.0
# A limit is switched on only if a smaller share of recent streams was on time: an estimate alone is no reason
# to refuse requests where callers are served on time.
MAX_ON_TIME_SHARE: Final = 0.6
RECENT_S: Final = 4.0
# A limit is switched only after its gain has been above or below the threshold for this long.
SWITCH_TIME_S: Final = 0.4
# Lowest first limit as a fraction of the slots.
MIN_FIRST_SHARE: Final = 0.6
# How far a limit moves in one step.
STEP_INTERVAL_S: Final = 0.3
# Steps of all groups together; one takes a control host about half a millisecond.
MAX_STEPS_PER_S: Final = 50
MAX_STEP_DOWN: Final = 0.9
MAX_STEP_UP: Final = 1.05

# Gateways are told the limits when one has changed by this fraction, and at this interval while any is on.
MIN_CHANGE: Final = 0.02
REPEAT_INTERVAL_S: Final = 1.0
# A limit without news counts unchanged for this long, and then rises to the slots over as long again.
LIMIT_LIFETIME_S: Final = 3.0
# Added to the cost of a full group or rank, so that it is chosen only if all others are full too.
FULL_COST: Final = 1.0
# Change of a limit that is logged.
LOGGED_CHANGE: Final = 0.2
LOG_INTERVAL_S: Final = 2.0
