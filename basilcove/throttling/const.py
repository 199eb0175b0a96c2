"""Constants of the throttling of upstreams with a limit."""

from typing import Final

# A stated limit is dropped if no gateway has repeated it for this long.
LIMIT_LIFETIME_S: Final = 10.0
# A gateway repeats the limit in the answers that it reads at this interval.
REPEAT_INTERVAL_S: Final = 2.0
# Gateways that send to an upstream with a limit, besides one for each request a second. A few bear the stop
# of one of them; with more, the requests that they send at the same moment would exceed a small limit.
BASE_SENDERS: Final = 2
MAX_SENDERS: Final = 64
# Upstreams with a limit that a process remembers.
MAX_LIMITS: Final = 8192
# A lease of a share ends this long after its gateway asked for it, by the clock of the gateway.
LEASE_S: Final = 3.0
# A control host counts a lease for this long after the request arrived. Clocks of hosts differ in speed by
# less than a thousandth.
COUNTED_LEASE_S: Final = 3.1
# A gateway that knows cold upstreams asks for leases at this interval; a lease outlasts a lost answer.
ASK_INTERVAL_S: Final = 1.0
# Control hosts that grant leases for one upstream; each grants an equal part of its limit. Each host needs a
# sender of its own, and with more senders a small limit would be exceeded by requests at the same moment.
MAX_GRANTERS: Final = 4
# A granting host adds a second sender at a limit of so many requests a second, a third one at twice that.
LIMIT_PER_SENDER: Final = 32
# Upstreams that a gateway hears of within this time of its first registrations are warm if they say so: the
# whole system is starting.
START_WINDOW_S: Final = 5.0
# Limits that a gateway states in one request, so that a restored zone doesn't keep control hosts busy.
MAX_STATED_LIMITS: Final = 64
# Hashes have 64 bits.
HASH_MASK: Final = 2**64 - 1
