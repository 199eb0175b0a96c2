"""Sends orders to the engine of this host with urllib3, one at a time."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from basilcove.core.events import Event
from basilcove.orders.const import ENGINE_TIMEOUT_S
from basilcove.orders.engine import order_to_json, status_from_json
from basilcove.orders.events import CallEngine, EngineAnswered, EngineFailed
from basilcove.orders.rules import may_call

_NEVER_SENT: Final = (NewConnectionError, ConnectTimeoutError)
_FAULTS: Final = (HTTPError, OSError, ValueError, TypeError)
_OK: Final = 200

Post = Callable[[Event], object]


class EngineClient:
    """Sends orders to the engine, which answers each with its status."""

    def __init__(self) -> None:
        """Use a single thread, so that orders are sent in sequence."""
        self._pool = ThreadPoolExecutor(1, thread_name_prefix='orders')
        # A reused connection may be closed while an order is being sent, which leaves its outcome unknown.
        self._connections = urllib3.PoolManager(retries=False, timeout=ENGINE_TIMEOUT_S)
        self._base_url = ''
        self._post: Post | None = None

    def setup(self, post: Post) -> None:
        """Set the function that passes events to the reducer."""
        self._post = post

    def unload(self) -> None:
        """Stop the thread."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def set_base_url(self, base_url: str) -> None:
        """Set the URL of the engine for later calls."""
        self._base_url = base_url

    def call(self, effect: CallEngine) -> None:
        """Start a call; posts one event when done."""
        self._pool.submit(self._run, effect)

    def _run(self, effect: CallEngine) -> None:
        order_id = effect.order.order_id
        event: Event
        if not may_call(effect, time.monotonic()):
            event = EngineFailed(order_id, 'the lease has ended', sent=False)
        else:
            event = self._exchange(effect)
        if self._post is not None:
            self._post(event)

    def _exchange(self, effect: CallEngine) -> Event:
        order_id = effect.order.order_id
        try:
            return self._send(effect)
        except _NEVER_SENT as exc:
            return EngineFailed(order_id, str(exc), sent=False)
        except _FAULTS as exc:
            return EngineFailed(order_id, str(exc), sent=True)

    def _send(self, effect: CallEngine) -> Event:
        body = json.dumps(order_to_json(effect.order))
        headers = {'Content-Type': 'application/json', 'Connection': 'close'}
        answer = self._connections.request('POST', f'{self._base_url}/orders', body=body, headers=headers)
        content = json.loads(answer.data)
        if 'status' not in content:
            return EngineFailed(effect.order.order_id, f'status {answer.status} without a report', sent=True)
        reason = '' if answer.status == _OK else str(content.get('reason', answer.status))
        return EngineAnswered(effect.order.order_id, reason, status_from_json(content['status']))
