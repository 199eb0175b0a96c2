"""Constants of orders to engines."""

from typing import Final

# A call without an answer fails after this time; the engine may still accept the order of a failed call
# within as much time again, but not later.
ENGINE_TIMEOUT_S: Final = 3.0
# Clocks of two hosts drift by less than this within the longest lease.
CLOCK_DRIFT_S: Final = 1.0
READ_TIMEOUT_S: Final = 2.0
READ_RETRY_S: Final = 0.5
# An armed rank without an order for this long reads the decision itself.
READ_DECISION_AFTER_S: Final = 1.0
