"""Bytes of answers that a caller has not read."""

import asyncio
import time
from collections.abc import Callable

from basilcove.http1.account import ReceiveAccount, ReceiveShare


class UnsentBytes:
    """Charges the unsent bytes of one connection, and tells how long its caller has read none."""

    __slots__ = ('_account', '_give_way', '_progress_at', '_share', '_size_bytes')

    def __init__(self, account: ReceiveAccount, give_way: Callable[[], None]) -> None:
        """Start with nothing unsent; ``give_way`` ends the connection."""
        self._account = account
        self._give_way = give_way
        self._share: ReceiveShare | None = None
        self._size_bytes = 0
        self._progress_at = 0.0

    def update(self, transport: asyncio.Transport) -> None:
        """Charge what the transport has not sent yet."""
        size_bytes = transport.get_write_buffer_size()
        if size_bytes == self._size_bytes:
            return
        if size_bytes < self._size_bytes or not self._size_bytes:
            self._progress_at = time.monotonic()
        self._size_bytes = size_bytes
        if self._share is None:
            self._share = self._account.open(self._give_way)
        self._share.resize(size_bytes)

    @property
    def is_evicted(self) -> bool:
        """Return whether the account asks for what is charged, and it is still unsent."""
        return self._share is not None and self._share.is_evicted

    def is_stalled(self, now: float, timeout_s: float) -> bool:
        """Return whether the caller has read nothing of what is unsent for ``timeout_s``."""
        return self._size_bytes > 0 and now - self._progress_at > timeout_s

    def close(self) -> None:
        """Give back what is charged."""
        if self._share is not None:
            self._share.close()
