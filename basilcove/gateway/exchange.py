"""Forwards the answer of one request from the upstream of its current attempt to its caller."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from basilcove.gateway.config import HeaderNames
from basilcove.gateway.const import MAX_BUFFERED_BYTES
from basilcove.gateway.events import (
    AnswerAdvanced,
    AnswerBegun,
    AttemptEnded,
    AttemptResult,
    ReportedLoad,
    StartAttempt,
    StreamPaused,
    UpstreamHinted,
)
from basilcove.gateway.eventstream import EventSplitter
from basilcove.gateway.held import HeldBytes, HeldShare
from basilcove.gateway.hints import NO_HINTS, Hints, read_hints
from basilcove.gateway.reach import Reach
from basilcove.helpers.events import EventTooLargeError
from basilcove.http1.answers import AnswerHead, Attribution
from basilcove.http1.client import UpstreamConnection
from basilcove.http1.connection import CallerConnection
from basilcove.http1.headers import HttpRequest, find_header, parse_count, remove_hop_by_hop

# Running requests, waiting requests and slots.
_LOAD_COUNTS: Final = 3

AttemptEvent = AttemptEnded | AnswerBegun | AnswerAdvanced | UpstreamHinted | StreamPaused
Report = Callable[[AttemptEvent], None]


@dataclass(slots=True)
class Exchange:
    """A caller's request, its current attempt and the state of the answer to the caller."""

    key: int
    caller: CallerConnection
    request: HttpRequest
    # The head that the caller was sent.
    first_head: AnswerHead | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    buffered: 'BufferedAnswer | None' = None
    attempt: 'Attempt | None' = None

    @property
    def has_begun(self) -> bool:
        """Return whether the caller was sent a part of an answer."""
        return self.first_head is not None

    def begin(self, head: AnswerHead, size: int | None) -> None:
        """Send the caller the head of an answer; ``size`` in bytes is None if it isn't known."""
        self.first_head = head
        self.caller.begin(head.status, remove_hop_by_hop(head.headers), head.reason, size)

    def continues_with(self, head: AnswerHead) -> bool:
        """Return whether an answer may go on with what the caller was sent; any may if that is nothing."""
        first = self.first_head
        return first is None or (first.status, _media_type(first)) == (head.status, _media_type(head))

    def deliver(self, buffered: 'BufferedAnswer') -> None:
        """Send the caller a complete answer."""
        body = b''.join(buffered.parts)
        self.begin(buffered.head, len(body))
        self.caller.write(body)
        self.caller.end()


def _media_type(head: AnswerHead) -> str:
    return find_header(head.headers, b'content-type').partition(';')[0].strip().lower()


@dataclass(slots=True)
class BufferedAnswer:
    """An answer that is forwarded only when it is complete."""

    head: AnswerHead
    parts: list[bytes] = field(default_factory=list)
    size_bytes: int = 0

    def add(self, part: bytes) -> None:
        """Add a part of the body."""
        self.parts.append(part)
        self.size_bytes += len(part)


class Attempt:
    """Reads the answer of one upstream; the reader of ``UpstreamConnection``."""

    def __init__(
        self, exchange: Exchange, start: StartAttempt, names: HeaderNames, report: Report, held: HeldBytes
    ) -> None:
        """Read the answer for an exchange; ``report`` gets a stream's start and the attempt's end."""
        self._exchange = exchange
        self._start = start
        self._names = names
        self._report = report
        self._head: AnswerHead | None = None
        self._buffered: BufferedAnswer | None = None
        self._is_stream = False
        self._is_over = False
        # Monotonic seconds; None before the first event, and while the caller reads too slowly.
        self._last_event_at: float | None = None
        self._has_paused = False
        self._reach = Reach()
        self._held = HeldShare(held)
        self.conn: UpstreamConnection | None = None

    @property
    def is_over(self) -> bool:
        """Return whether the attempt has ended or was cancelled."""
        return self._is_over

    def cancel(self) -> None:
        """Close the connection to the upstream, which stops its work on the request."""
        self._is_over = True
        self._held.release()
        self._close()

    def move(self, reason: str) -> None:
        """End the attempt at its upstream, unless the answer has begun without an event id to resume from."""
        can_resume = not self._exchange.has_begun or bool(self._exchange.splitter.last_event)
        if self._is_over or not can_resume:
            return
        self._drop_partial_event()
        self._finish(AttemptResult.MOVED, reason)
        self._close()

    # Methods of AnswerReader.

    def attribute(self, head: AnswerHead) -> Attribution:
        """Return whether the answer names this request, another one or none."""
        hints = read_hints(head, self._names)
        if hints is not None:
            self._report_hints(hints)
        echoed = find_header(head.headers, self._names.request_id.lower().encode())
        if not echoed:
            return Attribution.UNNAMED
        own = self._exchange.request.header(self._names.request_id.lower().encode())
        return Attribution.OWN if echoed == own else Attribution.FOREIGN

    def on_interim(self, head: AnswerHead) -> None:
        """Report the hints of an interim answer; only a final one tells that there is no limit."""
        hints = read_hints(head, self._names)
        if hints is not None and hints != NO_HINTS:
            self._report_hints(hints)

    def on_head(self, head: AnswerHead) -> None:
        """Prepare to forward a successful stream as it arrives, or to buffer any other answer."""
        self._head = head
        is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        self._is_stream = self._start.is_stream and is_success and self._exchange.continues_with(head)
        if not self._is_stream:
            self._buffered = BufferedAnswer(head)

    def on_part(self, part: bytes) -> None:
        """Forward the complete events of a stream; buffer any other answer up to ``MAX_BUFFERED_BYTES``."""
        if self._is_over:
            return
        if self._buffered is not None:
            self._buffer(part)
            return
        if not self._is_stream:
            self._exchange.caller.write(part)
            self._apply_backpressure()
            return
        try:
            events = self._exchange.splitter.feed(part)
        except EventTooLargeError as exc:
            self._abort(str(exc))
            return
        self._held.resize(self._exchange.splitter.size_bytes)
        if events:
            self._forward(events)
        elif self._held.is_exhausted:
            self._abort('all answers together hold too many bytes')

    def on_end(self) -> None:
        """Finish the answer and report the end of the attempt."""
        if self._is_over or self._head is None:
            return
        if not self._is_stream:
            self._end_buffered()
            return
        if not self._exchange.splitter.is_between_events:
            self._report_loss('the stream ended within an event')
            return
        self._begin_stream()
        self._exchange.caller.end()
        self._finish(AttemptResult.ANSWERED)

    def on_broken(self, reason: str) -> None:
        """Report that the answer will not be complete."""
        if not self._is_over:
            self._report_loss(reason)

    # Helpers.

    def _report_hints(self, hints: Hints) -> None:
        start = self._start
        self._report(UpstreamHinted(start.key, start.instance, start.born_ms, hints))

    def _buffer(self, part: bytes) -> None:
        buffered = self._buffered
        assert buffered is not None
        refusal = self._find_refusal(buffered.head)
        if refusal is None:
            buffered.add(part)
            self._held.resize(buffered.size_bytes)
        else:
            # The body of a refusal is not used.
            buffered.size_bytes += len(part)
        if buffered.size_bytes <= MAX_BUFFERED_BYTES and not self._held.is_exhausted:
            return
        if refusal is not None:
            self._finish(refusal, 'the body of a refusal is too large')
            self._close()
        elif self._exchange.has_begun:
            self._abort(f'status {buffered.head.status} instead of the rest of the stream')
        else:
            self._exchange.begin(buffered.head, buffered.head.size)
            self._reach.advance(time.monotonic())
            for buffered_part in buffered.parts:
                self._exchange.caller.write(buffered_part)
            self._buffered = None
            self._held.release()
            self._apply_backpressure()

    def _end_buffered(self) -> None:
        buffered, exchange = self._buffered, self._exchange
        if buffered is None:
            exchange.caller.end()
            self._finish(AttemptResult.ANSWERED)
            return
        refusal = self._find_refusal(buffered.head)
        if refusal is not None:
            self._finish(refusal)
            return
        if exchange.has_begun:
            # Only a stream is retried after its answer has begun, and this answer is no stream.
            self._report_loss(f'status {buffered.head.status} instead of the rest of the stream')
            return
        if self._start.is_failure_buffered and buffered.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            exchange.buffered = buffered
            self._finish(AttemptResult.FAILED)
            return
        exchange.deliver(buffered)
        self._finish(AttemptResult.ANSWERED)

    def _find_refusal(self, head: AnswerHead) -> AttemptResult | None:
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return AttemptResult.MISDIRECTED
        if find_header(head.headers, self._names.not_run.lower().encode()):
            return AttemptResult.NOT_RUN
        return None

    def _forward(self, events: bytes) -> None:
        self._begin_stream()
        self._exchange.caller.write(events)
        reach_s = self._reach.advance(time.monotonic())
        if reach_s is not None:
            self._report(AnswerAdvanced(self._start.key, self._start.number, reach_s))
        if self._start.measures_pauses:
            self._measure_pause()
        if not self._exchange.caller.is_writable:
            self._last_event_at = None
            self._apply_backpressure()

    def _measure_pause(self) -> None:
        """Report the time since the last event of this attempt."""
        former, self._last_event_at = self._last_event_at, time.monotonic()
        if former is None:
            return
        pause_s = self._last_event_at - former
        is_first, self._has_paused = not self._has_paused, True
        self._report(StreamPaused(self._start.key, self._start.number, pause_s, is_first))

    def _begin_stream(self) -> None:
        if self._exchange.has_begun:
            return
        assert self._head is not None
        self._exchange.begin(self._head, None)
        self._report(AnswerBegun(self._start.key, self._start.number))

    def _apply_backpressure(self) -> None:
        """Pause reading from the upstream until the caller has read what was sent."""
        conn, caller = self.conn, self._exchange.caller
        if conn is None or caller.is_writable:
            return
        conn.pause()
        caller.on_resumed = conn.resume

    def _abort(self, reason: str) -> None:
        self._report_loss(reason)
        self._close()

    def _close(self) -> None:
        if self.conn is not None:
            self.conn.close()

    def _drop_partial_event(self) -> None:
        # The upstream that resumes the stream sends an incomplete event again as a whole.
        self._exchange.splitter = EventSplitter(self._exchange.splitter.last_event)

    def _report_loss(self, reason: str) -> None:
        self._drop_partial_event()
        self._finish(AttemptResult.BROKEN if self._exchange.has_begun else AttemptResult.LOST, reason)

    def _finish(self, result: AttemptResult, reason: str = '') -> None:
        status = self._head.status if self._head is not None else 0
        last_event = self._exchange.splitter.last_event
        load = self._read_load()
        ended = AttemptEnded(
            self._start.key,
            self._start.number,
            result,
            reason,
            status,
            load,
            last_event,
            self._reach.measure(time.monotonic()),
            is_unframed=self._head is not None and self._head.ends_with_connection,
        )
        self._is_over = True
        self._held.release()
        self._report(ended)

    def _read_load(self) -> ReportedLoad | None:
        if self._head is None:
            return None
        text = find_header(self._head.headers, self._names.load.lower().encode())
        counts = [parse_count(part) for part in text.split(',')]
        if len(counts) != _LOAD_COUNTS or None in counts:
            return None
        running, waiting, slots = (count or 0 for count in counts)
        return ReportedLoad(running, waiting, slots)
