"""Reads the expert counts of each rank from the engine of this host, with urllib3."""

import json
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any, Final

import urllib3
from urllib3.exceptions import HTTPError

from basilcove.core.events import Event
from basilcove.core.ids import Rank
from basilcove.core.runtime import carries_out
from basilcove.experts.planning.events import CountsFailed, CountsRead, RankCounts, ReadCounts
from basilcove.http.const import COUNTS_TIMEOUT_S, MAX_COUNTS_BYTES

_FAULTS: Final = (HTTPError, OSError, ValueError, TypeError, KeyError, AttributeError)


class CountsClient:
    """Driver of ``ReadCounts``; the engine answers ``GET /experts/counts`` with JSON."""

    def __init__(self, post: Callable[[Event], object]) -> None:
        """Create the pool, whose thread starts with the first read; ``post`` passes events to the reducer."""
        self._post = post
        self._pool = ThreadPoolExecutor(1, thread_name_prefix='counts')
        self._connections = urllib3.PoolManager(retries=False, timeout=COUNTS_TIMEOUT_S)

    def unload(self) -> None:
        """Stop the thread."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def read(self, effect: ReadCounts) -> None:
        """Start to read the counts; posts one event when done."""
        self._pool.submit(self._run, effect.url)

    def _run(self, url: str) -> None:
        event: Event
        try:
            event = CountsRead(url, self._fetch(url))
        except _FAULTS as exc:
            event = CountsFailed(url, repr(exc))
        self._post(event)

    def _fetch(self, url: str) -> tuple[RankCounts, ...]:
        # Reads are far apart, so the connection is not kept open.
        headers = {'Connection': 'close'}
        answer = self._connections.request(
            'GET', f'{url}/experts/counts', headers=headers, preload_content=False
        )
        try:
            body = answer.read(MAX_COUNTS_BYTES + 1)
        finally:
            answer.close()
        if answer.status != HTTPStatus.OK or len(body) > MAX_COUNTS_BYTES:
            raise ValueError(f'status {answer.status}, {len(body)} bytes')
        return tuple(map(parse_rank, json.loads(body)['ranks']))


def parse_rank(content: dict[str, Any]) -> RankCounts:
    """Parse the counts of a rank from an engine's answer; ValueError, TypeError or KeyError if malformed."""
    counts = tuple(int(count) for layer in content['counts'] for count in layer)
    if any(count < 0 for count in counts):
        raise ValueError(f'negative counts of rank {content["rank"]}')
    return RankCounts(Rank(int(content['rank'])), int(content['started']), counts)


@carries_out(ReadCounts, CountsClient)
def read_counts(client: CountsClient, effect: ReadCounts) -> None:
    """Read the counts of an engine."""
    client.read(effect)
