"""Constants of the gateway."""

from typing import Final

# Connecting within a region takes a few milliseconds; a lost SYN is retransmitted only after 1 s.
CONNECT_TIMEOUT_S: Final = 0.4
# A connection whose sent data is not acknowledged for this long is taken to be broken.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
# Keep-alive time of connections to an upstream that doesn't state one.
DEFAULT_KEEP_ALIVE_S: Final = 2.0
# Subtracted from a stated keep-alive time: an upstream rounds its timeout to whole seconds, and a request
# takes time to arrive.
KEEP_ALIVE_MARGIN_S: Final = 1.0
# Idle connections that are kept open to each upstream.
MAX_IDLE_CONNECTIONS: Final = 16

# An answer that is not a stream is buffered up to this size, so that the request can be retried if it breaks.
MAX_BUFFERED_BYTES: Final = 1024 * 1024
# Limit on what all answers together hold; above it, what can be forwarded is forwarded incomplete. It is half
# of the default of the account that requests are charged to as well, so that answers leave room for them.
MAX_HELD_BYTES: Final = 16 * 1024 * 1024

# Half-life of the failure share of an upstream, and the weight of the latest result in it.
FAILURE_HALF_LIFE_S: Final = 3.0
FAILURE_WEIGHT: Final = 0.3
# Added to the cost of an upstream whose requests all fail, in multiples of its slots.
FAILURE_COST: Final = 3.0
# Added to the cost of an upstream in another availability zone, as a fraction of its slots.
REMOTE_ZONE_COST: Final = 0.25
# Added to the cost of an upstream for which its group waits, in multiples of its slots, so that it gets work
# only where all others are excluded: each request there makes every step of the group longer.
SLOW_COST: Final = 3.0
# An upstream counts as slow for this long after the last message that lists it: several times the interval at
# which ranks are polled.
SLOW_LIFETIME_S: Final = 5.0
# Load that an upstream reported decays linearly to zero over this time.
LOAD_LIFETIME_S: Final = 2.0

# An upstream that said it leaves is believed for this long after it last said so, in case it stays.
LEAVING_LIFETIME_S: Final = 300.0
# Longest Retry-After of an upstream that is believed. After it, one request at a time finds out whether it is
# well again.
MAX_HOLD_S: Final = 60.0
# Retry-After of an upstream is lengthened by up to this fraction, so that gateways don't return together.
HOLD_SPREAD: Final = 0.1
# Longest Retry-After that callers are told while all upstreams hold requests off.
MAX_HELD_RETRY_AFTER_S: Final = 10.0

# An upstream is chosen from a sample, so large that each one is in the samples of this many gateways: so many
# requests may reach it before the counts of open attempts show them. Few gateways consider all upstreams.
GATEWAYS_PER_UPSTREAM: Final = 7
# A request is refused if none of so many upstreams has room for it. Others may have room, but the room that
# gateways see is taken by the requests that others have just sent.
ADMISSION_SAMPLE: Final = 4

# Shared parts of a prompt that a gateway reads, and the characters of the id of a part.
MAX_PROMPT_PARTS: Final = 64
MAX_PART_ID_LENGTH: Final = 64

# Answers that go on are reported at this time after their first event, and then at times that double.
FIRST_REPORTED_REACH_S: Final = 0.5
# Parts of prompts of which a gateway remembers the last answer.
MAX_SOUND_PARTS: Final = 8192
# Limit on the check whether an upstream has ended: one that has refuses the connection at once.
CHECK_TIMEOUT_S: Final = 0.1

# No attempt is started with less time left than this, since no answer can arrive within it.
MIN_ATTEMPT_S: Final = 0.03
# After an unsent attempt, a request with this many attempts gets no further one. Unsent attempts don't count
# towards the limit of its route.
MAX_UNSENT_ATTEMPTS: Final = 4
# Number of gateways that share the retry budget, until a control host has reported it.
ASSUMED_GATEWAYS: Final = 16
# Fraction of the shared budget that is spent; the rest covers differences between the counts of gateways.
BUDGET_SHARE: Final = 0.8
# Fraction of the base of the budget that is spent; the base is meant for windows with few requests.
BUDGET_BASE_SHARE: Final = 0.5

DEFAULT_RETRY_AFTER_S: Final = 0.5
# An evacuation ends by an operator's decision, which no caller's retry can hasten.
EVACUATED_RETRY_AFTER_S: Final = 2.0
# A gateway that has just started receives its document after about a second.
STARTING_RETRY_AFTER_S: Final = 1.0
# A gateway that stops sends callers to another one, which can still answer within their objective.
STOPPING_RETRY_AFTER_S: Final = 0.05
# Retry-After is lengthened by up to this fraction, so that callers don't return at the same time.
RETRY_AFTER_SPREAD: Final = 0.5

# Time between a stop request and the refusal of new requests. A load balancer that probes each second stops
# sending new connections after two failed probes.
STOP_NOTICE_S: Final = 2.8
# Time before the end of a stop at which open requests get their final answer.
STOP_MARGIN_S: Final = 0.25
# The slowest answer of a route is remembered for this long.
ANSWER_TIME_LIFETIME_S: Final = 60.0

# Requests that urgent work may add beyond an upstream's slots; each waits for a slot. Where many gateways
# decide on the same counts, more streams wait than these show.
QUEUE_ALLOWANCE: Final = 1.0
STREAM_QUEUE_ALLOWANCE: Final = 0.0
# Fraction of an upstream's slots that each less urgent level leaves free.
RESERVED_SHARE: Final = 0.17
# Share of the requests of each level that is admitted even when urgent work takes all slots.
LEVEL_FLOOR: Final = 0.3
# Counts of admitted and refused requests decay linearly to zero over this time without a request.
ADMISSION_WINDOW_S: Final = 4.0
