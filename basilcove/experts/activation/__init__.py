"""Activation of expert maps: all ranks of a group switch at one step, or none does."""
