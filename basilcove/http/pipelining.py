"""Bounds the threads that answer pipelined requests."""

import threading
from collections import deque
from collections.abc import Callable

from basilcove.http.requests import Connection


class PipelinedRequests:
    """Runs a few requests at a time that had arrived before the previous one was answered.

    The load that it handles is many connections with thousands of requests each. Without a bound, each of
    them would always occupy a thread, and the poller and the other threads would wait for the interpreter.
    All methods may be called from any thread.
    """

    def __init__(self, run: Callable[[Connection], None], max_running: int) -> None:
        """Pass at most ``max_running`` connections at a time to ``run``."""
        self._run = run
        self._max_running = max_running
        self._lock = threading.Lock()
        self._waiting: deque[Connection] = deque()
        self._running: set[Connection] = set()
        self._is_starting = False

    def add(self, conn: Connection) -> None:
        """Run the request of a connection when its turn comes."""
        with self._lock:
            self._waiting.append(conn)
        self._start()

    def end(self, conn: Connection) -> None:
        """Let the next request run, if that of this connection was one of those."""
        with self._lock:
            if conn not in self._running:
                return
            self._running.remove(conn)
        self._start()

    def _start(self) -> None:
        with self._lock:
            # A connection that ``run`` closes ends its request here again; the loop below looks once more.
            if self._is_starting:
                return
            self._is_starting = True
        conn = self._take()
        while conn is not None:
            self._run(conn)
            conn = self._take()

    def _take(self) -> Connection | None:
        with self._lock:
            if self._waiting and len(self._running) < self._max_running:
                conn = self._waiting.popleft()
                self._running.add(conn)
                return conn
            self._is_starting = False
            return None
