"""States and drivers of each role; one module each, loaded where the role runs."""
