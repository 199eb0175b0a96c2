"""Handlers that join subsystems which don't know each other."""
