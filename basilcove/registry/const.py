"""Constants of the registry of upstreams."""

from typing import Final

# An upstream registers about every 1.2 s, and a call may be seconds late or go to a host that is down.
SILENT_AFTER_S: Final = 4.5
# A registration that was not renewed for this long is forgotten; late calls of a former process are still
# recognised by it until then.
FORGOTTEN_AFTER_S: Final = 120.0
# A longer gap between two ticks is a pause of this process, in which it could hear nobody.
PAUSE_S: Final = 0.5
# Bounds the table against a writer that invents instances.
MAX_INSTANCES: Final = 8192
# The last word of an instance comes after all its calls, also those that arrive later.
MAX_SEQUENCE: Final = 2**62
