"""Errors of the links between nodes."""

from basilcove.exceptions import BasilcoveError


class LinkError(BasilcoveError):
    """A link can't be used any longer."""


class PeerRefusedError(LinkError):
    """The peer's envelopes don't match its certificate or the protocol."""
