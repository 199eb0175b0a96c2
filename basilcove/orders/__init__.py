"""Orders to engines under a fencing token."""
