"""Base class of the exceptions that basilcove raises."""


class BasilcoveError(Exception):
    """Any failure that basilcove reports by exception."""
