"""Errors of the distribution of documents."""

from basilcove.exceptions import BasilcoveError


class CopyError(BasilcoveError):
    """A whole copy is damaged, or its digest is not the stated one."""
