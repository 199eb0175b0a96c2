"""Documents for test clusters."""

import hashlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import yaml

from tests.harness.cluster import UpstreamSpec

KIOSK_KEY = 'demo-kiosk-key'
WORKSHOP_KEY = 'demo-workshop-key'


def digest(secret: str) -> str:
    """Return the digest of a key or credential, as documents contain it."""
    return f'sha256:{hashlib.sha256(secret.encode()).hexdigest()}'


def document(upstreams: Iterable[UpstreamSpec], **changes: Any) -> dict[str, Any]:
    """Return a document that lists these stand-ins."""
    specs = tuple(upstreams)
    engines = [spec.name for spec in specs if spec.models]
    return {
        'name': 'demo',
        'priorities': {
            'urgent': {'level': 1, 'target_first_token_s': 0.45, 'weight': 8},
            'booking': {'level': 2, 'target_first_token_s': 2, 'weight': 3, 'floor': 0.1},
            'drafting': {'level': 3, 'target_first_token_s': 30, 'floor': 0.05},
        },
        'teams': {
            'kiosk': {'key_digests': [digest(KIOSK_KEY)], 'priorities': ['urgent', 'booking']},
            'workshop': {'key_digests': [digest(WORKSHOP_KEY)], 'priorities': ['booking', 'drafting']},
        },
        'groups': {'riders': {'ranks': len(engines), 'experts': 8, 'layers': 2, 'upstreams': engines}},
        'models': {'rider-assistant': {'group': 'riders'}},
        'services': {
            'hire': {
                'calls': [
                    {'method': 'GET', 'path': '/stock', 'repeatable': True},
                    {'method': 'POST', 'path': '/bookings'},
                ],
            },
        },
        'upstreams': {spec.name: _upstream(spec) for spec in specs},
        'evidence': {'min_time_s': 1, 'min_requests': 3, 'max_failure_fraction': 0.5},
        **changes,
    }


def write(folder: Path, content: dict[str, Any], name: str = 'document.yaml') -> Path:
    """Write a document to a file and return its path."""
    path = folder / name
    path.write_text(yaml.safe_dump(content))
    return path


def _upstream(spec: UpstreamSpec) -> dict[str, Any]:
    return {
        'kind': 'engine' if spec.models else 'service',
        'zone': spec.zone,
        'credential_digest': digest(f'demo-{spec.name}-credential'),
        'models': [name for name in spec.models.split(',') if name],
        'services': [name for name in spec.services.split(',') if name],
        'slots': 8,
    }
