"""Addresses of peers in the settings."""

from dataclasses import dataclass
from typing import Self


@dataclass(frozen=True, slots=True)
class Seed:
    """An address to dial and, for TLS, the ``roles:node`` expected there."""

    address: str
    common_name: str | None

    @classmethod
    def from_config(cls, text: str) -> Self:
        """Parse ``host:port`` or ``roles:node@host:port``."""
        name, _, address = text.rpartition('@')
        return cls(address, name or None)

    @property
    def server_name(self) -> str:
        """Return the DNS name that the server's certificate must contain: ``roles.node``."""
        return (self.common_name or '').replace('+', '-').replace(':', '.')
