"""Activation of expert maps: all ranks of a group switch at the same step, or none does."""
