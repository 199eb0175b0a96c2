"""Constants of planning and activation."""

from typing import Final

# Half-life of the weight of counts: long enough to average out the noise of one report,
# short enough to follow a moving head (the most popular experts).
POPULARITY_HALF_LIFE_S: Final = 20.0
# The smoothing of a layer restarts if more than this part of the selections changed experts within
# one interval; the noise of an interval's counts is about a tenth of it.
JUMP_DISTANCE: Final = 0.1
# Least popularity of an expert, as a part of the mean count, so that unselected experts are placed too.
MIN_POPULARITY: Final = 1e-6
# The forecast is at least the smoothed count divided by this factor.
MAX_FORECAST_DECLINE: Final = 4.0
# A report omits experts whose count changed by no more than this fraction.
REPORT_CHANGE_FRACTION: Final = 0.02

# Layers whose slowest rank is within this factor of the mean are not changed.
LAYER_SKEW_TOLERANCE: Final = 1.03
# The search in a layer ends at this factor, which leaves room for drift until the next plan.
TARGET_LAYER_SKEW: Final = 1.012
# Number of coolest ranks that are tried first as partners of a swap; more cost time and rarely help.
SWAP_PARTNERS: Final = 5
# How often the search in one layer may escape from a local optimum.
MAX_ESCAPES: Final = 8

# A rank is a straggler once its time per work over the group's median exceeds this ratio in
# STRAGGLER_WINDOWS windows in a row.
STRAGGLER_RATIO: Final = 1.15
# Hysteresis: a straggler recovers below this smoothed ratio, so that noise does not move weights.
STRAGGLER_RECOVERED_RATIO: Final = 1.05
STRAGGLER_WINDOWS: Final = 3
# Weight of the newest window in the smoothed ratio.
STRAGGLER_SMOOTHING: Final = 0.3
# Least capacity that is assumed for a rank; a slower one should be replaced, not relieved.
MIN_CAPACITY: Final = 0.25
