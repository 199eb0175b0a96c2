"""Addresses of peers as they stand in settings."""

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
        """DNS name that the server's certificate must carry: ``roles.node``."""
        return (self.common_name or '').replace('+', '-').replace(':', '.')
