"""Chooses an upstream for each attempt."""
