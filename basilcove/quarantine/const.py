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
# An answer whose first event is at most so old has just begun.
YOUNG_ANSWER_S: Final = 0.25
# An answer is past a crash that came after an event if it goes on for so much longer than the crashed one.
SOUND_MARGIN_S: Final = 0.25

# Weight of a crash against a part of a request whose answer had just begun, and against one of any other
# request; and the weights with which a part is blamed: one with which no answer has got past the crash, and
# one with which some have.
FRESH_WEIGHT: Final = 2
OTHER_WEIGHT: Final = 1
SUSPICION_WEIGHT: Final = 2
CONFIRMING_WEIGHT: Final = 4
# Bounds of the tables, in case of callers that invent parts.
MAX_CRASHES: Final = 256
MAX_REQUESTS_PER_CRASH: Final = 32
MAX_PARTS: Final = 4096
