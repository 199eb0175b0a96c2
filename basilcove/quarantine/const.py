"""Constants of the quarantine of prompt parts."""

from typing import Final

# First time for which a part is refused, the factor for each further crash, and the longest time.
FIRST_QUARANTINE_S: Final = 30.0
QUARANTINE_FACTOR: Final = 4
MAX_QUARANTINE_S: Final = 1800.0
# After its quarantine, a part is tried by one gateway, then by two, four and so on, at this interval, so that
# few requests reach upstreams before all gateways know that it still crashes them.
TRIAL_STAGE_S: Final = 2.0
# Time after the quarantine for which a part is tried with one request at a time, then it is forgotten.
TRIAL_S: Final = 60.0
# Control hosts remember a part for this long after its quarantine: longer than gateways, whose trials begin
# some stages later, so that the versions of a part only grow.
RECORD_LIFETIME_S: Final = 120.0
# Answers and crashes count for this long.
EVIDENCE_LIFETIME_S: Final = 120.0
# Crashes within this time may have one cause, such as a host that is lost; they count once.
INCIDENT_S: Final = 1.0
# Weight of a crash against a part of a request whose answer had its head and no event, and against one of a
# request without a head; and the weight with which a part is blamed that has been answered before.
HEAD_WEIGHT: Final = 2
NO_HEAD_WEIGHT: Final = 1
CONFIRMING_WEIGHT: Final = 4
# Bounds of the tables, in case of callers that invent parts.
MAX_CRASHES: Final = 256
MAX_REQUESTS_PER_CRASH: Final = 32
MAX_PARTS: Final = 4096
