"""Constants of the activation of expert maps."""

from typing import Final

# A lost coordinator is replaced within this time; 230 groups that renew at a third of it propose
# 46 commands a second.
LEASE_S: Final = 15.0
RENEW_AFTER_S: Final = 5.0
# The holder counts its lease as ended this much earlier, since two clocks may drift apart.
LEASE_MARGIN_S: Final = 0.5
PROPOSAL_TIMEOUT_S: Final = 5.0
RETRY_S: Final = 0.5

RESEND_S: Final = 0.5
# How often an idle coordinator asks the engines for their maps, to find one that lost its own.
PROBE_S: Final = 2.0
PREPARE_TIMEOUT_S: Final = 60.0
# Armed ranks may wait at the step for this long, so a rank that does not arm soon ends the round.
ARM_TIMEOUT_S: Final = 3.0
# Steps from the newest known one to the one of the switch: the time for arming and deciding, about
# 1 s, at the targeted 76 ms a step, with as much again in reserve.
ARM_AHEAD_STEPS: Final = 26
# Weights of one expert in one layer that a group may fetch from the weight store in a second.
FETCHES_PER_S: Final = 100.0
