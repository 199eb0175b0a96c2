"""Constants of the distribution of documents."""

from typing import Final

from basilcove.core.ids import Revision

# Revisions of accepted documents start at 1.
NO_REVISION: Final = Revision(0)

# Offers are sent to a peer at the first interval unless it is known to have the same revision, otherwise at
# the second: a change must survive several lost messages within 4 s, while a node with 100 links must stay
# far below 15 KB/s when nothing changes.
EAGER_OFFER_INTERVAL_S: Final = 0.3
IDLE_OFFER_INTERVAL_S: Final = 5.0
# An offer interval is prolonged by up to this share, fixed for each pair of nodes.
MAX_OFFER_JITTER: Final = 0.2

# How long a request for a document may remain unanswered before it is sent to another peer.
WANT_TIMEOUT_S: Final = 0.4

# A node that has no control majority for this long since its start considers itself cut off.
CUT_OFF_AFTER_S: Final = 2.0
# A node that reaches a majority of the control group, but has no revision confirmed by a leader, waits this
# long from its start: a group that lost its leader elects another within 2 s, or after a few split votes.
LEADERLESS_AFTER_S: Final = 8.0
# How long a cut-off node then waits for the highest offer of its availability zone.
HIGHEST_OFFER_WAIT_S: Final = 1.0

# Limits of the history from which deltas are sent. At 300 bytes a change, this covers about 5 hours of 3,600
# changes a day; a peer that lags further gets a whole copy.
MAX_HISTORY_STEPS: Final = 800
MAX_HISTORY_BYTES: Final = 256 * 1024

CHUNK_BYTES: Final = 256 * 1024
MAX_CHUNKS: Final = 64
MAX_KEYS_PER_PEER: Final = 64

# Below this size a delta is sent without comparing it with the compressed copy.
SMALL_DELTA_BYTES: Final = 2048

MAX_REMEMBERED_DIGESTS: Final = 64
