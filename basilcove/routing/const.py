"""Constants of routing."""

from typing import Final

# Candidates compared for each attempt. The better of two from a large pool comes close to the best of all,
# and entry nodes that decide by the same lagged reports don't all choose the same upstream.
LOCAL_CHOICES: Final = 2
REMOTE_CHOICES: Final = 2
PREFIX_CHOICES: Final = 3

# Additional upstreams that are sampled while some are in slow start and may skip their turn.
SAMPLE_SLACK: Final = 4

# Added to the cost of an upstream in another availability zone, which must be better by this much.
REMOTE_PENALTY_S: Final = 0.5

# A load report older than this is ignored; a busy upstream repeats its report sooner.
REPORT_LIFETIME_S: Final = 5.0

# A load is reported when the speed or the work ahead of any level has changed by this fraction, and the work
# also by more than the upstream serves in REPORT_CHANGE_S at full speed. Reports are at least
# MIN_REPORT_INTERVAL_S apart. The load of a busy upstream is repeated after REPORT_REPEAT_S.
REPORT_CHANGE_FRACTION: Final = 0.1
REPORT_CHANGE_S: Final = 0.05
MIN_REPORT_INTERVAL_S: Final = 0.5
REPORT_REPEAT_S: Final = 2.0

# Added to the cost of an upstream for REFUSED_TIME_S after a refusal: it is assumed to be full until its next
# reports arrive.
REFUSED_PENALTY_S: Final = 2.0
REFUSED_TIME_S: Final = 1.0

# Assumed speed of a slot until a report has arrived, in tokens per second.
DEFAULT_SLOT_TOKENS_PER_S: Final = 50.0

# Prefix index: limit on all entries, lower bound of the limit for one upstream, leading blocks of a prefix
# that are indexed, missing events that are tracked, and the weight of entries that may be stale. An entry
# takes about 200 bytes, so all entries take about 10 MB.
MAX_INDEX_BLOCKS: Final = 50_000
MIN_UPSTREAM_BLOCKS: Final = 16
MAX_PREFIX_BLOCKS: Final = 64
MAX_MISSING_EVENTS: Final = 64
UNCERTAIN_WEIGHT: Final = 0.5

# Assumed fraction of a request's work that its whole prefix takes if the request doesn't state it.
DEFAULT_PREFIX_FRACTION: Final = 0.5

# Ejection: largest ejected fraction of the upstreams of a model or service, first and longest ejection time,
# jitter as a fraction of that time, the timeout of a probe, the thresholds of failures and latency, and the
# gains of the moving averages of an upstream and of all upstreams of a model or service.
MAX_EJECTED_FRACTION: Final = 1 / 3
EJECTION_TIME_S: Final = 5.0
MAX_EJECTION_TIME_S: Final = 60.0
EJECTION_JITTER_FRACTION: Final = 0.2
PROBE_TIMEOUT_S: Final = 10.0
FAILURES_TO_EJECT: Final = 5
ERROR_FRACTION: Final = 0.5
ERROR_FACTOR: Final = 2.0
LATENCY_FACTOR: Final = 4.0
MIN_SAMPLES: Final = 10
UPSTREAM_GAIN: Final = 0.1
PEER_GAIN: Final = 0.02

# Slow start: the fraction of its turns that an upstream takes rises from this minimum to 1 in SLOW_START_S.
SLOW_START_S: Final = 10.0
MIN_SLOW_START_FRACTION: Final = 0.1

# Constants of SplitMix64, which spreads the counter of choices over the candidates.
MIX_BITS: Final = 64
MIX_INCREMENT: Final = 0x9E3779B97F4A7C15
MIX_STEPS: Final = ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB))
MIX_LAST_SHIFT: Final = 31
