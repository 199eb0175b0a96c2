"""Constants of the membership of upstreams."""

from typing import Final

ANNOUNCE_INTERVAL_S: Final = 0.5

# Two lost announcements in a row are still no loss of the upstream.
AGENT_TIMEOUT_S: Final = 2.0
UPSTREAM_TIMEOUT_S: Final = 3.0

SWEEP_INTERVAL_S: Final = 0.25

DRAIN_RESEND_S: Final = 0.5
DRAIN_DEADLINE_S: Final = 10.0
# Entry, control host, entry of the upstream's availability zone, agent.
DRAIN_HOPS: Final = 3
MAX_DRAIN_ROUTES: Final = 256

# Agents remembered for each upstream, so that a former incarnation stays refused.
MAX_AGENTS_PER_UPSTREAM: Final = 64
