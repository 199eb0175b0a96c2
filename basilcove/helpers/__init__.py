"""Helpers that several subsystems share."""
