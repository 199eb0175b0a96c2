"""Connections and requests of the HTTP servers, for cheroot's threads."""

import io
import socket
import threading
import time
from contextlib import suppress
from typing import Any

from cheroot import wsgi
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest

from basilcove.http.bodies import ABORT_KEY
from basilcove.http.const import RECEIVE_BYTES
from basilcove.http.receiving import RequestReceiver
from basilcove.http.refusals import REASONS, find_kind
from basilcove.http.sending import AnswerWriter
from basilcove.http1.account import ReceiveShare
from basilcove.http1.refusals import RefusalKind


class RequestGateway(wsgi.Gateway_10):
    """Cheroot's side of WSGI, which also passes how to abort the connection."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the environment of a request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        return {**environ, ABORT_KEY: self.req.conn.abort}


class _HeaderReader(HeaderReader):
    """Ignores Expect, which was answered when the head had arrived."""

    def _allow_header(self, key_name: bytes) -> bool:
        return key_name != b'Expect'


class _Request(HTTPRequest):
    """A complete request, which closes its connection if the end of its body is uncertain."""

    header_reader = _HeaderReader()

    def read_request_headers(self) -> bool:
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        body = self.conn.receiver.body
        length = self.inheaders.get(b'Content-Length')
        if length is not None and not length.isdigit():
            # Cheroot accepts whatever ``int`` accepts.
            self.simple_response('400 Bad Request', 'Malformed Content-Length Header.')
            return False
        declared = None if length is None else int(length)
        if self.chunked_read != body.is_chunked or declared != body.length:
            self.simple_response('400 Bad Request', 'Malformed framing of the body.')
            return False
        if body.fault is not None or (self.chunked_read and length is not None):
            self.close_connection = True
        return True

    def simple_response(self, status: str, msg: str = '') -> None:
        """Refuse a request, with the status and phrase that cheroot gives."""
        self._count_refusal(int(status.split(' ')[0]))
        super().simple_response(status, msg)

    def respond(self) -> None:
        body = self.conn.receiver.body
        if body.fault is not None:
            self._count_refusal(body.fault.status)
        self.rfile = body
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def send_headers(self) -> None:
        is_streamed = all(name.lower() != b'content-length' for name, _ in self.outheaders)
        super().send_headers()
        self.conn.is_streaming = is_streamed

    def write(self, chunk: bytes) -> None:
        super().write(chunk)
        if not self.conn.is_streaming:
            return
        try:
            self.conn.wfile.wait(self.server.limits.receive_timeout_s)
        except TimeoutError:
            self.conn.count_refusal(RefusalKind.STALLED)
            raise

    def _count_refusal(self, status: int) -> None:
        kind = find_kind(status)
        if kind is not None:
            self.conn.count_refusal(kind)


class Connection(HTTPConnection):
    """A connection, which belongs either to the poller or to the thread that answers its request."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, _make_file)
        # Cheroot's caches refer to the connection, which would live on until a garbage collection.
        del self.resolve_peer_creds, self.get_peer_creds
        sock.setblocking(False)
        self.wfile: AnswerWriter = AnswerWriter(sock)
        self.receiver = RequestReceiver(server.limits)
        self.share: ReceiveShare = server.account.open(self.give_way)
        self.is_evicted = False
        self.is_streaming = False
        # Whether the present request had arrived completely before the previous one was answered.
        self.is_pipelined = False
        self.closes_when_sent = False
        self.is_closed = False
        self._closing = threading.Lock()
        # Since when the client has been silent, and since when its present request arrives or answer waits.
        self.active_at = time.monotonic()
        self.begun_at = self.active_at

    @property
    def is_sending(self) -> bool:
        """Return whether the rest of an answer waits for the client to read."""
        return bool(self.wfile.unsent)

    def give_way(self) -> None:
        """Let the poller refuse the connection: it finds the socket readable."""
        self.is_evicted = True
        self._shut_down(socket.SHUT_RD)

    def count_refusal(self, kind: RefusalKind) -> None:
        """Count and log that a request or an answer of the connection was refused."""
        self.server.refusals.add(kind, REASONS[kind])

    def abort(self) -> None:
        """Cut off an answer that isn't read, on any thread; the one that sends it finds the socket broken."""
        self.count_refusal(RefusalKind.UNREAD)
        self._shut_down(socket.SHUT_RDWR)

    def communicate(self) -> bool:
        """Answer the complete request; True if the connection goes back to the poller."""
        self.rfile = _make_file(self.socket, 'rb', 0, self.receiver.head)
        keeps_open = bool(super().communicate())  # type: ignore[no-untyped-call]
        if self.wfile.is_broken:
            return False
        self.closes_when_sent = not keeps_open
        return keeps_open or self.is_sending

    def begin_next(self) -> None:
        """Release the answered request and expect the next one."""
        self.share.close()
        self.share = self.server.account.open(self.give_way)
        self.receiver = self.receiver.build_next()
        self.is_pipelined = self.receiver.is_ended
        self.is_streaming = False
        self.active_at = time.monotonic()
        self.begun_at = self.active_at
        self.charge()

    def charge(self) -> None:
        """Charge what the request and the unsent answer take."""
        self.share.resize(self.receiver.cost_bytes + len(self.wfile.unsent))

    def refuse(self, content: bytes) -> None:
        """Send what the socket takes of a refusal, and close."""
        with suppress(OSError):
            self.wfile.write(content)
        self.close()

    def close(self) -> None:
        """Close the socket and give back what is charged; may be called again."""
        with self._closing:
            if self.is_closed:
                return
            self.is_closed = True
        self.share.close()
        self.receiver = RequestReceiver(self.server.limits)
        # Data that was not read would reset the connection before the client has read the answer.
        with suppress(OSError):
            self.socket.recv(RECEIVE_BYTES)
        with suppress(OSError):
            super().close()
        self.socket.close()
        self.server.forget(self)

    def _shut_down(self, how: int) -> None:
        # Without the lock, another thread could close the socket before the system call, which would then
        # reach a new connection that got the same descriptor.
        with self._closing:
            if not self.is_closed:
                with suppress(OSError):
                    self.socket.shutdown(how)


class _Head(io.BytesIO):
    """Cheroot's input file: the head of a complete request."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Return that nothing follows; the poller holds what does."""
        return False


def _make_file(sock: socket.socket, mode: str, size: int, head: bytes = b'') -> Any:
    return _Head(head)
