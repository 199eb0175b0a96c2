"""Constants of orders to engines."""

from typing import Final

# An engine takes an order within this time of receiving it, or never; a call that has no answer by
# then has failed. It also bounds how long an order of a former agent process may still take effect.
ENGINE_TIMEOUT_S: Final = 3.0
# Clocks of two hosts drift by less than this within the longest lease.
CLOCK_DRIFT_S: Final = 1.0
LEARN_TIMEOUT_S: Final = 2.0
LEARN_INTERVAL_S: Final = 0.5
# An armed rank that has heard nothing for this long reads the decision itself.
ASK_DECISION_AFTER_S: Final = 1.0
