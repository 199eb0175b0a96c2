"""Soak test: runs real processes under random faults injected from outside."""
