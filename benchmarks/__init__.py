"""Benchmarks of the decisions, with bounds taken from the stated targets."""
