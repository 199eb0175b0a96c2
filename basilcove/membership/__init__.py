"""Upstreams that announce themselves, and their admission."""
