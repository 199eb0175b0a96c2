"""HTTP servers based on cheroot, whose threads run complete requests only."""

import resource
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

from cheroot import wsgi

from basilcove.http.const import LISTEN_BACKLOG, MAX_HEADER_BYTES
from basilcove.http.limits import ListenerLimits
from basilcove.http.polling import Poller
from basilcove.http.replies import StartResponse
from basilcove.http.requests import Connection, RequestGateway
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.refusals import Refusals

Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

_MIN_CONNECTIONS: Final = 16


class Server(wsgi.Server):
    """Cheroot's server, whose connections are polled until their requests are complete."""

    ConnectionClass = Connection
    limits = ListenerLimits()
    account: ReceiveAccount
    refusals: Refusals
    _connections: Any

    def prepare(self) -> None:
        """Bind and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = Poller(self, bound_connections(self.limits))

    def has_unsent(self) -> bool:
        """Return whether bytes of answers wait for their clients."""
        return bool(self._connections.has_unsent())

    def forget(self, conn: Connection) -> None:
        """Count a closed connection no longer."""
        self._connections.forget(conn)


def start_server(
    listen: str,
    app: Application,
    threads: int,
    limits: ListenerLimits,
    account: ReceiveAccount,
    refusals: Refusals,
) -> Server:
    """Bind and serve on separate threads; OSError if the address is in use."""
    host, _, port = listen.rpartition(':')
    server = Server((host, int(port)), app, numthreads=threads, max=threads)
    server.gateway = RequestGateway
    server.timeout = limits.timeout_s
    server.limits = limits
    server.account = account
    server.refusals = refusals
    server.request_queue_size = LISTEN_BACKLOG
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = limits.max_body_bytes
    server.prepare()
    threading.Thread(target=server.serve, name=f'http {listen}', daemon=True).start()
    return server


def bound_connections(limits: ListenerLimits) -> int:
    """Return how many connections leave enough descriptors to the rest of the process."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return limits.max_connections
    return min(limits.max_connections, max(_MIN_CONNECTIONS, allowed - limits.reserved_descriptors))
