"""Refusals of connections: their kinds, answers, metric and log lines."""

import threading
import time
from enum import Enum
from http import HTTPStatus
from typing import Final

from loguru import logger

from basilcove.helpers.metrics import Metrics
from basilcove.http.const import REFUSAL_LOG_INTERVAL_S, RETRY_WHEN_FULL_S


class RefusalKind(Enum):
    """Why a connection was refused or closed."""

    HEAD = 'head'
    EMPTY_LINES = 'empty_lines'
    SLOW = 'slow'
    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    DESCRIPTORS = 'descriptors'
    UNREAD = 'unread'


_RETRIED: Final = frozenset((HTTPStatus.SERVICE_UNAVAILABLE,))


class RefusalCounter:
    """Counts refusals by kind and logs the first of each kind in an interval."""

    def __init__(self, listen: str, metrics: Metrics) -> None:
        """Start without refusals; ``listen`` names the listener in log lines."""
        self._listen = listen
        self._metrics = metrics
        self._lock = threading.Lock()
        self._logged_at: dict[RefusalKind, float] = {}
        self._unlogged: dict[RefusalKind, int] = {}

    def count(self, kind: RefusalKind) -> None:
        """Count one refusal."""
        self._metrics.count('http_connections_refused', (('kind', kind.value),), 1)
        now = time.monotonic()
        with self._lock:
            amount = self._unlogged.get(kind, 0) + 1
            is_due = now - self._logged_at.get(kind, -REFUSAL_LOG_INTERVAL_S) >= REFUSAL_LOG_INTERVAL_S
            self._unlogged[kind] = 0 if is_due else amount
            if is_due:
                self._logged_at[kind] = now
        if is_due:
            logger.bind(kind=kind.value, count=amount, listen=self._listen).warning('connections refused')


def build_refusal(status: HTTPStatus) -> bytes:
    """Return the complete answer of a connection that is closed before its request is run."""
    retry = f'Retry-After: {RETRY_WHEN_FULL_S}\r\n' if status in _RETRIED else ''
    head = f'HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n'
    return f'{head}{retry}Connection: close\r\n\r\n'.encode()
