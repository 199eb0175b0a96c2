"""Requests that were posted to the reducer, on the threads of their callers."""

import queue
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from basilcove.core.events import Event
from basilcove.core.ids import Outcome
from basilcove.http.answers import AnswerTable, Body, Broken, Complete, CutOff, Part, Refused
from basilcove.http.const import ANSWER_GRACE_S
from basilcove.http.problems import error_event
from basilcove.http.sse import DONE_EVENT
from basilcove.requests.events import CallerGone, Refusal, Request, RequestArrived


class Exchange:
    """A request that was posted to the reducer and the parts of its answer."""

    def __init__(
        self,
        req: Request,
        answers: AnswerTable,
        abort: Callable[[], None],
        post: Callable[[Event], object],
    ) -> None:
        """Open the queue of the answer and post the request; ``abort`` ends the caller's connection."""
        self.req = req
        self._answers = answers
        self._post = post
        self._give_up_at = time.monotonic() + req.timeout_s + ANSWER_GRACE_S
        self._is_ended = False
        self._parts = answers.open(req.request_id, abort)
        post(RequestArrived(req))

    def next_part(self) -> Part:
        """Wait for the next part; after the deadline plus ``ANSWER_GRACE_S`` the outcome is unknown."""
        try:
            part = self._parts.get(max(0, self._give_up_at - time.monotonic()))
        except queue.Empty:
            part = Refused(
                Refusal(HTTPStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN, 'no decision within the deadline')
            )
            self._post(CallerGone(self.req.request_id))
        if isinstance(part, CutOff):
            part = Broken(part.reason)
            self._post(CallerGone(self.req.request_id))
        self._is_ended = isinstance(part, Complete | Broken | Refused)
        return part

    def collect(self) -> tuple[bytes, Part | None]:
        """Return the rest of the body and the part that ended it."""
        content = bytearray()
        last: Part | None = None
        while not self._is_ended:
            last = self.next_part()
            if isinstance(last, Body):
                content += last.content
        return bytes(content), last

    def close(self) -> None:
        """Close the request; posts ``CallerGone`` if the answer had not ended."""
        self._answers.close(self.req.request_id)
        if not self._is_ended:
            self._is_ended = True
            self._post(CallerGone(self.req.request_id))


class AnswerStream:
    """A streamed answer, iterated and closed by cheroot."""

    def __init__(self, exchange: Exchange, release: Callable[[], None]) -> None:
        """Pass on the rest of an answer; ``release`` is called once when it has ended."""
        self._exchange = exchange
        self._release: Callable[[], None] | None = release

    def __iter__(self) -> Iterator[bytes]:
        """Yield complete events; the stream ends with ``[DONE]`` only if it is complete."""
        while True:
            part = self._exchange.next_part()
            if isinstance(part, Body):
                yield part.content
                continue
            if isinstance(part, Complete):
                yield DONE_EVENT
            else:
                yield error_event(_find_reason(part), self._exchange.req.request_id)
            return

    def close(self) -> None:
        """End the exchange and free its slot."""
        self._exchange.close()
        release = self._release
        self._release = None
        if release is not None:
            release()


class CollectedAnswer:
    """A whole answer, iterated and closed by cheroot."""

    def __init__(self, parts: Iterable[bytes], release: Callable[[], None]) -> None:
        """Pass on the parts; ``release`` is called once when they are written or can't be."""
        self._parts = parts
        self._release: Callable[[], None] | None = release

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts."""
        yield from self._parts

    def close(self) -> None:
        """End the answer."""
        release, self._release = self._release, None
        if release is not None:
            release()


def _find_reason(part: Part) -> str:
    if isinstance(part, Broken):
        return part.reason
    return part.refusal.reason if isinstance(part, Refused) else 'the answer has no end'
