"""Starts daemons and stand-ins as child processes for tests and demonstrations."""
