"""Constants of the replicated log."""

from typing import Final

# Every 4th tick, so that one lost heartbeat doesn't reach the election timeout. Heartbeats are the whole
# cost of an idle group, and half the interval would double it without electing a new leader sooner.
HEARTBEAT_INTERVAL_S: Final = 0.35
# A follower campaigns 1 to 2 times this long after the last message from the leader. A leader that gets no
# message from a majority for this long steps down, before a majority can have elected another.
ELECTION_TIMEOUT_S: Final = 1.0
# Applies until the first message from a leader: if all hosts restart together there is none, and nothing is
# served before the election. Links are up after about 0.2 s, and an existing leader would have sent a
# heartbeat by then.
FIRST_ELECTION_TIMEOUT_S: Final = 0.4
# Without a message from the leader for this long a replica confirms nothing, since it may have been removed
# without being notified. Longer than the election timeout, so that losing a few heartbeats doesn't matter.
LEADER_CONTACT_TIMEOUT_S: Final = 1.5
# A longer gap between two ticks is a pause of this process.
MIN_PAUSE_S: Final = 0.3
RESEND_INTERVAL_S: Final = 0.4
FORMING_INTERVAL_S: Final = 0.25
JOIN_INTERVAL_S: Final = 0.5
JOIN_AFTER_S: Final = 3.0
# Long enough that a host which restarts or is cut off for a few seconds remains a member.
LOST_AFTER_S: Final = 8.0
# The same for a voter that would let the next losses stop a group which can do without it.
SILENT_AFTER_S: Final = ELECTION_TIMEOUT_S

MEMBER_COUNTS: Final = frozenset((0, 1, 3, 5, 7))
MAX_MEMBERS: Final = 9
MAX_VOTERS: Final = 7
MIN_TOLERANT_VOTERS: Final = 3
# Hosts that may be lost at once with their disks, in a group that is large enough for it.
FAULT_TOLERANCE: Final = 2

MAX_APPEND_BYTES: Final = 256 * 1024
MAX_INFLIGHT_APPENDS: Final = 8
# Proposals beyond this many uncommitted entries are refused, so that a leader which lost contact with its
# followers does not fill its memory before it steps down.
MAX_UNCOMMITTED_ENTRIES: Final = 8192
SNAPSHOT_CHUNK_BYTES: Final = 256 * 1024

# A snapshot is taken once the log holds this many entries and at least as many bytes as the last
# snapshot, so that writing snapshots at most doubles the bytes written.
SNAPSHOT_AFTER_ENTRIES: Final = 4096
# Entries before a snapshot that stay in memory for followers that lag slightly.
KEPT_ENTRIES: Final = 512
ENTRY_OVERHEAD_BYTES: Final = 32
