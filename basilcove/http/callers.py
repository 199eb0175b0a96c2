"""HTTP server for callers, based on cheroot."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final, Self

from loguru import logger

from basilcove.core.events import Event
from basilcove.core.ids import Outcome, RequestId
from basilcove.environment.models import Environment
from basilcove.helpers.metrics import Metrics
from basilcove.helpers.traces import Tracing, trace_id_of, traceparent_of
from basilcove.http.answers import AnswerTable, Broken, Complete, Head, Part, Refused
from basilcove.http.bodies import find_abort
from basilcove.http.calls import build_request, read_call
from basilcove.http.config import HttpConfig
from basilcove.http.connections import Server, start_server
from basilcove.http.const import (
    EVENT_STREAM,
    SPARE_THREADS,
)
from basilcove.http.exchanges import AnswerStream, CollectedAnswer, Exchange
from basilcove.http.limits import ListenerLimits
from basilcove.http.replies import StartResponse, refuse, status_line
from basilcove.http.status import NotReady, StatusPages
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.refusals import Refusals
from basilcove.requests.events import Refusal, Request

_RETRY_WHEN_FULL_S: Final = 1.0


class CallerServer:
    """Serves callers; each open answer occupies one thread."""

    def __init__(
        self,
        cfg: HttpConfig,
        answers: AnswerTable,
        metrics: Metrics,
        tracing: Tracing,
        account: ReceiveAccount,
    ) -> None:
        """Store the settings; requests are refused until a document is in effect."""
        self._account = account
        self._cfg = cfg
        self._answers = answers
        self._metrics = metrics
        self._tracing = tracing
        self._environment: Environment | None = None
        self._slots = threading.BoundedSemaphore(cfg.max_streams)
        self._post: Callable[[Event], object] | None = None
        self._pages = StatusPages(metrics)
        # Collected answers that are being written; they are no longer in the table.
        self._unwritten: set[RequestId] = set()
        self._server: Server | None = None

    @classmethod
    def from_config(
        cls,
        cfg: HttpConfig,
        answers: AnswerTable,
        metrics: Metrics,
        tracing: Tracing,
        account: ReceiveAccount,
    ) -> Self:
        """Build the server of an entry; requests are charged to ``account``."""
        return cls(cfg, answers, metrics, tracing, account)

    def setup(self, post: Callable[[Event], object], not_ready: NotReady) -> None:
        """Bind and serve; ``not_ready`` returns the reasons why the node is not ready."""
        self._post = post
        self._pages.setup(not_ready)
        threads = self._cfg.max_streams + SPARE_THREADS
        cfg = self._cfg
        limits = ListenerLimits(
            cfg.max_body_bytes,
            cfg.max_connections + cfg.max_streams,
            cfg.socket_timeout_s,
            cfg.receive_timeout_s,
        )
        refusals = Refusals('entry', self._metrics)
        self._server = start_server(
            cfg.listen, self._serve, threads, cfg.build_limits(limits), self._account, refusals
        )

    def unload(self) -> None:
        """Stop serving; call only when no answer is open, since answers in progress are cut off."""
        if self._server is not None:
            self._server.stop()

    def change_environment(self, environment: Environment) -> None:
        """Replace the document against which requests are checked."""
        self._environment = environment

    @property
    def open_answers(self) -> int:
        """Return the number of requests whose answers have not ended or aren't written yet."""
        return len(self._answers) + len(self._unwritten)

    def has_unsent(self) -> bool:
        """Return whether bytes of written answers wait for their callers."""
        return self._server is not None and self._server.has_unsent()

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        page = self._pages.answer(path, start_response)
        if page is not None:
            return page
        if not self._slots.acquire(blocking=False):
            reason = f'all {self._cfg.max_streams} answers of this entry are taken'
            self._metrics.count('requests_refused', (('reason', 'streams'),), 1)
            return refuse(
                start_response,
                Refusal(HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, reason, _RETRY_WHEN_FULL_S),
            )
        try:
            answer = self._answer(environ, start_response)
        except BaseException:
            self._slots.release()
            raise
        if isinstance(answer, AnswerStream):
            return answer
        self._slots.release()
        return answer

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> 'Iterable[bytes] | AnswerStream':
        environment = self._environment
        if environment is None:
            return refuse(
                start_response,
                Refusal(HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, 'no document is in effect yet', 1),
            )
        call = read_call(environ)
        req = call if isinstance(call, Refusal) else build_request(call, environment)
        if isinstance(req, Refusal):
            self._metrics.count('requests_refused', (('reason', 'client'),), 1)
            return refuse(start_response, req)
        return self._exchange(req, find_abort(environ), start_response)

    def _exchange(
        self, req: Request, abort: Callable[[], None], start_response: StartResponse
    ) -> 'Iterable[bytes] | AnswerStream':
        fields = {'request_id': req.request_id, 'team': req.team, 'priority': req.priority}
        span = self._tracing.start('entry', req.traceparent, fields)
        req = replace(req, traceparent=traceparent_of(span, req.traceparent))
        exchange = Exchange(req, self._answers, abort, self._post_event)
        started = time.monotonic()
        first = exchange.next_part()
        self._metrics.first_byte_s.labels(req.priority).observe(time.monotonic() - started)
        try:
            return self._relay(exchange, first, start_response)
        finally:
            span.end()

    def _relay(
        self, exchange: 'Exchange', first: Part, start_response: StartResponse
    ) -> 'Iterable[bytes] | AnswerStream':
        request_id = exchange.req.request_id
        if isinstance(first, Head) and first.is_stream:
            headers = [('Content-Type', EVENT_STREAM), ('Cache-Control', 'no-store')]
            start_response(status_line(first.status), [*headers, ('X-Basilcove-Request-Id', request_id)])
            return AnswerStream(exchange, self._slots.release)
        content, last = exchange.collect()
        self._unwritten.add(request_id)
        exchange.close()
        try:
            answer = self._build_whole(exchange, first, last, content, start_response)
        except BaseException:
            self._unwritten.discard(request_id)
            raise
        return CollectedAnswer(answer, lambda: self._unwritten.discard(request_id))

    def _build_whole(
        self,
        exchange: 'Exchange',
        first: Part,
        last: Part | None,
        content: bytes,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request_id = exchange.req.request_id
        trace_id = trace_id_of(exchange.req.traceparent)
        logger.bind(request_id=request_id, trace_id=trace_id).debug('request ended')
        if isinstance(first, Refused):
            return refuse(start_response, first.refusal, request_id)
        if not isinstance(first, Head) or not isinstance(last, Complete):
            reason = last.reason if isinstance(last, Broken) else 'the answer has no end'
            return refuse(
                start_response, Refusal(HTTPStatus.BAD_GATEWAY, Outcome.UNKNOWN, reason), request_id
            )
        headers = [(name, text) for name, text in first.headers.items() if name.lower() != 'content-length']
        headers += [('Content-Length', str(len(content))), ('X-Basilcove-Request-Id', request_id)]
        start_response(status_line(first.status), headers)
        return [content]

    def _post_event(self, event: Event) -> None:
        if self._post is not None:
            self._post(event)
