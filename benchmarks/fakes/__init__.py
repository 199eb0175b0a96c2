"""Stand-ins and baselines for the benchmarks of admission and routing."""
