"""Replicated state machine: documents, claims, leases and decisions."""
