"""Constants of admission."""

from typing import Final

# Work that would wait longer than this is refused. It bounds the backlog that outlives a flood: the target
# for recovery is 10 s, of which the last attempts of the flood need a part to run.
QUEUE_TIME_S: Final = 5.0

# Attempts of a priority that may wait in any case. With fewer, long attempts are refused on ordinary days,
# as a single one may exceed the time.
QUEUE_TIME_EXEMPT: Final = 2

# Part of the expected service time that counts when a deadline is checked: the estimate of a single
# attempt is off by up to a third, and work that may well end in time is not refused.
LATE_FRACTION: Final = 0.75

# Service above its floor counts against a priority for this long, so that a priority that has just been
# served well doesn't take slots held free for urgent attempts.
FLOOR_WINDOW_S: Final = 2.0

# Time constant of the measured demand and service of each priority.
RATE_TIME_CONSTANT_S: Final = 5.0

# Time constant of the demand by which slots are held free. Long attempts that start in a short lull would
# hold the slots for longer than the lull lasts, so it is of the order of their service time. A rate counts
# at most as this factor of the average, or this fraction of the speed, so that the start of a flood counts
# in part only.
DEMAND_TIME_CONSTANT_S: Final = 30.0
DEMAND_WARM_UP_S: Final = 5.0
DEMAND_FACTOR: Final = 1.5
DEMAND_FRACTION: Final = 0.5

# Slots held free for higher priorities: their mean concurrent demand plus this many standard deviations of
# a Poisson distribution.
HEADROOM_DEVIATIONS: Final = 0.5

# An upstream with fewer slots holds none free while no urgent attempt has been seen.
MIN_SLOTS_FOR_HEADROOM: Final = 4

# Measured speed and the ratio of real to estimated work follow about this many finished attempts.
SPEED_MEMORY_ATTEMPTS: Final = 64
RATIO_BOUNDS: Final = (0.05, 4.0)

# Time within which a team may use up the requests that its rate allows.
RATE_BURST_S: Final = 1.0

# Retry-After while no attempt has finished yet and the speed is unknown.
DEFAULT_RETRY_AFTER_S: Final = 1.0

# Lazily cleaned heaps are rebuilt when more than half of a heap of at least this size is out of date.
HEAP_SLACK: Final = 64

# Bounds that hold until a document is known.
DEFAULT_MAX_QUEUED_WORK: Final = 2_000_000.0
DEFAULT_MAX_QUEUED_ATTEMPTS: Final = 2_000
DEFAULT_MAX_CONCURRENT: Final = 256

# Level of a priority that the document doesn't name.
LAST_LEVEL: Final = 1_000_000
