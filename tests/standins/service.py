"""Fake plain service that counts its runs."""

import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from tests.standins.upstream import Start, parser, read_json, reply_json, serve


@dataclass
class Service:
    """Fake service; it waits ``delay_s`` before each answer."""

    delay_s: float = 0.0
    bookings: list[str] = field(default_factory=list)
    lookups: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def app(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        if path == '/standin/behaviour':
            self.delay_s = read_json(environ)['delay_s']
            return reply_json(start, {})
        if path == '/standin/state':
            return reply_json(start, {'bookings': self.bookings, 'lookups': self.lookups})
        if path == '/stock' and environ['REQUEST_METHOD'] == 'GET':
            with self.lock:
                self.lookups += 1
            time.sleep(self.delay_s)
            return reply_json(start, {'carts': 7})
        if path == '/bookings' and environ['REQUEST_METHOD'] == 'POST':
            cart = str(read_json(environ).get('cart', ''))
            with self.lock:
                self.bookings.append(cart)
                number = len(self.bookings)
            time.sleep(self.delay_s)
            return reply_json(start, {'booking': number, 'cart': cart}, '201 Created')
        return reply_json(start, {'error': 'no such call'}, '404 Not Found')


if __name__ == '__main__':
    serve(parser().parse_args(), Service().app)
