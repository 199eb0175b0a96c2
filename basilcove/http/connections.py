"""Connections of the HTTP servers, with a bound on the time in which a request must arrive."""

import _pyio  # type: ignore[import-not-found]
import socket
import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Final

from cheroot import wsgi
from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest

from basilcove.http.const import LISTEN_BACKLOG, MAX_HEADER_BYTES, RECEIVE_TIMEOUT_S, SOCKET_TIMEOUT_S
from basilcove.http.replies import Start

Application = Callable[[dict[str, Any], Start], Iterable[bytes]]

# Cheroot answers 408 to a timeout with this text.
_TIMED_OUT: Final = 'timed out'


class _BoundedSocketIO(socket.SocketIO):
    """Reads from a socket until a deadline, in seconds on the monotonic clock."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, 'r')
        self._bounded = sock
        self.deadline = 0.0

    def readinto(self, buffer: Any) -> int | None:
        left_s = self.deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError(_TIMED_OUT)
        silence_s = self._bounded.gettimeout()
        if silence_s is not None and silence_s <= left_s:
            return super().readinto(buffer)
        self._bounded.settimeout(left_s)
        try:
            return super().readinto(buffer)
        finally:
            self._bounded.settimeout(silence_s)


class _BoundedReader(StreamReader):
    """Cheroot's buffered reader over a bounded socket."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        _pyio.BufferedReader.__init__(self, _BoundedSocketIO(sock), size)
        self.bytes_read = 0


class _Request(HTTPRequest):
    """A request after which the connection is closed if the end of its body is uncertain."""

    def read_request_headers(self) -> bool:
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        length = self.inheaders.get(b'Content-Length')
        if length is not None and not length.isdigit():
            # Cheroot takes whatever ``int`` takes, and reads without a bound if the length is negative.
            self.simple_response('400 Bad Request', 'Malformed Content-Length Header.')
            return False
        if length is not None and self.chunked_read:
            self.close_connection = True
        return True

    def send_headers(self) -> None:
        # What follows would otherwise be taken for the next request of the connection.
        if self.chunked_read and (not self.rfile.closed or int(self.status[:3]) >= HTTPStatus.BAD_REQUEST):
            self.close_connection = True
        super().send_headers()


class _Connection(HTTPConnection):
    """A connection on which each request must arrive within ``server.receive_timeout_s``."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, _make_file)

    def communicate(self) -> bool:
        self.rfile.raw.deadline = time.monotonic() + self.server.receive_timeout_s
        return bool(super().communicate())  # type: ignore[no-untyped-call]


class Server(wsgi.Server):
    """Cheroot's server with bounds on what senders may do."""

    ConnectionClass = _Connection
    receive_timeout_s: float = RECEIVE_TIMEOUT_S


def start_server(
    listen: str,
    app: Application,
    threads: int,
    max_body_bytes: int,
    timeout_s: float = SOCKET_TIMEOUT_S,
    receive_timeout_s: float = RECEIVE_TIMEOUT_S,
) -> Server:
    """Bind and serve on threads of its own; OSError if the address is taken.

    A sender that is silent for ``timeout_s``, or takes longer than ``receive_timeout_s`` for a whole request,
    gets 408.
    """
    host, _, port = listen.rpartition(':')
    server = Server((host, int(port)), app, numthreads=threads, max=threads)
    server.timeout = timeout_s
    server.receive_timeout_s = receive_timeout_s
    server.request_queue_size = LISTEN_BACKLOG
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = max_body_bytes
    server.prepare()
    threading.Thread(target=server.serve, name=f'http {listen}', daemon=True).start()
    return server


def _make_file(sock: socket.socket, mode: str, size: int) -> Any:
    return _BoundedReader(sock, size) if 'r' in mode else StreamWriter(sock, mode, size)
