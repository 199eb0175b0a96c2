"""Constants of the memory of upstreams."""

from typing import Final

# Bytes of a body for each token that a request is assumed to have if it states none.
BYTES_PER_TOKEN: Final = 4
# Most tokens of one request that are counted; sums of them are sent as 64-bit numbers.
MAX_REQUEST_TOKENS: Final = 2_147_483_647

# Fraction of the memory that a request leaves free for those that other gateways send at the same time.
MARGIN_SHARE: Final = 0.05
# A long request also leaves room for another one of its size, unless the upstream holds less than this
# fraction: two requests of more than half of the memory never fit together.
LIGHT_SHARE: Final = 0.1
# A request with more tokens than this fraction of the memory is long. Its upstream is drawn at random from
# those with room: the one with the least load would attract the long requests of all gateways.
LONG_SHARE: Final = 0.1
# Messages a second in which a control host passes on long requests, and how many it may send at once.
# A message has some 60 bytes; beyond the rate, requests are told with the totals only.
MAX_NOTICES_PER_S: Final = 2_000
MAX_NOTICE_BURST: Final = 1_000
# Cost, as a fraction of slots, up to which an upstream is drawn: with a free slot, also in another zone, and
# with few failures.
MAX_DRAWN_COST: Final = 1.25
