"""Fake model engine with OpenAI's interface; its faults are configured over HTTP."""

import hashlib
import json
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from tests.standins.lockstep import Lockstep
from tests.standins.upstream import Start, parser, read_json, reply_json, serve


@dataclass
class Behaviour:
    """How the engine answers; times in seconds, offsets in tokens.

    If ``is_crossed``, each request gets the answer to the previous request. ``selections``, the selections of
    each expert by layer, are added to the counts before each read.
    """

    first_token_s: float = 0.0
    token_s: float = 0.0
    stall_at: int = -1
    break_at: int = -1
    is_silent: bool = False
    is_crossed: bool = False
    checks_fencing: bool = False
    selections: list[list[int]] = field(default_factory=list)


@dataclass
class Engine:
    """Fake engine: its behaviour, its ranks, and the requests and orders that it ran."""

    behaviour: Behaviour = field(default_factory=Behaviour)
    runs: list[str] = field(default_factory=list)
    fence: int = 0
    last_answer: tuple[str, str] = ('', '')
    ranks: Lockstep = field(default_factory=lambda: Lockstep(started=time.time_ns()))
    orders: list[dict[str, Any]] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def app(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        if path == '/standin/behaviour':
            self.behaviour = Behaviour(**read_json(environ))
            return reply_json(start, {})
        if path == '/standin/state':
            return reply_json(start, {'runs': self.runs, 'orders': self.orders, **self._report()})
        if path == '/experts/counts':
            self.ranks.select(self.behaviour.selections)
            return reply_json(start, self.ranks.read_counts(0))
        if path == '/orders':
            return self._order(read_json(environ), start)
        return self._complete(read_json(environ), environ, start)

    def _order(self, order: dict[str, Any], start: Start) -> Iterable[bytes]:
        with self.lock:
            self.ranks.checks_fencing = self.behaviour.checks_fencing
            is_stale = order['fence'] < self.ranks.fence
            reason = self.ranks.take(order)
            if not reason:
                self.orders.append(order)
        status = '200 OK'
        if reason:
            status = '409 Conflict' if is_stale else '422 Unprocessable Content'
        report = self._report(wants_layers=bool(order.get('wants_layers')))
        return reply_json(start, {'reason': reason, **report}, status)

    def _report(self, *, wants_layers: bool = False) -> dict[str, Any]:
        return {'fence': self.ranks.fence, 'status': self.ranks.status(wants_layers)}

    def _complete(self, req: dict[str, Any], environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        prompt = json.dumps(req.get('messages') or req.get('prompt'), sort_keys=True)
        request_id = environ.get('HTTP_X_BASILCOVE_REQUEST_ID', '')
        with self.lock:
            self.runs.append(request_id)
            own_answer = (prompt, request_id)
            if self.behaviour.is_crossed:
                prompt, request_id = self.last_answer
            self.last_answer = own_answer
        offset = int(environ.get('HTTP_X_RESUME_TOKEN_OFFSET', 0))
        count = int(req.get('max_tokens', 16))
        self._wait(self.behaviour.first_token_s)
        if req.get('stream'):
            start(
                '200 OK',
                [('Content-Type', 'text/event-stream'), ('X-Basilcove-Request-Id', request_id)],
            )
            return self._stream(prompt, offset, count)
        text = ''.join(token_at(prompt, index) for index in range(offset, count))
        self._wait(self.behaviour.token_s * count)
        return reply_json(start, {'choices': [{'index': 0, 'message': {'content': text}}]})

    def _stream(self, prompt: str, offset: int, count: int) -> Iterator[bytes]:
        for index in range(offset, count):
            if index == self.behaviour.break_at:
                raise ConnectionError('stand-in breaks its stream')
            while index == self.behaviour.stall_at:
                time.sleep(0.01)
            self._wait(self.behaviour.token_s)
            choice = {'index': 0, 'delta': {'content': token_at(prompt, index)}}
            yield f'data: {json.dumps({"choices": [choice]})}\n\n'.encode()
        yield b'data: [DONE]\n\n'

    def _wait(self, duration_s: float) -> None:
        while self.behaviour.is_silent:
            time.sleep(0.01)
        if duration_s > 0:
            time.sleep(duration_s)


def token_at(prompt: str, index: int) -> str:
    """Return the token that the engine generates at an offset for a prompt."""
    return f'{hashlib.sha256(f"{prompt}{index}".encode()).hexdigest()[:4]} '


if __name__ == '__main__':
    serve(parser().parse_args(), Engine().app, threads=128)
