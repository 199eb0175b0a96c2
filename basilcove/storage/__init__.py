"""Durable state of a control host: journal segments and snapshots."""
