"""Finds the part of a prompt that crashes upstreams, and keeps requests with it away from them."""
