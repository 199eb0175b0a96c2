"""Polls the connections of a server: accepts, receives and sends without a thread for each."""

import selectors
import socket
import time
from collections.abc import Callable
from typing import Any, Final

from cheroot.connections import ConnectionManager

from basilcove.http.const import (
    ACCEPTS,
    MAX_PIPELINED,
    MIN_WAIT_S,
    RESUME_INTERVAL_S,
    SWEEP_INTERVAL_S,
)
from basilcove.http.pipelining import PipelinedRequests
from basilcove.http.refusals import build_refusal
from basilcove.http.requests import Connection
from basilcove.http1.refusals import RefusalKind

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class Poller(ConnectionManager):
    """Holds the connections that no thread answers; cheroot calls it.

    The load that it handles is more clients than threads, most of which stop short or read nothing. At the
    limit of connections the one that has waited longest gives way to a new one, so that an ordinary request
    is answered while such clients stay connected. A check of all deadlines costs a step for each connection.
    """

    _selector: Any
    _stop_requested: bool
    _from_server_socket: Callable[[socket.socket], Connection | None]
    _remove_invalid_sockets: Callable[[], None]

    def __init__(self, server: Any, max_connections: int) -> None:
        """Poll the listening socket of a server."""
        super().__init__(server)
        server.socket.setblocking(False)
        self._max_connections = max_connections
        self._open: dict[Connection, None] = {}
        self._pipelined = PipelinedRequests(self._answer, MAX_PIPELINED)
        self._is_paused = False
        self._swept_at = time.monotonic()
        self._polled_at = self._swept_at

    def put(self, conn: Connection) -> None:
        """Take back a connection whose request has been answered; called on the thread that answered."""
        self._pipelined.end(conn)
        conn.begin_next()
        self._proceed(conn)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether an answered connection stays open, which it doesn't at the limit."""
        return len(self._open) < self._max_connections

    def has_unsent(self) -> bool:
        """Return whether bytes of answers wait for their clients; on any thread, looks at all connections."""
        return any(conn.wfile.unsent for conn in tuple(self._open))

    def forget(self, conn: Connection) -> None:
        """Count a connection no longer; called once it is closed, on any thread."""
        self._open.pop(conn, None)
        self._pipelined.end(conn)

    def _run(self, expiration_interval: float) -> None:
        while not self._stop_requested:
            self._polled_at = time.monotonic()
            try:
                ready = dict(
                    self._selector.select(RESUME_INTERVAL_S if self._is_paused else SWEEP_INTERVAL_S)
                )
            except OSError:
                self._remove_invalid_sockets()
                continue
            self._serve_ready(ready)
            if self._is_paused:
                self._resume()
            self._sweep()

    def _serve_ready(self, ready: dict[int, Any]) -> None:
        is_accepting = False
        for descriptor, conn in ready.items():
            if conn is self.server:
                is_accepting = True
                continue
            self._selector.unregister(descriptor)
            self._serve(conn)
        # Room for a new connection may cost one of the others, which must not be served after that.
        if is_accepting:
            for _ in range(min(ACCEPTS, self._max_connections // 4)):
                if not self._accept():
                    break

    def _accept(self) -> bool:
        """Accept a connection; False if none waits or there is no room."""
        if len(self._open) >= self._max_connections and not self._make_room(RefusalKind.CONNECTIONS):
            self._pause()
            return False
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError:
            # The process has no descriptor left.
            if not self._make_room(RefusalKind.DESCRIPTORS):
                self._pause()
            return False
        if conn is None:
            return False
        self._open[conn] = None
        self._proceed(conn)
        return True

    def _make_room(self, kind: RefusalKind) -> bool:
        """Close the connection that has waited longest for its client; False if there is none."""
        # What arrived on a connection that is older than the latest poll has been read.
        latest = self._polled_at - MIN_WAIT_S
        waiting = [entry for entry in self._list_waiting() if _begun_at(entry) < latest]
        if not waiting:
            return False
        descriptor, conn = min(waiting, key=_begun_at)
        self._selector.unregister(descriptor)
        self._refuse(conn, kind)
        return True

    def _pause(self) -> None:
        self._selector.unregister(self.server.socket)
        self._is_paused = True

    def _resume(self) -> None:
        self._selector.register(self.server.socket.fileno(), selectors.EVENT_READ, data=self.server)
        self._is_paused = False

    def _serve(self, conn: Connection) -> None:
        try:
            if conn.is_sending:
                self._send(conn)
            else:
                self._receive(conn)
        except BlockingIOError:
            self._proceed(conn)
        except OSError:
            conn.close()

    def _send(self, conn: Connection) -> None:
        conn.wfile.send()
        conn.active_at = time.monotonic()
        conn.charge()
        self._proceed(conn)

    def _receive(self, conn: Connection) -> None:
        data = conn.socket.recv(conn.receiver.read_bytes)
        receiver = conn.receiver
        if not data and not conn.is_evicted and not receiver.has_begun:
            conn.close()
            return
        conn.active_at = time.monotonic()
        if not receiver.has_begun:
            conn.begun_at = conn.active_at
        if data:
            receiver.feed(data)
        elif not conn.is_evicted:
            receiver.feed_end()
        if receiver.expects_continue and not receiver.is_ended:
            receiver.expects_continue = False
            conn.socket.send(_CONTINUE)
        conn.charge()
        self._proceed(conn)

    def _proceed(self, conn: Connection) -> None:
        """Wait for the client of a connection, pass its complete request to a thread, or close it."""
        fault = RefusalKind.MEMORY if conn.is_evicted else conn.receiver.refusal
        if conn.is_sending and not conn.is_evicted:
            self._wait(conn, selectors.EVENT_WRITE)
            return
        if conn.closes_when_sent:
            conn.close()
            return
        if fault is None and not conn.receiver.is_ended:
            self._wait(conn, selectors.EVENT_READ)
            return
        if fault is not None:
            self._refuse(conn, fault)
        elif conn.is_pipelined:
            self._pipelined.add(conn)
        else:
            self._answer(conn)

    def _answer(self, conn: Connection) -> None:
        if conn.share.complete():
            self.server.requests.put(conn)
        else:
            self._refuse(conn, RefusalKind.MEMORY)

    def _wait(self, conn: Connection, events: int) -> None:
        self._selector.register(conn.socket.fileno(), events, data=conn)

    def _sweep(self) -> None:
        now = time.monotonic()
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for descriptor, conn in self._list_waiting():
            if conn.is_evicted or self._is_overdue(conn, now):
                self._selector.unregister(descriptor)
                self._end(conn)

    def _end(self, conn: Connection) -> None:
        if conn.is_evicted:
            self._refuse(conn, RefusalKind.MEMORY)
            return
        if conn.is_sending:
            self._refuse(conn, RefusalKind.STALLED)
            return
        if conn.receiver.has_begun:
            self._refuse(conn, RefusalKind.LATE)
            return
        # An unused connection ends without a refusal.
        conn.close()

    def _is_overdue(self, conn: Connection, now: float) -> bool:
        limits = self.server.limits
        if now - conn.active_at > limits.timeout_s:
            return True
        is_receiving = conn.receiver.has_begun and not conn.is_sending
        return is_receiving and now - conn.begun_at > limits.receive_timeout_s

    def _refuse(self, conn: Connection, kind: RefusalKind) -> None:
        if kind is RefusalKind.MEMORY and conn.is_sending:
            kind = RefusalKind.UNREAD
        conn.count_refusal(kind)
        if conn.is_sending or not conn.receiver.has_begun:
            conn.close()
            return
        conn.refuse(build_refusal(kind))

    def _list_waiting(self) -> list[tuple[int, Connection]]:
        return [entry for entry in self._selector.connections if entry[1] is not self.server]


def _begun_at(waiting: tuple[int, Connection]) -> float:
    return waiting[1].begun_at
