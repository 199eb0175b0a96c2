"""Constants of the membership of upstreams."""

from typing import Final

# Shorter than the heartbeat's interval by a tick, so that the refresh takes the heartbeat's place. A refresh
# that is late by 0.75 s is still no loss of the upstream.
REFRESH_INTERVAL_S: Final = 0.9

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
