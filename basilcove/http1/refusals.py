"""Counts and logs what a listener refuses, with a bounded rate of log lines."""

import enum
import time
from collections.abc import Callable

from loguru import logger

from basilcove.http1.const import REFUSAL_LOG_INTERVAL_S


class Refusal(enum.Enum):
    """Why a request or a connection isn't served."""

    MALFORMED = 'malformed'
    LEADING_BYTES = 'leading_bytes'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    LATE = 'late'
    # The account is exceeded, and this request is the largest unfinished one or isn't begun yet.
    MEMORY = 'memory'
    # The account is exceeded, and the caller doesn't read its answer.
    UNREAD = 'unread'
    # The caller has read nothing of its answer within the idle timeout.
    STALLED = 'stalled'
    # Accepting is paused, because as many connections are open as may be.
    CONNECTIONS = 'connections'


class Refusals:
    """Refusals of a listener; each kind is logged once per ``REFUSAL_LOG_INTERVAL_S`` at most."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without refusals."""
        self._clock = clock
        self._logged_at: dict[Refusal, float] = {}
        self._unlogged: dict[Refusal, int] = {}
        self.on_refused: Callable[[Refusal], None] = _do_nothing

    def add(self, kind: Refusal, reason: str) -> bool:
        """Count a refusal; log it unless one of its kind was logged just before. Return whether it was."""
        self.on_refused(kind)
        now = self._clock()
        if now - self._logged_at.get(kind, -REFUSAL_LOG_INTERVAL_S) < REFUSAL_LOG_INTERVAL_S:
            self._unlogged[kind] = self._unlogged.get(kind, 0) + 1
            return False
        self._logged_at[kind] = now
        more = self._unlogged.pop(kind, 0)
        logger.bind(kind=kind.value, not_logged=more).warning('request not accepted: {}', reason)
        return True


def _do_nothing(kind: Refusal) -> None:
    """Do nothing; the default of ``on_refused`` until a role counts refusals."""
