"""One request between its caller and the upstream of its present attempt."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from basilcove.gateway.config import HeaderNames
from basilcove.gateway.const import MAX_HELD_BYTES
from basilcove.gateway.events import AnswerBegun, AttemptEnded, AttemptResult, ReportedLoad, StartAttempt
from basilcove.gateway.eventstream import EventSplitter, EventTooLargeError
from basilcove.http1.client import AnswerHead, UpstreamConnection
from basilcove.http1.headers import HttpRequest, end_to_end, find_header
from basilcove.http1.server import CallerConnection

Report = Callable[[AttemptEnded | AnswerBegun], None]


@dataclass(slots=True)
class Exchange:
    """A caller's request and what it has been sent of the answer."""

    key: int
    caller: CallerConnection
    request: HttpRequest
    has_begun: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    held: 'HeldAnswer | None' = None
    attempt: 'Attempt | None' = None

    def begin(self, head: AnswerHead, size: int | None) -> None:
        """Send the caller the head of an answer."""
        self.has_begun = True
        self.caller.begin(head.status, end_to_end(head.headers), head.reason, size)

    def deliver(self, held: 'HeldAnswer') -> None:
        """Send the caller a whole answer."""
        body = b''.join(held.parts)
        self.begin(held.head, len(body))
        self.caller.write(body)
        self.caller.end()


@dataclass(slots=True)
class HeldAnswer:
    """An answer that is not handed on before it is whole."""

    head: AnswerHead
    parts: list[bytes] = field(default_factory=list)
    size_bytes: int = 0

    def add(self, part: bytes) -> None:
        """Add a part of the body."""
        self.parts.append(part)
        self.size_bytes += len(part)


class Attempt:
    """Reads the answer of one upstream; the reader of ``UpstreamConnection``."""

    def __init__(self, exchange: Exchange, start: StartAttempt, names: HeaderNames, report: Report) -> None:
        """Read for an exchange and report the end."""
        self._exchange = exchange
        self._start = start
        self._names = names
        self._report = report
        self._head: AnswerHead | None = None
        self._held: HeldAnswer | None = None
        self._is_stream = False
        self._is_over = False
        self.conn: UpstreamConnection | None = None

    @property
    def is_over(self) -> bool:
        """Tell whether the attempt has ended or was cancelled."""
        return self._is_over

    def cancel(self) -> None:
        """Close the connection to the upstream, which ends its work."""
        self._is_over = True
        self._close()

    def move(self, reason: str) -> None:
        """End the attempt at its upstream, unless nothing tells where another upstream would go on."""
        can_go_on = not self._exchange.has_begun or bool(self._exchange.splitter.last_event)
        if self._is_over or not can_go_on:
            return
        self._drop_cut_event()
        self._finish(AttemptResult.MOVED, reason)
        self._close()

    # Reader.

    def accepts(self, head: AnswerHead) -> bool:
        """Tell whether the answer names this request, or no request at all."""
        echoed = find_header(head.headers, self._names.request_id.lower().encode())
        return not echoed or echoed == self._exchange.request.header(self._names.request_id.lower().encode())

    def on_head(self, head: AnswerHead) -> None:
        """Decide whether the answer is handed on as it arrives."""
        self._head = head
        is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
        self._is_stream = self._start.is_stream and is_success
        if not self._is_stream:
            self._held = HeldAnswer(head)

    def on_part(self, part: bytes) -> None:
        """Hand on the whole events of a stream; hold any other answer."""
        if self._is_over:
            return
        if self._held is not None:
            self._hold(part)
            return
        if not self._is_stream:
            self._exchange.caller.write(part)
            return
        try:
            whole = self._exchange.splitter.feed(part)
        except EventTooLargeError as exc:
            self._break(str(exc))
            return
        if whole:
            self._hand_on(whole)

    def on_end(self) -> None:
        """Report the whole answer."""
        if self._is_over or self._head is None:
            return
        if not self._is_stream:
            self._end_held()
            return
        if not self._exchange.splitter.is_between_events:
            self._lose('the stream ended within an event')
            return
        self._begin_stream()
        self._exchange.caller.end()
        self._finish(AttemptResult.ANSWERED)

    def on_broken(self, reason: str) -> None:
        """Report that the answer will not be whole."""
        if not self._is_over:
            self._lose(reason)

    # Steps.

    def _hold(self, part: bytes) -> None:
        held = self._held
        assert held is not None
        held.add(part)
        if held.size_bytes > MAX_HELD_BYTES and not self._refusal(held.head):
            self._exchange.begin(held.head, held.head.size)
            for known in held.parts:
                self._exchange.caller.write(known)
            self._held = None
            self._follow_caller()

    def _end_held(self) -> None:
        held, exchange = self._held, self._exchange
        if held is None:
            exchange.caller.end()
            self._finish(AttemptResult.ANSWERED)
            return
        refusal = self._refusal(held.head)
        if refusal is not None:
            self._finish(refusal)
            return
        if exchange.has_begun:
            # Only a stream is repeated after it has begun, and this is no stream.
            self._lose(f'status {held.head.status} to a stream that goes on')
            return
        if self._start.holds_failures and held.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            exchange.held = held
            self._finish(AttemptResult.FAILED)
            return
        exchange.deliver(held)
        self._finish(AttemptResult.ANSWERED)

    def _refusal(self, head: AnswerHead) -> AttemptResult | None:
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return AttemptResult.MISDIRECTED
        if find_header(head.headers, self._names.not_run.lower().encode()):
            return AttemptResult.NOT_RUN
        return None

    def _hand_on(self, whole: bytes) -> None:
        self._begin_stream()
        self._exchange.caller.write(whole)
        if not self._exchange.caller.is_writable:
            self._follow_caller()

    def _begin_stream(self) -> None:
        if self._exchange.has_begun:
            return
        assert self._head is not None
        self._exchange.begin(self._head, None)
        self._report(AnswerBegun(self._start.key, self._start.number))

    def _follow_caller(self) -> None:
        """Stop to read from the upstream until the caller has read."""
        conn, caller = self.conn, self._exchange.caller
        if conn is None or caller.is_writable:
            return
        conn.pause()
        caller.on_resumed = conn.resume

    def _break(self, reason: str) -> None:
        self._lose(reason)
        self._close()

    def _close(self) -> None:
        if self.conn is not None:
            self.conn.close()

    def _drop_cut_event(self) -> None:
        # The rest of a cut event is sent anew by the upstream that goes on.
        self._exchange.splitter = EventSplitter(self._exchange.splitter.last_event)

    def _lose(self, reason: str) -> None:
        self._drop_cut_event()
        self._finish(AttemptResult.BROKEN if self._exchange.has_begun else AttemptResult.LOST, reason)

    def _finish(self, result: AttemptResult, reason: str = '') -> None:
        self._is_over = True
        status = self._head.status if self._head is not None else 0
        last_event = self._exchange.splitter.last_event
        load = self._load()
        self._report(
            AttemptEnded(self._start.key, self._start.number, result, reason, status, load, last_event)
        )

    def _load(self) -> ReportedLoad | None:
        if self._head is None:
            return None
        text = find_header(self._head.headers, self._names.load.lower().encode())
        parts = text.split(',')
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return None
        return ReportedLoad(*(int(part) for part in parts))
