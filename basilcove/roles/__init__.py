"""States and drivers of each role; one module per role, loaded only where the role runs."""
