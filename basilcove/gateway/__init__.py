"""Forwards requests to upstreams without an agent, routed by host and longest path prefix."""
