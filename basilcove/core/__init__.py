"""Core types: ids, events, the reducer and its runtime."""
