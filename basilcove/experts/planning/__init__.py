"""Joins the counts of the ranks to the planner: reports, their sum and plans under the lease."""
