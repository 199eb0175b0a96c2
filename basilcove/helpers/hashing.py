"""Stable hashes, for jitter and placement without a random number generator."""

import hashlib
from collections.abc import Iterable
from typing import Final

_DIGEST_BYTES: Final = 8
_HASH_RANGE: Final = 1 << (8 * _DIGEST_BYTES)


def stable_hash(*parts: object) -> int:
    """Hash the parts' texts to an unsigned 64-bit number, equal in every process."""
    text = '\x1f'.join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(errors='surrogatepass'), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def stable_fraction(*parts: object) -> float:
    """Hash the parts' texts to a number in [0, 1)."""
    return stable_hash(*parts) / _HASH_RANGE


def rendezvous(owner: str, names: Iterable[str], count: int) -> frozenset[str]:
    """Return the names that this owner selects by rendezvous hashing: those with the highest hashes.

    Adding or removing a name changes at most one name of a selection.
    """
    ranked = sorted(names, key=lambda name: stable_hash(owner, name), reverse=True)
    return frozenset(ranked[:count])
