"""The queue in front of an upstream."""
