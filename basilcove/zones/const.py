"""Constants of evacuations."""

from typing import Final

# Longest name of an availability zone, in characters. Together with the number of zones it bounds what an
# offer to a peer that lacks them carries, to some 100 KB.
MAX_ZONE_LENGTH: Final = 256
MAX_EVACUATED_ZONES: Final = 256
