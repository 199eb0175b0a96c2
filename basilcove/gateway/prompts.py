"""Reads which parts of its prompt a request shares with others."""

from basilcove.core.ids import PartId
from basilcove.gateway.const import MAX_PART_ID_LENGTH, MAX_PROMPT_PARTS


def parse_shared_parts(text: str) -> tuple[PartId, ...]:
    """Return the parts of a prompt that other requests may share, in order and each once.

    ``text`` lists the parts as comma-separated ``ID:TOKENS`` entries. The last part belongs to the request or
    its session and is left out, as are ids that are empty or longer than ``MAX_PART_ID_LENGTH``.
    """
    *shared, _ = text.split(',')
    names = (entry.partition(':')[0].strip().lower() for entry in shared[:MAX_PROMPT_PARTS])
    return tuple(dict.fromkeys(PartId(name) for name in names if 0 < len(name) <= MAX_PART_ID_LENGTH))
