"""The spread of accepted documents between peers."""
