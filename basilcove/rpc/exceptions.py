"""Errors of the links between nodes."""

from basilcove.exceptions import BasilcoveError


class LinkError(BasilcoveError):
    """A link is no longer usable, or can't be established."""


class PeerRefusedError(LinkError):
    """The peer's envelopes don't match its certificate or the protocol."""
