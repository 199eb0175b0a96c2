"""The operators' tool and the messages that it exchanges with nodes."""
