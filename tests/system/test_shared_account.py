"""The listeners of one process, of both HTTP packages, against their common account."""

import re
import socket
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Final

import pytest
import urllib3

from tests.harness.platform import GATEWAY, PlatformProcesses
from tests.harness.processes import wait_for

MAX_RECEIVE_BYTES: Final = 1024 * 1024
UNFINISHED_BYTES: Final = 700_000
_BODY: Final = b'POST /book/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 800000\r\n\r\n'
# Within the limit of a head; 40 of them exceed what the unfinished body leaves of the account.
_HEAD: Final = b'GET /healthz HTTP/1.1\r\nx-a: ' + b'a' * 30_000
HEADS: Final = 40


class Alone(PlatformProcesses):
    """A gateway without control hosts."""

    def settings(self, address: str, *, first: bool) -> str:
        """Return the settings with a low limit of the account."""
        text = super().settings(address, first=first)
        return f'{text}\nmax_receive_bytes: {MAX_RECEIVE_BYTES}\n'

    def read_metric(self, name: str) -> float:
        """Return a metric of the gateway; 0 if it is missing or the gateway doesn't answer."""
        url = f'http://{GATEWAY}:{self.ports["ready"]}/metrics'
        try:
            text = urllib3.request('GET', url, retries=False, timeout=6).data.decode()
        except urllib3.exceptions.HTTPError:
            return 0
        found = re.search(rf'^basilcove_{re.escape(name)} (\S+)$', text, re.MULTILINE)
        return float(found[1]) if found else 0

    def connect(self, port: str) -> socket.socket:
        """Return a connection to a listener of the gateway."""
        return socket.create_connection((GATEWAY, self.ports[port]), timeout=10)


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[Alone]:
    """Yield a gateway that has started."""
    running = Alone(tmp_path)
    try:
        running.start(GATEWAY)
        wait_for(lambda: running.read_metric('receive_bytes') > 0, 'a started gateway')
        yield running
    finally:
        running.stop()


def test_one_account(gateway: Alone) -> None:
    """Guards against listeners that each fill an account of their own, and an eviction that stays unnoticed.

    The thread that serves the status pages evicts a request that the event loop reads.
    """
    with ExitStack() as stack:
        large = stack.enter_context(gateway.connect('http'))
        large.sendall(_BODY + b'x' * UNFINISHED_BYTES)
        wait_for(
            lambda: gateway.read_metric('receive_bytes') > UNFINISHED_BYTES, 'a charge for the large body'
        )
        for _ in range(HEADS):
            stack.enter_context(gateway.connect('ready')).sendall(_HEAD)
        assert large.recv(4096).startswith(b'HTTP/1.1 503 ')
        # An evicted request is charged until the poller of its listener has refused it.
        wait_for(
            lambda: 0 < gateway.read_metric('receive_bytes') < MAX_RECEIVE_BYTES,
            'an account within its limit',
        )
        assert gateway.read_metric('refused_requests_total{kind="memory",listener="gateway"}') == 1
    wait_for(
        lambda: 0 < gateway.read_metric('receive_bytes') < len(_HEAD), 'an account without these requests'
    )
