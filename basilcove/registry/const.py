"""Constants of the registry of upstreams."""

from typing import Final

# An upstream whose registration was not renewed for this long is silent. It calls about every 1.2 s, and a
# call may be seconds late or go to a host that is down.
SILENT_AFTER_S: Final = 4.5
# A registration that was not renewed for this long is dropped. Until then it serves to recognize late calls
# of a former process.
FORGOTTEN_AFTER_S: Final = 120.0
# An upstream that gets no answer to its departure within about a second asks another host.
DEPARTURE_TIMEOUT_S: Final = 0.7
# A longer gap between two ticks is a pause of this process, in which it could receive no calls.
MIN_PAUSE_S: Final = 0.5
# Bounds the table if a client invents instances.
MAX_INSTANCES: Final = 8192
# Numbers up to this one are exact in every JSON reader.
MAX_NUMBER: Final = 2**53 - 1
# Messages between nodes carry slots and ranks as 32-bit integers.
MAX_SLOTS: Final = 2**31 - 1
MAX_PORT: Final = 65_535
# Characters of a name.
MAX_TEXT_LENGTH: Final = 256
# Sequence of the departure of an instance; it orders the departure after all its calls, including late ones.
MAX_SEQUENCE: Final = 2**62
# An upstream that states so much more remaining cold time than before has become cold again; less may be
# due to calls that were late.
COLD_TOLERANCE_S: Final = 0.5
