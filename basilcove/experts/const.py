"""Constants of planning and activation."""

from typing import Final

# Popularity halves its weight in this time: long enough to average the noise of one
# report, short enough to follow a moving head.
POPULARITY_HALF_LIFE_S: Final = 20.0
# A layer in which more than this part of the selections changed experts within one interval
# starts anew; the noise of an interval's counts is about a tenth of it.
JUMP_DISTANCE: Final = 0.1
# Part of the mean count that an expert without selections is given, so that it is placed.
MIN_POPULARITY: Final = 1e-6
# The forecast stays within this factor below the smoothed count.
FORECAST_RANGE: Final = 4.0
# A report leaves out experts whose count changed by less than this fraction.
REPORT_CHANGE_FRACTION: Final = 0.02

# Layers whose slowest rank is within this factor of the mean are left alone.
LAYER_SKEW_ALLOWED: Final = 1.03
# The search in a layer ends at this factor, which leaves room for drift until the next plan.
LAYER_SKEW_WANTED: Final = 1.012
# The coolest ranks are the partners of a swap; more partners cost time and rarely help.
PARTNERS: Final = 5
# How often the search in one layer may leave a local optimum.
DIVISIONS: Final = 8

STRAGGLER_RATIO: Final = 1.15
# Hysteresis: a straggler recovers below this ratio, so that noise does not move weights.
STRAGGLER_RECOVERED_RATIO: Final = 1.05
STRAGGLER_WINDOWS: Final = 3
STRAGGLER_SMOOTHING: Final = 0.3
# A slower rank than this is to be replaced, not relieved.
MIN_CAPACITY: Final = 0.25
