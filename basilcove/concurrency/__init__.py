"""Limits the requests in flight of groups whose steps get longer with each stream."""
