"""Constants of the distribution of documents."""

from typing import Final

from basilcove.core.ids import Revision

# Revisions of accepted documents start at 1.
NO_REVISION: Final = Revision(0)

# A peer that is not known to hold the same revision is offered to at the first interval, any other at
# the second: a change must survive several lost messages within 4 s, while a node with 100 links stays
# far below 15 KB/s when nothing changes.
EAGER_OFFER_INTERVAL_S: Final = 0.3
IDLE_OFFER_INTERVAL_S: Final = 5.0
OFFER_JITTER: Final = 0.2

# How long a request for a document may remain unanswered before another peer is asked.
WANT_TIMEOUT_S: Final = 0.4

# Without a control majority for this long since the start, a node takes itself as cut off.
CUT_OFF_AFTER_S: Final = 2.0
# A node that reaches a majority of the control group, but has no revision confirmed by a leader, waits this
# long since the start: a group that lost its leader elects another within 2 s, or after a few split votes.
LEADERLESS_AFTER_S: Final = 8.0
# How long a cut-off node then waits for the highest offer of its availability zone.
HIGHEST_OFFER_WAIT_S: Final = 1.0

# History from which deltas are served. At 300 bytes a change, this covers about 5 hours of 3,600
# changes a day; a peer that lags further takes a whole copy.
MAX_HISTORY_STEPS: Final = 800
MAX_HISTORY_BYTES: Final = 256 * 1024

CHUNK_BYTES: Final = 256 * 1024
MAX_CHUNKS: Final = 64
MAX_KEYS_PER_PEER: Final = 64

# Below this size a delta is sent without comparing it with the compressed copy.
SMALL_DELTA_BYTES: Final = 2048

MAX_REMEMBERED: Final = 64
