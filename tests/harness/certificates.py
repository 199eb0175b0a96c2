"""Certificates from a certificate authority that exists for one test."""

from dataclasses import dataclass, field
from pathlib import Path

import trustme


@dataclass
class Certificates:
    """Issues certificates and writes them to files in one folder."""

    folder: Path
    authority: trustme.CA = field(default_factory=trustme.CA)

    def __post_init__(self) -> None:
        """Write the authority's own certificate."""
        self.authority.cert_pem.write_to_path(str(self.folder / 'authority.pem'))

    def issue(self, common_name: str) -> dict[str, str]:
        """Issue a certificate for ``roles:node``; return its paths under the names of the settings."""
        server_name = common_name.replace(':', '.').replace('+', '-')
        cert = self.authority.issue_cert(server_name, '127.0.0.1', common_name=common_name)
        stem = self.folder / common_name.replace(':', '-')
        cert.private_key_pem.write_to_path(str(stem.with_suffix('.key')))
        cert.cert_chain_pems[0].write_to_path(str(stem.with_suffix('.pem')))
        return {
            'certificate': str(stem.with_suffix('.pem')),
            'key': str(stem.with_suffix('.key')),
            'authority': str(self.folder / 'authority.pem'),
        }
