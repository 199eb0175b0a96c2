"""The operators' tool and the messages by which it asks nodes."""
