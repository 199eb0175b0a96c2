"""Upstreams that register themselves with the control hosts and have no agent."""
