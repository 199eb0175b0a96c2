"""Constants of admission."""

from typing import Final

# Attempts that would wait longer than this are refused, which bounds the backlog after an overload. The
# target for recovery is 10 s, and the last attempts of the overload need a part of that to run.
MAX_QUEUE_TIME_S: Final = 5.0

# Number of attempts of a priority that may wait regardless of the queueing time. With fewer, long attempts
# are refused under normal load, since a single one may exceed the time.
QUEUE_TIME_EXEMPT_ATTEMPTS: Final = 2

# Fraction of the expected service time that is used when a deadline is checked: the estimate for a single
# attempt is off by up to a third, and work that may still end in time is not refused.
LATE_FRACTION: Final = 0.75

# Service above its floor counts against a priority for this long, so that a priority that has just been
# served well doesn't take slots reserved for urgent attempts.
FLOOR_WINDOW_S: Final = 2.0

# Time constant of the short-term demand and service rates of each priority.
RATE_TIME_CONSTANT_S: Final = 5.0

# Time constant of the average demand by which slots are reserved. Long attempts that start in a short lull
# would occupy the slots for longer than the lull lasts, so it is of the order of their service time. The
# short-term rate is capped at this factor of the average or this fraction of the speed, whichever is higher,
# so that the start of an overload counts only in part.
DEMAND_TIME_CONSTANT_S: Final = 30.0
DEMAND_WARM_UP_S: Final = 5.0
DEMAND_CAP_FACTOR: Final = 1.5
DEMAND_CAP_FRACTION: Final = 0.5

# Slots reserved for higher priorities: their mean concurrent demand plus this many standard deviations of a
# Poisson distribution.
HEADROOM_DEVIATIONS: Final = 0.5

# An upstream with fewer slots reserves none for higher priorities; others reserve one even while no urgent
# attempt has been seen.
MIN_SLOTS_FOR_HEADROOM: Final = 4

# The measured speed and the ratio of real to estimated work average over about this many finished attempts.
AVERAGED_ATTEMPTS: Final = 64
RATIO_BOUNDS: Final = (0.05, 4.0)

# A team may send the requests of this time as a burst.
RATE_BURST_S: Final = 1.0

# Retry-After while no attempt has finished yet and the speed is unknown.
DEFAULT_RETRY_AFTER_S: Final = 1.0

# A heap with lazy deletion is rebuilt when it exceeds twice the number of its live entries plus this slack.
HEAP_SLACK: Final = 64

# Limits that apply until a document is in effect.
DEFAULT_MAX_QUEUED_WORK: Final = 2_000_000.0
DEFAULT_MAX_QUEUED_ATTEMPTS: Final = 2_000
DEFAULT_MAX_CONCURRENT: Final = 256

# Level of a priority that the document doesn't name.
LAST_LEVEL: Final = 1_000_000
