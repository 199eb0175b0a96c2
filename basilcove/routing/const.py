"""Constants of routing."""

from typing import Final

# Candidates looked at for each attempt. Two of a large pool come close to the best of all, and entries that
# decide by the same lagged reports don't all choose the same upstream.
LOCAL_CHOICES: Final = 2
REMOTE_CHOICES: Final = 2
PREFIX_CHOICES: Final = 3

# Further upstreams that are looked at while some are in slow start and may give up their turn.
SAMPLE_SLACK: Final = 4

# An upstream in another availability zone must be better by this much.
REMOTE_PENALTY_S: Final = 0.5

# A report older than this says nothing any more; the load of a busy upstream is repeated within it.
REPORT_LIFETIME_S: Final = 5.0

# A load is reported when the work ahead of any level, or the speed, changed by this fraction and the work by
# this time at full speed; no sooner than the interval after the last report.
REPORT_CHANGE: Final = 0.1
REPORT_CHANGE_S: Final = 0.05
REPORT_INTERVAL_S: Final = 0.5
REPORT_REPEAT_S: Final = 2.0

# An upstream that has just refused is taken to be full until its next reports arrive.
REFUSED_PENALTY_S: Final = 2.0
REFUSED_TIME_S: Final = 1.0

# Speed of a slot while no report has arrived, in tokens per second.
DEFAULT_SLOT_SPEED: Final = 50.0

# Prefix index: bound on the entries in total, positions of a prefix looked at, and the weight of entries
# that may be out of date. An entry takes about 200 bytes, so that all take about 10 MB.
MAX_INDEX_BLOCKS: Final = 50_000
MIN_UPSTREAM_BLOCKS: Final = 16
MAX_PREFIX_BLOCKS: Final = 64
MAX_MISSING_EVENTS: Final = 64
UNCERTAIN_WEIGHT: Final = 0.5

# Part of a request's work that its whole prefix makes up when the request doesn't say.
DEFAULT_PREFIX_FRACTION: Final = 0.5

# Ejection: at most this fraction of the upstreams that serve a model or service, for this long at first.
MAX_EJECTED_FRACTION: Final = 1 / 3
EJECTION_TIME_S: Final = 5.0
MAX_EJECTION_TIME_S: Final = 60.0
EJECTION_JITTER: Final = 0.2
PROBE_TIMEOUT_S: Final = 10.0
CONSECUTIVE_FAILURES: Final = 5
ERROR_FRACTION: Final = 0.5
ERROR_FACTOR: Final = 2.0
LATENCY_FACTOR: Final = 4.0
MIN_SAMPLES: Final = 10
HEALTH_GAIN: Final = 0.1
PEER_GAIN: Final = 0.02

# Slow start: the part of its sampled turns that an upstream takes rises to all of them over this time.
SLOW_START_S: Final = 10.0
SLOW_START_LEAST: Final = 0.1

# Constants of SplitMix64, which spreads the counter of choices over the candidates.
MIX_BITS: Final = 64
MIX_INCREMENT: Final = 0x9E3779B97F4A7C15
MIX_STEPS: Final = ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB))
MIX_LAST_SHIFT: Final = 31
