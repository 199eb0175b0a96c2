"""Feeds the planner with the counts of the ranks: reports, their sum and plans under the lease."""
