"""Lookup of a caller's key, and comparison of credentials."""

import hashlib
import hmac

from basilcove.core.ids import TeamName
from basilcove.environment.const import DIGEST_PREFIX
from basilcove.environment.models import Environment


def digest_of_secret(secret: str) -> str:
    """Return the digest of a key or credential, in the form of the document."""
    return DIGEST_PREFIX + hashlib.sha256(secret.encode(errors='replace')).hexdigest()


def find_team(environment: Environment, key: str) -> TeamName | None:
    """Return the team that a caller's key belongs to.

    The lookup compares digests only, so its duration reveals nothing about a key.
    """
    return environment.team_by_digest.get(digest_of_secret(key))


def matches_digest(secret: str, digest: str) -> bool:
    """Tell whether the digest is that of the secret, in constant time."""
    return hmac.compare_digest(digest_of_secret(secret), digest)
