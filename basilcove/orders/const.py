"""Constants of orders to engines."""

from typing import Final

# A call without an answer has failed after this time, and an engine takes the order of a failed call
# within as much time again, or never.
ENGINE_TIMEOUT_S: Final = 3.0
# Clocks of two hosts drift by less than this within the longest lease.
CLOCK_DRIFT_S: Final = 1.0
LEARN_TIMEOUT_S: Final = 2.0
LEARN_INTERVAL_S: Final = 0.5
# An armed rank that has heard nothing for this long reads the decision itself.
ASK_DECISION_AFTER_S: Final = 1.0
