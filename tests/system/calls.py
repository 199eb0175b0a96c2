"""Requests of callers for the tests with real processes."""

import json
import threading
from dataclasses import dataclass, field
from typing import Any

import urllib3

from tests.harness.cluster import Cluster
from tests.standins.engine import token_at

MESSAGES = [{'role': 'user', 'content': 'Is the track past the mill open?'}]


def chat(cluster: Cluster, entry: str, max_tokens: int = 8, **options: Any) -> urllib3.BaseHTTPResponse:
    """Send a streamed model request."""
    body = {'model': 'rider-assistant', 'stream': True, 'max_tokens': max_tokens, 'messages': MESSAGES}
    return cluster.call(entry, 'POST', '/v1/chat/completions', body, **options)


def book(cluster: Cluster, entry: str, key: str | None = None, cart: str = 'A7') -> urllib3.BaseHTTPResponse:
    """Send a booking charge, which may run only once."""
    headers = {'Idempotency-Key': key} if key else {}
    return cluster.call(entry, 'POST', '/services/hire/bookings', {'cart': cart}, headers=headers)


def tokens_of(text: str) -> list[str]:
    """Return the tokens in the events of a stream, without the final event."""
    tokens = []
    for event in text.strip().split('\n\n'):
        if event.startswith('data: {'):
            choice = json.loads(event.removeprefix('data: '))['choices'][0]
            tokens.append(choice['delta']['content'])
    return tokens


def expected_tokens(count: int) -> list[str]:
    """Return the tokens that every engine generates for these messages."""
    prompt = json.dumps(MESSAGES, sort_keys=True)
    return [token_at(prompt, index) for index in range(count)]


def bookings(cluster: Cluster) -> list[str]:
    """Return the carts of all bookings that ran at either service."""
    return [cart for name in ('hire-1', 'hire-2') for cart in cluster.state_of(name)['bookings']]


@dataclass
class StreamReader:
    """Reads a streamed answer in a separate thread."""

    cluster: Cluster
    entry: str
    max_tokens: int
    text: str = ''
    status: int = 0
    is_done: bool = False
    _thread: threading.Thread | None = field(default=None)

    def start(self) -> 'StreamReader':
        """Send the request."""
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()
        return self

    def join(self) -> str:
        """Wait for the end of the answer and return its text."""
        if self._thread is not None:
            self._thread.join(60)
        return self.text

    def _read(self) -> None:
        answer = chat(self.cluster, self.entry, self.max_tokens, preload_content=False)
        self.status = answer.status
        try:
            for part in answer.stream(4096):
                self.text += part.decode()
        except urllib3.exceptions.HTTPError as exc:
            self.text += f'\n\nconnection: {exc}'
        self.is_done = True


def behave_all(cluster: Cluster, kind: str, **behaviour: object) -> None:
    """Set the behaviour of all stand-ins whose names start with ``kind``: ``engine`` or ``hire``."""
    for name in cluster.upstreams:
        if name.startswith(kind):
            cluster.behave(name, **behaviour)


def running_engine(cluster: Cluster) -> str:
    """Return the engine that ran a request; the only one, if there was one request."""
    return next(name for name in ('engine-1', 'engine-2') if cluster.state_of(name)['runs'])
