"""One account of the memory that requests and answers of a process's listeners take."""

import threading
from collections.abc import Callable

from loguru import logger


class ReceiveShare:
    """What one connection is charged; all methods may be called from any thread, also after ``close``."""

    __slots__ = ('account', 'give_way', 'is_closed', 'is_complete', 'is_evicted', 'size_bytes')

    def __init__(self, account: 'ReceiveAccount', give_way: Callable[[], None]) -> None:
        """Start with nothing charged."""
        self.account = account
        self.give_way = give_way
        self.size_bytes = 0
        self.is_complete = False
        self.is_evicted = False
        self.is_closed = False

    def resize(self, size_bytes: int) -> None:
        """Charge ``size_bytes`` instead of what was charged before.

        If this exceeds the account, shares of unfinished requests are evicted, which may include this one.
        The cost grows with the number of unfinished shares, but only while the account is exceeded.
        An evicted share that is resized to 0 counts as a new one.
        """
        if size_bytes != self.size_bytes:
            self.account.charge(self, size_bytes)

    def add(self, size_bytes: int) -> None:
        """Charge ``size_bytes`` more, or less if negative; for a share that several threads resize."""
        if size_bytes:
            self.account.charge(self, size_bytes, is_added=True)

    def complete(self) -> bool:
        """Exempt the share from eviction; return False if it was evicted before.

        An evicted request must not be run, because it is answered with a refusal.
        """
        return self.account.complete(self)

    def close(self) -> None:
        """Give back what is charged."""
        self.account.close(self)


class ReceiveAccount:
    """Bounds the bytes of all connections; over the limit the largest unfinished request is evicted.

    The load that it handles is many connections that each stay inside the limits of a request and don't
    complete it. ``give_way`` of an evicted share is called without any lock, on the thread that exceeded
    the account. It may find the share closed or no longer evicted by then. All listeners of a process share
    one account.
    """

    def __init__(self, max_bytes: int) -> None:
        """Allow ``max_bytes`` in all."""
        self.max_bytes = max_bytes
        self.evictions = 0
        self._lock = threading.Lock()
        self._used_bytes = 0
        # Bytes of evicted shares, which are given back as soon as their holders have handled the eviction.
        self._evicted_bytes = 0
        self._unfinished: dict[ReceiveShare, None] = {}

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is charged than may be, which eviction could not or did not yet change."""
        return self._used_bytes - self._evicted_bytes > self.max_bytes

    @property
    def used_bytes(self) -> int:
        """Return what is charged to all shares, in bytes."""
        return self._used_bytes

    def open(self, give_way: Callable[[], None]) -> ReceiveShare:
        """Return a share; ``give_way`` refuses or closes its connection and must not block."""
        return ReceiveShare(self, give_way)

    def charge(self, share: ReceiveShare, size_bytes: int, *, is_added: bool = False) -> None:
        """Charge a share; see ``ReceiveShare.resize`` and ``ReceiveShare.add``."""
        with self._lock:
            if share.is_closed:
                return
            self._charge(share, share.size_bytes + size_bytes if is_added else size_bytes)
            victims = self._evict() if self.is_exceeded else []
        for victim in victims:
            _notify(victim)

    def complete(self, share: ReceiveShare) -> bool:
        """Exempt a share from eviction; see ``ReceiveShare.complete``."""
        with self._lock:
            if share.is_evicted or share.is_closed:
                return False
            share.is_complete = True
            self._unfinished.pop(share, None)
            return True

    def close(self, share: ReceiveShare) -> None:
        """Give back what a share is charged."""
        with self._lock:
            if share.is_closed:
                return
            self._charge(share, 0)
            share.is_closed = True

    def _charge(self, share: ReceiveShare, size_bytes: int) -> None:
        added = size_bytes - share.size_bytes
        share.size_bytes = size_bytes
        self._used_bytes += added
        if share.is_evicted:
            self._evicted_bytes += added
            share.is_evicted = size_bytes > 0
        elif share.is_complete:
            return
        elif size_bytes:
            self._unfinished[share] = None
        else:
            self._unfinished.pop(share, None)

    def _evict(self) -> list[ReceiveShare]:
        victims = []
        while self.is_exceeded and self._unfinished:
            victim = max(self._unfinished, key=_size)
            self._unfinished.pop(victim)
            victim.is_evicted = True
            self._evicted_bytes += victim.size_bytes
            victims.append(victim)
        self.evictions += len(victims)
        return victims


def _size(share: ReceiveShare) -> int:
    return share.size_bytes


def _notify(share: ReceiveShare) -> None:
    """Call ``give_way``; a failure must not keep the other evicted shares from being notified."""
    try:
        share.give_way()
    except Exception:
        logger.exception('a connection could not be evicted')
