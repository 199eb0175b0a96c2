"""Registry, on control hosts, of upstreams that register themselves and have no agent."""
