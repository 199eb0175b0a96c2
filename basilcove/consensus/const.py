"""Constants of the replicated log."""

from typing import Final

# Every 4th tick, so that one lost heartbeat doesn't reach the election timeout. Heartbeats are the whole
# cost of an idle group, and half the interval would double it without a new leader being found sooner.
HEARTBEAT_INTERVAL_S: Final = 0.35
# A follower campaigns after 1 to 2 times this silence; a leader that hears no majority for this long
# steps down, so it is gone before a majority can have elected another.
ELECTION_TIMEOUT_S: Final = 1.0
# Until a process has heard a leader: where all hosts restart together there is none, and nothing is served
# before the election. Links are up after some 0.2 s, and a leader in office would have sent a heartbeat.
FIRST_ELECTION_TIMEOUT_S: Final = 0.4
# After this silence of the leader a replica vouches for nothing, since it may have been removed unheard. It
# exceeds the election timeout, so that the loss of a few heartbeats doesn't matter.
OUT_OF_TOUCH_AFTER_S: Final = 1.5
RESEND_INTERVAL_S: Final = 0.4
FORMING_INTERVAL_S: Final = 0.25
JOIN_INTERVAL_S: Final = 0.5
JOIN_AFTER_S: Final = 3.0
# A host that is only restarted or cut off for a few seconds keeps its place.
LOST_AFTER_S: Final = 8.0

MEMBER_COUNTS: Final = frozenset((0, 1, 3, 5, 7))
MAX_MEMBERS: Final = 9

MAX_APPEND_BYTES: Final = 256 * 1024
MAX_INFLIGHT_APPENDS: Final = 8
# Proposals beyond this many uncommitted entries are refused, so a leader that lost its followers
# does not fill its memory before it steps down.
MAX_UNCOMMITTED_ENTRIES: Final = 8192
SNAPSHOT_CHUNK_BYTES: Final = 256 * 1024

# A snapshot is taken once the log holds this many entries and at least as many bytes as the last
# snapshot, so that writing snapshots at most doubles the bytes written.
SNAPSHOT_AFTER_ENTRIES: Final = 4096
# Entries kept in memory behind a snapshot for followers that lag a little.
KEPT_ENTRIES: Final = 512
ENTRY_OVERHEAD_BYTES: Final = 32
