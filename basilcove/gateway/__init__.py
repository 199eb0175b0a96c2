"""Passes requests through to upstreams without an agent, by host and longest path prefix."""
