"""Handlers that connect subsystems which don't depend on each other."""
