"""Tokens that requests hold in the memory of upstreams, and whether another request fits."""
