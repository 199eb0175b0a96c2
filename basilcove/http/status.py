"""Health, readiness and metrics over HTTP, served by every node."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Self

from basilcove.helpers.metrics import Metrics
from basilcove.http.config import StatusConfig
from basilcove.http.connections import Server, start_server
from basilcove.http.const import KIBIBYTE, STATUS_THREADS
from basilcove.http.limits import ListenerLimits
from basilcove.http.replies import StartResponse, reply, reply_json
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.refusals import Refusals

NotReady = Callable[[], list[str]]


class StatusPages:
    """Answers ``/healthz``, ``/readyz`` and ``/metrics``."""

    def __init__(self, metrics: Metrics) -> None:
        """Report the node as ready until ``setup`` is called."""
        self._metrics = metrics
        self._not_ready: NotReady = list

    def setup(self, not_ready: NotReady) -> None:
        """Set the function that returns the reasons why the node is not ready."""
        self._not_ready = not_ready

    def answer(self, path: str, start_response: StartResponse) -> Iterable[bytes] | None:
        """Answer a request for one of the pages; return None for another path."""
        if path == '/healthz':
            return reply(start_response, HTTPStatus.OK, b'ok\n', 'text/plain')
        if path == '/readyz':
            reasons = self._not_ready()
            status = HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK
            return reply_json(start_response, status, {'ready': not reasons, 'reasons': reasons})
        if path == '/metrics':
            return reply(start_response, HTTPStatus.OK, self._metrics.render(), 'text/plain; version=0.0.4')
        return None


class StatusServer:
    """Serves the status pages only."""

    def __init__(self, cfg: StatusConfig, metrics: Metrics, account: ReceiveAccount) -> None:
        """Store the settings; ``setup`` binds the address."""
        self._cfg = cfg
        self._account = account
        self._metrics = metrics
        self._pages = StatusPages(metrics)
        self._server: Server | None = None

    @classmethod
    def from_config(cls, cfg: StatusConfig, metrics: Metrics, account: ReceiveAccount) -> Self:
        """Build the server of a node; requests are charged to ``account``."""
        return cls(cfg, metrics, account)

    def setup(self, not_ready: NotReady) -> None:
        """Bind and serve."""
        self._pages.setup(not_ready)
        limits = ListenerLimits(KIBIBYTE, self._cfg.max_connections)
        refusals = Refusals('status', self._metrics)
        self._server = start_server(
            self._cfg.listen,
            self._serve,
            STATUS_THREADS,
            self._cfg.build_limits(limits),
            self._account,
            refusals,
        )

    def unload(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        page = self._pages.answer(environ['PATH_INFO'], start_response)
        if page is None:
            return reply_json(start_response, HTTPStatus.NOT_FOUND, {'detail': 'no such path'})
        return page
