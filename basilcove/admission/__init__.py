"""The admission queue of an upstream."""
