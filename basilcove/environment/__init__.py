"""The environment document: its typed form, faults, digest and deltas."""

from basilcove.environment import loading

load = loading.load
