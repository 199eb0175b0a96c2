"""The environment document: typed form, faults, digest and deltas."""

from basilcove.environment import loading

load = loading.load
