"""Reads what an upstream says about itself in the head of an answer."""

import math
from dataclasses import dataclass
from http import HTTPStatus

from basilcove.gateway.config import HeaderNames
from basilcove.http1.answers import AnswerHead
from basilcove.http1.headers import find_header
from basilcove.http1.retry_after import read_retry_after_s

_NO_FLAG = frozenset(('', '0', 'false'))


@dataclass(frozen=True, slots=True)
class Hints:
    """What an upstream asks of this gateway.

    ``is_leaving``: it wants no new requests until it starts again. ``retry_after_s``: it wants no requests
    for this many seconds; 0 if it doesn't say so. ``limit_per_s``: it takes this many requests a second from
    all gateways together; 0 if it doesn't state a limit.
    """

    is_leaving: bool = False
    retry_after_s: float = 0
    limit_per_s: float = 0

    @property
    def holds_requests_off(self) -> bool:
        """Return whether the upstream wants no new requests for now."""
        return self.is_leaving or self.retry_after_s > 0


NO_HINTS = Hints()


def read_hints(head: AnswerHead, names: HeaderNames) -> Hints | None:
    """Return the hints in a head; None for an answer of another instance at the address."""
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return None
    is_leaving = find_header(head.headers, names.leaving.lower().encode()).lower() not in _NO_FLAG
    limit_per_s = parse_limit_per_s(find_header(head.headers, names.limit.lower().encode()))
    return Hints(is_leaving, read_retry_after_s(head.status, head.headers), limit_per_s)


def parse_limit_per_s(text: str) -> float:
    """Return a limit in requests a second; 0 if the text isn't a positive number."""
    try:
        limit_per_s = float(text)
    except ValueError:
        return 0
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s > 0 else 0
