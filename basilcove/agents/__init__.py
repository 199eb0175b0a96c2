"""Attempts at an agent, in front of its upstream."""
