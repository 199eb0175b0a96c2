"""Calls upstreams by urllib3, each on a thread of a bounded pool."""

import asyncio
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Final

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.response import BaseHTTPResponse

from basilcove.agents.events import (
    CallUpstream,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamFinished,
    UpstreamProgressed,
)
from basilcove.core.events import Event
from basilcove.core.ids import AttemptId, NodeId
from basilcove.helpers.contexts import upstream_context
from basilcove.http.const import (
    BUFFERED_READ_S,
    CHUNK_INTERVAL_S,
    CONNECT_TIMEOUT_S,
    EVENT_STREAM,
    READ_CHUNK_BYTES,
    READ_PAUSE_S,
)
from basilcove.http.sse import EventSplitter
from basilcove.requests.messages import AnswerChunk, StartAttempt

_PROGRESS_INTERVAL_S: Final = 0.25
_HOP_HEADERS: Final = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'content-length', 'te', 'trailer', 'upgrade'),
)
# An upstream that repeats this header in its answer is checked for crossed answers.
_REQUEST_ID: Final = 'x-basilcove-request-id'
# The body is passed on as it is read, which is decoded.
_READ_HEADERS: Final = _HOP_HEADERS | {'content-encoding'}
_NEVER_SENT: Final = (NewConnectionError, ConnectTimeoutError)

SendChunk = Callable[[NodeId, AnswerChunk], None]
Apply = Callable[[Event], None]
OnLoop = Callable[[Callable[[], None]], object]


@dataclass
class _Call:
    """One call in progress; the loop's thread takes what the reading thread buffers."""

    effect: CallUpstream
    is_cancelled: bool = False
    response: BaseHTTPResponse | None = None
    buffered: list[tuple[bytes, int]] = field(default_factory=list)
    chunks: int = 0
    length: int = 0
    tokens: int = 0
    progressed_at: float = 0.0
    flushed_at: float = 0.0


class UpstreamClient:
    """Carries out calls to the upstream of this host."""

    def __init__(self, max_calls: int, progress_timeout_s: float) -> None:
        """Bound the calls at once and the silence of the upstream, in seconds."""
        self._pool = ThreadPoolExecutor(max_calls, thread_name_prefix='upstream')
        self._progress_timeout_s = progress_timeout_s
        self._max_calls = max_calls
        self._base_url = ''
        self._connections: urllib3.HTTPConnectionPool | None = None
        self._calls: dict[AttemptId, _Call] = {}
        self._lock = threading.Lock()
        self._apply: Apply | None = None
        self._on_loop: OnLoop | None = None
        self._send_chunk: SendChunk | None = None

    def setup(self, apply: Apply, on_loop: OnLoop, send_chunk: SendChunk) -> None:
        """Take the ways to the reducer (on the loop's thread only), to that thread and to the link."""
        self._apply = apply
        self._on_loop = on_loop
        self._send_chunk = send_chunk

    def unload(self) -> None:
        """Cancel all calls and end the threads; the reducer is told no more."""
        self._apply = None
        for attempt_id in tuple(self._calls):
            self.cancel(attempt_id)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def target(self, base_url: str) -> None:
        """Call the upstream at this URL from now on."""
        with self._lock:
            self._base_url = base_url
            self._connections = None

    def call(self, effect: CallUpstream) -> None:
        """Start a call; its events follow."""
        call = _Call(effect)
        self._calls[effect.attempt.attempt_id] = call
        self._pool.submit(self._run, call)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Break off a call; it ends with ``UpstreamFailed`` unless it already ended."""
        call = self._calls.get(attempt_id)
        if call is None:
            return
        with self._lock:
            call.is_cancelled = True
            response = call.response
        if response is not None:
            response.shutdown()

    def _run(self, call: _Call) -> None:
        try:
            self._exchange(call)
        except _NEVER_SENT as exc:
            self._fail(call, str(exc), sent=False)
        except (HTTPError, OSError, ValueError) as exc:
            self._fail(call, str(exc), sent=True)

    def _exchange(self, call: _Call) -> None:
        if call.is_cancelled:
            self._fail(call, 'cancelled', sent=False)
            return
        response = self._open(call.effect.attempt)
        with self._lock:
            call.response = response
        try:
            self._read(call, response)
        finally:
            response.release_conn()

    def _open(self, attempt: StartAttempt) -> BaseHTTPResponse:
        # A kept connection may be closed by the upstream while the call is being sent, which leaves the
        # outcome unknown; a call that may not repeat therefore gets a new connection.
        connections = self._kept_connections() if attempt.repeatable else self._connect(1)
        return connections.urlopen(
            attempt.method,
            attempt.path,
            body=attempt.body or None,
            headers=_headers_of(attempt),
            preload_content=False,
            redirect=False,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=self._progress_timeout_s),
        )

    def _kept_connections(self) -> urllib3.HTTPConnectionPool:
        with self._lock:
            if self._connections is None:
                self._connections = self._connect(self._max_calls)
            return self._connections

    def _connect(self, max_calls: int) -> urllib3.HTTPConnectionPool:
        # A pool for the one upstream; urllib3's manager of pools would parse the URL for each call.
        return urllib3.connection_from_url(self._base_url, maxsize=max_calls, retries=False)

    def _read(self, call: _Call, response: BaseHTTPResponse) -> None:
        attempt_id = call.effect.attempt.attempt_id
        headers = {name: text for name, text in response.headers.items() if name.lower() not in _READ_HEADERS}
        request_id = call.effect.attempt.request_id
        if response.headers.get(_REQUEST_ID, request_id) != request_id:
            self._fail(call, 'the upstream answered another request', sent=True)
            return
        is_stream = response.headers.get('Content-Type', '').startswith(EVENT_STREAM)
        splitter = EventSplitter() if is_stream else None
        answered = UpstreamAnswered(attempt_id, response.status, headers)
        if not is_stream and _is_small(response):
            call.buffered.append((response.read(), 0))
            self._run_on_loop(lambda: self._finish_small(call, answered))
            return
        self._run_on_loop(lambda: self._apply_event(answered))
        while received := _read_some(response, is_stream=is_stream):
            if call.is_cancelled:
                break
            body, tokens = splitter.feed(received) if splitter else (received, 0)
            if body:
                self._buffer(call, body, tokens)
        fault = _fault_of_end(call, response, splitter)
        if fault:
            self._fail(call, fault, sent=True)
        else:
            self._run_on_loop(lambda: self._finish(call))

    def _buffer(self, call: _Call, body: bytes, tokens: int) -> None:
        with self._lock:
            is_scheduled = bool(call.buffered)
            call.buffered.append((body, tokens))
        if not is_scheduled:
            self._run_on_loop(lambda: self._flush_when_due(call))

    def _flush_when_due(self, call: _Call) -> None:
        pause_s = call.flushed_at + CHUNK_INTERVAL_S - time.monotonic()
        if pause_s > 0:
            asyncio.get_running_loop().call_later(pause_s, self._flush, call)
        else:
            self._flush(call)

    def _flush(self, call: _Call) -> None:
        with self._lock:
            parts = call.buffered
            call.buffered = []
        if not parts or self._send_chunk is None:
            return
        body = b''.join(part for part, _ in parts)
        tokens = sum(count for _, count in parts)
        chunk = AnswerChunk(call.effect.attempt.attempt_id, call.chunks, body, tokens)
        self._send_chunk(call.effect.entry, chunk)
        call.chunks += 1
        call.length += len(body)
        call.tokens += tokens
        now = time.monotonic()
        call.flushed_at = now
        if now - call.progressed_at > _PROGRESS_INTERVAL_S:
            call.progressed_at = now
            self._apply_event(UpstreamProgressed(call.effect.attempt.attempt_id, call.chunks, call.tokens))

    def _finish_small(self, call: _Call, answered: UpstreamAnswered) -> None:
        # All in one run of the loop: head, body and end share one frame, because the link writes after it.
        self._apply_event(answered)
        self._finish(call)

    def _finish(self, call: _Call) -> None:
        self._flush(call)
        self._calls.pop(call.effect.attempt.attempt_id, None)
        self._apply_event(UpstreamFinished(call.effect.attempt.attempt_id, call.chunks, call.length))

    def _fail(self, call: _Call, reason: str, *, sent: bool) -> None:
        self._run_on_loop(lambda: self._end_failed(call, reason, sent))

    def _end_failed(self, call: _Call, reason: str, sent: bool) -> None:
        self._flush(call)
        self._calls.pop(call.effect.attempt.attempt_id, None)
        self._apply_event(UpstreamFailed(call.effect.attempt.attempt_id, reason, sent))

    def _apply_event(self, event: Event) -> None:
        if self._apply is not None:
            self._apply(event)

    def _run_on_loop(self, action: Callable[[], None]) -> None:
        if self._on_loop is not None:
            self._on_loop(action)


def _headers_of(attempt: StartAttempt) -> dict[str, str]:
    headers = {name: text for name, text in attempt.headers.items() if name not in _HOP_HEADERS}
    headers[_REQUEST_ID] = attempt.request_id
    if attempt.token_offset:
        headers['x-resume-token-offset'] = str(attempt.token_offset)
    if attempt.traceparent:
        headers['traceparent'] = upstream_context(attempt.traceparent)
    return headers


def _read_some(response: BaseHTTPResponse, *, is_stream: bool) -> bytes:
    """Return what is ready next; pause on a fast stream, so that the thread wakes for several tokens."""
    began = time.monotonic()
    received = response.read1(READ_CHUNK_BYTES)
    if is_stream and BUFFERED_READ_S < time.monotonic() - began < CHUNK_INTERVAL_S:
        time.sleep(READ_PAUSE_S)
    return received


def _is_small(response: BaseHTTPResponse) -> bool:
    """Tell whether the whole answer is read at once; one without a length is not."""
    length = response.headers.get('Content-Length', '')
    return length.isdecimal() and int(length) <= READ_CHUNK_BYTES


def _fault_of_end(call: _Call, response: BaseHTTPResponse, splitter: EventSplitter | None) -> str:
    """Say why an answer that ended is not whole; empty if it is."""
    if call.is_cancelled:
        return 'cancelled'
    if splitter is not None:
        return '' if splitter.is_done and splitter.is_clean else 'the stream ended without its end mark'
    if 'Content-Length' in response.headers or response.headers.get('Transfer-Encoding') == 'chunked':
        return ''
    return 'the answer has neither a length nor an end mark'
