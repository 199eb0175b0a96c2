"""Constants of the registry of upstreams."""

from typing import Final

# An upstream whose registration was not renewed for this long is silent. It calls about every 1.2 s, and a
# call may be seconds late or go to a host that is down.
SILENT_AFTER_S: Final = 4.5
# A registration that was not renewed for this long is dropped. Until then it serves to recognize late calls
# of a former process.
FORGOTTEN_AFTER_S: Final = 120.0
# A longer gap between two ticks is a pause of this process, in which it could receive no calls.
MIN_PAUSE_S: Final = 0.5
# Bounds the table if a client invents instances.
MAX_INSTANCES: Final = 8192
# Sequence of the departure of an instance; it orders the departure after all its calls, including late ones.
MAX_SEQUENCE: Final = 2**62
