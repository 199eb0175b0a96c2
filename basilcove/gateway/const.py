"""Constants of the gateway."""

from typing import Final

# A link inside a region takes a few milliseconds; a lost opening packet is sent again only after 1 s.
CONNECT_TIMEOUT_S: Final = 0.4
# Sent data that is not acknowledged for this long means a connection that fell silent.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
# Kept connections to an upstream that doesn't say how long it keeps them.
DEFAULT_KEPT_S: Final = 2.0
# An upstream rounds its timeout to whole seconds, and a request takes time to arrive.
KEPT_MARGIN_S: Final = 1.0
MAX_KEPT_PER_UPSTREAM: Final = 16

# An answer that is not a stream is held whole up to this size, so that a broken one can be repeated.
MAX_HELD_BYTES: Final = 1024 * 1024
# Part of an event that has not ended; engines send events of some hundred bytes.
MAX_EVENT_BYTES: Final = 1024 * 1024
# Bytes of requests held for all callers together.
MAX_REQUEST_BYTES_HELD: Final = 64 * 1024 * 1024

# A failure weighs less the longer ago it was.
FAILURE_HALF_LIFE_S: Final = 3.0
FAILURE_WEIGHT: Final = 0.3
# An upstream whose requests all fail is chosen as if this many times its slots were taken.
FAILURE_COST: Final = 3.0
# An upstream in another availability zone is chosen as if this part of its slots were taken.
REMOTE_ZONE_COST: Final = 0.25
# An upstream for which its group waits is chosen as if this many times its slots were taken, so that it gets
# work only where all others are excluded: each request there makes every step of the group longer.
SLOW_COST: Final = 3.0
# How long that holds without another word, some times the interval at which ranks are asked.
SLOW_LIFETIME_S: Final = 5.0
# Load that an upstream reported is given up linearly over this time.
LOAD_LIFETIME_S: Final = 2.0

# Less time than this can't bring an answer.
MIN_ATTEMPT_S: Final = 0.03
# Attempts that were never sent don't count against a request's bound, but must end.
MAX_UNSENT_TRIES: Final = 4
# Gateways that share a budget before a control host has told their number.
ASSUMED_GATEWAYS: Final = 16
# Part of the shared budget that is spent; the rest covers differences between what gateways count.
BUDGET_SHARE: Final = 0.8
# The base of the budget is kept for windows with few requests and spent at half.
BUDGET_BASE_SHARE: Final = 0.5

DEFAULT_RETRY_AFTER_S: Final = 0.5
# A gateway that has just started knows its document after about a second.
STARTING_RETRY_AFTER_S: Final = 1.0
# A gateway that stops sends callers to another one, which can still answer within their objective.
STOPPING_RETRY_AFTER_S: Final = 0.05
# Callers return spread over this part of the time that they are told.
RETRY_AFTER_SPREAD: Final = 0.5

# A balancer that asks each second stops sending new connections after two misses.
STOP_NOTICE_S: Final = 2.8

# Requests beyond an upstream's places that urgent work may add; each waits for a place.
QUEUE_ALLOWANCE: Final = 1.0
# Part of an upstream's places that each less urgent level leaves free.
RESERVED_SHARE: Final = 0.17
# Share of its requests that each level keeps when urgent work takes all places.
LEVEL_FLOOR: Final = 0.3
ADMISSION_WINDOW_S: Final = 4.0
