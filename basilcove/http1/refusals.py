"""Counts and logs what a listener refuses, with a bounded rate of log lines."""

import enum
import threading
import time
from collections.abc import Callable

from loguru import logger

from basilcove.helpers.metrics import Metrics
from basilcove.http1.const import REFUSAL_LOG_INTERVAL_S


class RefusalKind(enum.Enum):
    """Why a request or a connection isn't served, at a listener of either HTTP package."""

    MALFORMED = 'malformed'
    LEADING_BYTES = 'leading_bytes'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    LATE = 'late'
    # The account is exceeded, and this request is the largest unfinished one or isn't begun yet.
    MEMORY = 'memory'
    # The account is exceeded, and the caller doesn't read its answer.
    UNREAD = 'unread'
    # The caller has read nothing of its answer, or not enough of it, within the timeout.
    STALLED = 'stalled'
    # As many connections are open as may be.
    CONNECTIONS = 'connections'
    # The process has no descriptor left.
    DESCRIPTORS = 'descriptors'


class Refusals:
    """Refusals of a listener; each kind is logged once per ``REFUSAL_LOG_INTERVAL_S`` at most.

    ``add`` may be called from any thread.
    """

    def __init__(self, listener: str, metrics: Metrics, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without refusals; ``listener`` names the listener in log lines and in the metric."""
        self._listener = listener
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._logged_at: dict[RefusalKind, float] = {}
        self._unlogged: dict[RefusalKind, int] = {}

    def add(self, kind: RefusalKind, reason: str) -> bool:
        """Count a refusal; log it unless one of its kind was logged just before. Return whether it was."""
        self._metrics.count('refused_requests', (('listener', self._listener), ('kind', kind.value)), 1)
        now = self._clock()
        with self._lock:
            if now - self._logged_at.get(kind, -REFUSAL_LOG_INTERVAL_S) < REFUSAL_LOG_INTERVAL_S:
                self._unlogged[kind] = self._unlogged.get(kind, 0) + 1
                return False
            self._logged_at[kind] = now
            more = self._unlogged.pop(kind, 0)
        fields = {'listener': self._listener, 'kind': kind.value, 'not_logged': more}
        logger.bind(**fields).warning('request not accepted: {}', reason)
        return True
