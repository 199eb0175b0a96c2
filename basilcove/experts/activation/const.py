"""Constants of the activation of expert maps."""

from typing import Final

# A lost coordinator is replaced within this time; 230 groups that renew after a third of it propose
# 46 commands per second.
LEASE_S: Final = 15.0
RENEW_AFTER_S: Final = 5.0
# The holder regards its lease as expired this much earlier, since clocks may drift apart.
LEASE_MARGIN_S: Final = 0.5
PROPOSAL_TIMEOUT_S: Final = 5.0
RETRY_S: Final = 0.5

RESEND_S: Final = 0.5
# Interval at which an idle coordinator polls the engines, to detect one that lost its map.
PROBE_INTERVAL_S: Final = 2.0
PREPARE_TIMEOUT_S: Final = 60.0
# Armed ranks may wait at the step for this long, so the round is aborted if a rank does not arm in time.
ARM_TIMEOUT_S: Final = 3.0
# Steps from the newest known one to the one of the switch: arming and deciding take about 1 s, at the
# targeted 76 ms per step, with as much again in reserve.
ARM_AHEAD_STEPS: Final = 26
# Fetches per second from the weight store by a group; each is the weights of one expert in one layer.
FETCHES_PER_S: Final = 100.0
