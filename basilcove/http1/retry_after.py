"""Reads the Retry-After header."""

import math
import time
from email.utils import parsedate_to_datetime
from http import HTTPStatus

from loguru import logger

from basilcove.http1.headers import Headers, find_header

# Characters of an unreadable header that are logged.
_MAX_LOGGED = 64


def read_retry_after_s(status: int, headers: Headers) -> float:
    """Return the seconds for which a 503 asks to be left alone; 0 if the answer asks for nothing."""
    text = find_header(headers, b'retry-after') if status == HTTPStatus.SERVICE_UNAVAILABLE else ''
    return parse_retry_after_s(text, time.time()) if text else 0


def parse_retry_after_s(text: str, wall_time: float) -> float:
    """Return the seconds that a Retry-After header states, as a number or as a date (RFC 9110, 10.2.3).

    ``wall_time`` is in seconds since the epoch. A text that states neither is logged and counts as 0.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_until(text, wall_time)
    if not math.isfinite(seconds):
        logger.bind(retry_after=text[:_MAX_LOGGED]).warning(
            'Retry-After of an upstream is neither a number nor a date'
        )
        return 0
    return max(0.0, seconds)


def _seconds_until(date: str, wall_time: float) -> float:
    try:
        return parsedate_to_datetime(date).timestamp() - wall_time
    except (ValueError, TypeError, OverflowError):
        return math.nan
