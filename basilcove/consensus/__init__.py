"""Replicated log over 3, 5 or 7 control hosts."""
