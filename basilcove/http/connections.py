"""Connections of the HTTP servers, with a deadline for the arrival of each request."""

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
from basilcove.http.replies import StartResponse

Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

# Cheroot answers a timeout error with 408 if the error has this text.
_TIMED_OUT: Final = 'timed out'


class _DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket up to a deadline, in seconds of the monotonic clock."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, 'r')
        self._deadline_socket = sock
        self.deadline = 0.0

    def readinto(self, buffer: Any) -> int | None:
        left_s = self.deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError(_TIMED_OUT)
        socket_timeout_s = self._deadline_socket.gettimeout()
        if socket_timeout_s is not None and socket_timeout_s <= left_s:
            return super().readinto(buffer)
        self._deadline_socket.settimeout(left_s)
        try:
            return super().readinto(buffer)
        finally:
            self._deadline_socket.settimeout(socket_timeout_s)


class _DeadlineReader(StreamReader):
    """Cheroot's buffered reader on a socket with a deadline."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        _pyio.BufferedReader.__init__(self, _DeadlineSocketIO(sock), size)
        self.bytes_read = 0


class _Request(HTTPRequest):
    """A request that closes its connection if the end of its body is uncertain."""

    def read_request_headers(self) -> bool:
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        length = self.inheaders.get(b'Content-Length')
        if length is not None and not length.isdigit():
            # Cheroot accepts whatever ``int`` accepts, and reads without a limit if the length is negative.
            self.simple_response('400 Bad Request', 'Malformed Content-Length Header.')
            return False
        if length is not None and self.chunked_read:
            self.close_connection = True
        return True

    def send_headers(self) -> None:
        # The unread rest of the body would otherwise be parsed as the next request of the connection.
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
    """Cheroot's server with limits on the time and size of requests."""

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
    """Bind and serve on separate threads; OSError if the address is in use.

    A sender that is silent for ``timeout_s``, or needs longer than ``receive_timeout_s`` for a complete
    request, gets 408.
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
    return _DeadlineReader(sock, size) if 'r' in mode else StreamWriter(sock, mode, size)
