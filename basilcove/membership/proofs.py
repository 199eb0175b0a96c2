"""Proof that an announcement comes from an agent that knows the credential's digest.

The upstream presents its credential only to the agent on its own host, which
compares it with the digest in the document. An entry has only that digest,
so it could check the credential itself only by receiving it, after which the
entry, or anyone who reads an unencrypted link, could announce the upstream
from anywhere. The agent therefore sends an HMAC-SHA256 that is keyed by the
digest and covers the name, the agent's node and incarnation, the incarnation of
the receiver, an increasing number and the content: a recorded announcement is
not accepted under another name, from another node, for another incarnation, by
a later process of the receiver or a second time.

Nodes and operators can read the digest, so the proof alone doesn't prevent one
agent from impersonating another. Two further checks do: the link's certificate
names the agent's node, and an upstream for which the document states
``agent`` is accepted only from that node.
"""

import hashlib
import hmac
from typing import Final

from basilcove.core.ids import NodeId
from basilcove.membership.messages import NO_INCARNATION, Announce

_SEPARATOR: Final = '\x1f'


def make_proof(announce: Announce, agent: NodeId, credential_digest: str) -> bytes:
    """Return the proof for an announcement."""
    parts: tuple[object, ...] = (
        announce.upstream,
        agent,
        announce.incarnation,
        announce.upstream_incarnation,
        announce.number,
        ','.join(announce.models),
        ','.join(announce.services),
        announce.slots,
        announce.leaving,
    )
    if announce.receiver_incarnation != NO_INCARNATION:
        parts = (*parts, announce.receiver_incarnation)
    text = _SEPARATOR.join(map(str, parts))
    return hmac.digest(credential_digest.encode(), text.encode(errors='replace'), hashlib.sha256)


def has_valid_proof(announce: Announce, agent: NodeId, credential_digest: str) -> bool:
    """Tell whether the announcement carries the right proof."""
    return hmac.compare_digest(announce.proof, make_proof(announce, agent, credential_digest))
