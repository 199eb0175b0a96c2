"""Clients that keep to no limit, against a gateway and a control host.

Nothing here depends on the speed of the machine: the process lives, its memory and its descriptors stay
within bounds, and an ordinary request is answered afterwards.
"""

import resource
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from tests.harness.platform import CONTROL, GATEWAY, Deployment, configuration
from tests.harness.processes import wait_for
from tests.harness.socket_crowd import Crowd, Kind, open_descriptors, peak_memory_mb

MAX_PEAK_MB: Final = 120
# Descriptors that a process may have open with the crowd connected. It is started with MAX_FILES of them.
MAX_FILES: Final = 512
MAX_OPEN: Final = 400
# Clients that are refused are closed, apart from a few connections that linger.
MAX_LEFT_OPEN: Final = 100

_CHUNKED: Final = b'POST /book/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n'
_GET: Final = b'GET /config HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token k-1\r\n\r\n'
_HEAD: Final = b'POST /book/x HTTP/1.1\r\nHost: desk.example\r\n'
_MB: Final = 1_000_000

# Kinds that stay connected within the limits of a request.
HOLDING: Final = (
    Kind('header-lines-short', 300, _HEAD, b'a:\r\n', 16_000),
    Kind('header-lines-odd', 300, _HEAD, b'ab: \r\nx-c: 1\r\n folded\r\n', 16_000),
    Kind('header-names-long', 300, _HEAD, b'%s: 1\r\n' % (b'n' * 7000), 16_000),
    Kind('chunks-large', 100, _CHUNKED, b'10000\r\n%s\r\n' % (b'x' * 65536), 1_300_000),
    Kind('chunks-tiny', 100, _CHUNKED, b'2\r\nab\r\n', 480_000),
    Kind('pipelined-unread', 50, b'', _GET, 20_000),
    Kind('bytes-one-at-a-time', 100, _HEAD, b'a:\r\n', 400, step_bytes=1),
)
# Kinds that are never a request, and whose connections have to be closed.
ENDLESS: Final = (
    Kind('head-without-end', 150, _HEAD, b'%s: 1\r\n' % (b'n' * 100), 4 * _MB),
    Kind('line-without-end', 150, _HEAD + b'a: ', b'x' * 4096, 4 * _MB),
    Kind('empty-lines', 150, b'', b'\r\n' * 2048, 4 * _MB),
    Kind('chunk-extension-without-end', 150, _CHUNKED + b'2;', b'x' * 4096, 4 * _MB),
    Kind('trailers-without-end', 150, _CHUNKED + b'0\r\n', b'a: b\r\n' * 512, 4 * _MB),
)
SILENT: Final = Kind('silent', 900)


def large_configuration() -> dict[str, Any]:
    """Return a configuration whose text is some 40 KB."""
    content = configuration(3)
    content['tenants'][0]['api_keys'] += [f'{"k" * 32}-{number}' for number in range(1000)]
    return content


def limit_descriptors(pid: int) -> None:
    """Let a process that has just been started open ``MAX_FILES`` descriptors.

    The tests' own process may have more open, so the limit can't be one that the other inherits.
    """
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_FILES, hard))


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Yield a deployment that serves requests."""
    running = Deployment(tmp_path)
    try:
        for address in (*CONTROL, GATEWAY):
            running.start(address)
            limit_descriptors(running.processes[address].pid)
        running.put(large_configuration())
        running.announce(1)
        wait_for(lambda: running.send_request() == 200, 'a served request')
        yield running
    finally:
        running.stop()


class Target:
    """The process that a crowd is sent against."""

    def __init__(self, deployment: Deployment, address: str) -> None:
        """Store the address of a gateway or a control host."""
        self._deployment = deployment
        self._address = address
        self._process = deployment.processes[address]

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        return self._deployment.ports['http' if self._address == GATEWAY else 'api']

    def endure(self, kind: Kind, max_open: int) -> None:
        """Check the process while a crowd is connected, and an ordinary request afterwards."""
        with Crowd(kind, self._address, self.port) as crowd:
            sent_bytes = crowd.send()
            assert self._process.poll() is None
            opened, peak_mb = open_descriptors(self._process.pid), peak_memory_mb(self._process.pid)
            wait_for(
                lambda: open_descriptors(self._process.pid) <= max_open,
                f'at most {max_open} of {opened} open descriptors after {sent_bytes} bytes',
            )
            wait_for(self.is_serving, f'an ordinary request at {opened} descriptors and {peak_mb:.0f} MB')
        wait_for(self.is_serving, 'an ordinary request after the crowd has left')
        assert self._process.poll() is None
        peak_mb = peak_memory_mb(self._process.pid)
        assert peak_mb < MAX_PEAK_MB, f'{peak_mb:.0f} MB after {sent_bytes} bytes'

    def is_serving(self) -> bool:
        """Return whether an ordinary request is answered."""
        if self._address == GATEWAY:
            return self._deployment.send_request() == 200
        return self._deployment.call(self._address, 'GET', '/config')[0] == 200


@pytest.fixture(params=[GATEWAY, CONTROL[0]], ids=['gateway', 'control'])
def target(deployment: Deployment, request: pytest.FixtureRequest) -> Target:
    """Return a process of each kind."""
    return Target(deployment, request.param)


class TestUntrustedClients:
    """One kind of client a test."""

    @pytest.mark.parametrize('kind', HOLDING, ids=lambda kind: kind.name)
    def test_holding(self, target: Target, kind: Kind) -> None:
        """Guards against requests that stop short of their end and take all memory of a process."""
        target.endure(kind, MAX_OPEN)

    @pytest.mark.parametrize('kind', ENDLESS, ids=lambda kind: kind.name)
    def test_endless(self, target: Target, kind: Kind) -> None:
        """Guards against connections that send for ever and are never closed."""
        target.endure(kind, MAX_LEFT_OPEN)

    def test_silent(self, target: Target) -> None:
        """Guards against a process that has no descriptors left for its links and for ordinary callers."""
        target.endure(SILENT, MAX_OPEN)
