"""Starts daemons and stand-ins as plain processes for tests and demonstrations."""
