"""Randomized soak of real processes under faults that come from outside them."""
