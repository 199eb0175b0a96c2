"""Certificates of an authority that lasts for one test."""

from dataclasses import dataclass, field
from pathlib import Path

import trustme


@dataclass
class Certificates:
    """Issues certificates into files of one folder."""

    folder: Path
    authority: trustme.CA = field(default_factory=trustme.CA)

    def __post_init__(self) -> None:
        """Write the authority's own certificate."""
        self.authority.cert_pem.write_to_path(str(self.folder / 'authority.pem'))

    def issue(self, common_name: str) -> dict[str, str]:
        """Return the paths of a certificate for ``roles:node``, as settings name them."""
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
