"""Constants of the membership of upstreams."""

from typing import Final

# One tick shorter than the heartbeat interval, so that the refresh replaces the heartbeat. An upstream is
# not lost while its refresh is late by no more than 0.75 s.
REFRESH_INTERVAL_S: Final = 0.9

AGENT_TIMEOUT_S: Final = 2.0
UPSTREAM_TIMEOUT_S: Final = 3.0

SWEEP_INTERVAL_S: Final = 0.25

DRAIN_RESEND_S: Final = 0.5
DRAIN_DEADLINE_S: Final = 10.0
# The longest path is: entry, control host, entry of the upstream's availability zone, agent.
DRAIN_HOPS: Final = 3
MAX_DRAIN_ROUTES: Final = 256

# Agents remembered for each upstream, so that announcements of a former incarnation stay refused.
MAX_AGENTS_PER_UPSTREAM: Final = 64
