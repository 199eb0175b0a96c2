"""Distribution of accepted documents between peers."""
