"""Reads which parts of its prompt a request shares with others, and tells identical requests."""

import hashlib
from typing import Final

from basilcove.core.ids import NO_PART, PartId
from basilcove.gateway.const import MAX_PART_ID_LENGTH, MAX_PROMPT_PARTS

_DIGEST_BYTES: Final = 12


def parse_shared_parts(text: str) -> tuple[PartId, ...]:
    """Return the parts of a prompt that other requests may share, in order and each once.

    ``text`` lists the parts as comma-separated ``ID:TOKENS`` entries. The last part belongs to the request or
    its session and is left out, as are ids that are empty or longer than ``MAX_PART_ID_LENGTH``.
    """
    *shared, _ = text.split(',')
    names = (entry.partition(':')[0].strip().lower() for entry in shared[:MAX_PROMPT_PARTS])
    return tuple(dict.fromkeys(PartId(name) for name in names if 0 < len(name) <= MAX_PART_ID_LENGTH))


def digest_request(prompt: str, target: bytes, body: bytes) -> PartId:
    """Return an id that only requests with the same prompt, target and body have; empty without a prompt."""
    if not prompt:
        return NO_PART
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for content in (prompt.encode(errors='surrogatepass'), target, body):
        digest.update(len(content).to_bytes(8))
        digest.update(content)
    return PartId(f'request-{digest.hexdigest()}')
