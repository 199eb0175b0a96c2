"""Calls upstreams with urllib3, each call on a thread of a bounded pool."""

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
from basilcove.http1.answers import FINAL_STATUSES
from basilcove.requests.messages import AnswerChunk, StartAttempt

_PROGRESS_INTERVAL_S: Final = 0.25
_HOP_BY_HOP_HEADERS: Final = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'content-length', 'te', 'trailer', 'upgrade'),
)
# If an upstream echoes this header, a mismatch shows that the answer belongs to another request.
_REQUEST_ID_HEADER: Final = 'x-basilcove-request-id'
# Headers that are not forwarded. urllib3 decodes the body, so content-encoding no longer applies.
_DROPPED_HEADERS: Final = _HOP_BY_HOP_HEADERS | {'content-encoding'}
_NEVER_SENT: Final = (NewConnectionError, ConnectTimeoutError)

SendChunk = Callable[[NodeId, AnswerChunk], None]
Apply = Callable[[Event], object]
ScheduleOnLoop = Callable[[Callable[[], None]], object]


@dataclass
class _Call:
    """A call in progress; the reading thread fills ``buffered`` and the loop's thread sends it."""

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
    """Executes calls to the upstream of this host."""

    def __init__(self, max_calls: int, progress_timeout_s: float) -> None:
        """Limit the concurrent calls, and how long the upstream may be silent, in seconds."""
        self._threads = ThreadPoolExecutor(max_calls, thread_name_prefix='upstream')
        self._progress_timeout_s = progress_timeout_s
        self._max_calls = max_calls
        self._base_url = ''
        self._shared_pool: urllib3.HTTPConnectionPool | None = None
        self._calls: dict[AttemptId, _Call] = {}
        self._lock = threading.Lock()
        self._apply: Apply | None = None
        self._schedule_on_loop: ScheduleOnLoop | None = None
        self._send_chunk: SendChunk | None = None

    def setup(self, apply: Apply, schedule_on_loop: ScheduleOnLoop, send_chunk: SendChunk) -> None:
        """Set the callbacks.

        ``apply`` passes an event to the reducer and may be called on the loop's thread only,
        ``schedule_on_loop`` runs a function on that thread, and ``send_chunk`` sends a chunk to an entry.
        """
        self._apply = apply
        self._schedule_on_loop = schedule_on_loop
        self._send_chunk = send_chunk

    def unload(self) -> None:
        """Cancel all calls and stop the threads; no more events reach the reducer."""
        self._apply = None
        for attempt_id in tuple(self._calls):
            self.cancel(attempt_id)
        self._threads.shutdown(wait=False, cancel_futures=True)

    def set_base_url(self, base_url: str) -> None:
        """Set the URL of the upstream for later calls."""
        with self._lock:
            self._base_url = base_url
            self._shared_pool = None

    def call(self, effect: CallUpstream) -> None:
        """Start a call; its progress is reported in events."""
        call = _Call(effect)
        self._calls[effect.attempt.attempt_id] = call
        self._threads.submit(self._run, call)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel a call; it ends with ``UpstreamFailed`` unless it has already ended."""
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
        response = self._send_request(call.effect.attempt)
        with self._lock:
            call.response = response
        try:
            self._read(call, response)
        finally:
            response.release_conn()

    def _send_request(self, attempt: StartAttempt) -> BaseHTTPResponse:
        # The upstream may close a reused connection while the call is being sent, which leaves the outcome
        # unknown; a call that must not be retried therefore gets a new connection.
        pool = self._get_shared_pool() if attempt.repeatable else self._create_pool(1)
        return pool.urlopen(
            attempt.method,
            attempt.path,
            body=attempt.body or None,
            headers=_build_headers(attempt),
            preload_content=False,
            redirect=False,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=self._progress_timeout_s),
        )

    def _get_shared_pool(self) -> urllib3.HTTPConnectionPool:
        with self._lock:
            if self._shared_pool is None:
                self._shared_pool = self._create_pool(self._max_calls)
            return self._shared_pool

    def _create_pool(self, max_calls: int) -> urllib3.HTTPConnectionPool:
        # A pool for this upstream only; urllib3's PoolManager would parse the URL for each call.
        return urllib3.connection_from_url(self._base_url, maxsize=max_calls, retries=False)

    def _read(self, call: _Call, response: BaseHTTPResponse) -> None:
        attempt_id = call.effect.attempt.attempt_id
        headers = {
            name: text for name, text in response.headers.items() if name.lower() not in _DROPPED_HEADERS
        }
        fault = _find_head_fault(call, response)
        if fault:
            self._fail(call, fault, sent=True)
            return
        is_stream = response.headers.get('Content-Type', '').startswith(EVENT_STREAM)
        splitter = EventSplitter() if is_stream else None
        answered = UpstreamAnswered(attempt_id, response.status, headers)
        if not is_stream and _is_small(response):
            call.buffered.append((response.read(), 0))
            self._run_on_loop(lambda: self._finish_small(call, answered))
            return
        self._run_on_loop(lambda: self._apply_event(answered))
        while received := _read_available(response, is_stream=is_stream):
            if call.is_cancelled:
                break
            body, tokens = splitter.feed(received) if splitter else (received, 0)
            if body:
                self._buffer(call, body, tokens)
        fault = _find_end_fault(call, response, splitter)
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
        # In one iteration of the loop, so that head, body and end share a frame: the link writes afterwards.
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
        if self._schedule_on_loop is not None:
            self._schedule_on_loop(action)


def _build_headers(attempt: StartAttempt) -> dict[str, str]:
    headers = {name: text for name, text in attempt.headers.items() if name not in _HOP_BY_HOP_HEADERS}
    headers[_REQUEST_ID_HEADER] = attempt.request_id
    if attempt.token_offset:
        headers['x-resume-token-offset'] = str(attempt.token_offset)
    if attempt.traceparent:
        headers['traceparent'] = upstream_context(attempt.traceparent)
    return headers


def _read_available(response: BaseHTTPResponse, *, is_stream: bool) -> bytes:
    """Return the next available bytes; pause on a fast stream, so that one wake-up covers several tokens."""
    started = time.monotonic()
    received = response.read1(READ_CHUNK_BYTES)
    if is_stream and BUFFERED_READ_S < time.monotonic() - started < CHUNK_INTERVAL_S:
        time.sleep(READ_PAUSE_S)
    return received


def _is_small(response: BaseHTTPResponse) -> bool:
    """Return whether the whole answer fits into one read; false for an answer without a length."""
    length = response.headers.get('Content-Length', '')
    return length.isdecimal() and int(length) <= READ_CHUNK_BYTES


def _find_head_fault(call: _Call, response: BaseHTTPResponse) -> str:
    """Return why a head is not that of the answer to a call, or an empty text if it is."""
    request_id = call.effect.attempt.request_id
    if response.headers.get(_REQUEST_ID_HEADER, request_id) != request_id:
        return 'the upstream answered another request'
    if response.status not in FINAL_STATUSES:
        return f'status {response.status} is that of no answer'
    return ''


def _find_end_fault(call: _Call, response: BaseHTTPResponse, splitter: EventSplitter | None) -> str:
    """Return why an answer that ended is incomplete, or an empty text if it is complete."""
    if call.is_cancelled:
        return 'cancelled'
    if splitter is not None:
        return '' if splitter.is_done and splitter.is_clean else 'the stream ended without its end mark'
    if 'Content-Length' in response.headers or response.headers.get('Transfer-Encoding') == 'chunked':
        return ''
    return 'the answer has neither a length nor an end mark'
