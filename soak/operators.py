"""The operator: changes the configuration, reads it back, and asks gateways which version they hold."""

import asyncio
import json
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from soak.calls import call
from soak.const import CHANGE_INTERVAL_S, CONTROL, GATEWAYS, RECOVERY_S
from soak.deployment import KEYS, World
from soak.kinds import Kind, configuration, probe_path

_PROBE_INTERVAL_S = 0.3
_REVOKED = 'k-revoked'


@dataclass(slots=True)
class Operator:
    """What was sent and acknowledged, by version."""

    world: World
    sent: dict[int, dict[str, Any]] = field(default_factory=dict)
    acknowledged: int = 0
    # Newest version whose own route a gateway was seen to have, by its address and start.
    seen: dict[tuple[str, int], int] = field(default_factory=dict)
    is_stopped: bool = False

    def url(self, host: str) -> str:
        """Return the address of a control host's API."""
        return f'{host}:{self.world.processes.ports["api"]}'

    async def change(self) -> bool:
        """Send the next version until it has a clear answer or some seconds have passed."""
        version = max(self.sent, default=0) + 1
        # One team's key changes with each version.
        content = configuration(version, {**KEYS, 'guest': _REVOKED if version == 1 else f'k-{version}'})
        self.sent[version] = content
        body = json.dumps(content).encode()
        give_up_at = time.monotonic() + RECOVERY_S
        while time.monotonic() < give_up_at:
            host = self.world.rng.choice(CONTROL)
            found = await call(self.url(host), 'PUT', '/config', body)
            if found is not None and found.status == HTTPStatus.OK:
                self.acknowledged = version
                return True
            if (
                found is not None
                and HTTPStatus.BAD_REQUEST <= found.status < HTTPStatus.INTERNAL_SERVER_ERROR
            ):
                text = f'version {version} was refused: {found.status} {found.body!r}'
                self.world.ledger.note_fault(text)
                return False
            await asyncio.sleep(0.1)
        return False

    async def change_on(self) -> None:
        """Make one change after another."""
        while not self.is_stopped:
            await self.change()
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def read_on(self) -> None:
        """Read back at all hosts, again and again."""
        while not self.is_stopped:
            await self.read(self.world.rng.choice(CONTROL))
            await asyncio.sleep(0.1)

    async def read(self, host: str) -> int:
        """Read at one host and check the answer; return the version, 0 without an answer."""
        newest = self.acknowledged
        found = await call(self.url(host), 'GET', '/config')
        if found is None or found.status != HTTPStatus.OK:
            return 0
        content = json.loads(found.body)
        version = int(content['version'])
        if version < newest:
            self.world.ledger.note_fault(f'{host} read version {version} after {newest} was acknowledged')
        if content != self.sent.get(version):
            self.world.ledger.note_fault(f'{host} read another content of version {version}')
        return version

    async def probe_on(self) -> None:
        """Ask all gateways which version they hold, again and again."""
        while not self.is_stopped:
            await asyncio.gather(*(self.probe(gateway) for gateway in GATEWAYS))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def probe(self, gateway: str) -> None:
        """Check that a gateway holds nothing older than what it was seen to hold."""
        key = (gateway, self.world.starts[gateway])
        seen = self.seen.get(key, 0)
        if seen > 1 and await self.holds(gateway, seen - 1):
            self._note_older(key, seen)
        newest = max(self.sent)
        if await self.holds(gateway, newest) and key[1] == self.world.starts[gateway]:
            self.seen[key] = max(newest, self.seen.get(key, 0))

    async def holds(self, gateway: str, version: int) -> bool:
        """Tell whether a gateway sent a request on where only this version has a route."""
        asked = await self.world.callers.once(gateway, Kind.PROBE, f'{probe_path(version)}x')
        return asked.status == HTTPStatus.OK or bool(self.world.ledger.runs(asked.request_id))

    def _note_older(self, key: tuple[str, int], seen: int) -> None:
        if key[1] == self.world.starts[key[0]]:
            text = f'{key[0]} held version {seen - 1} after it had held {seen}'
            self.world.ledger.note_fault(text)

    async def check_end(self) -> Sequence[str]:
        """Return what does not hold after the last fault: all serve and hold the newest version."""
        if not await self.change():
            return ['no change was acknowledged after the last fault']
        found = [f'{name} ended by itself, status {status}' for name, status in self._ended()]
        if found:
            return found
        found = [f'{host} reads another version' for host in CONTROL if not await self._reads_newest(host)]
        for gateway in GATEWAYS:
            if not await self.holds(gateway, self.acknowledged):
                found.append(f'{gateway} does not hold version {self.acknowledged}')
            asked = await self.world.callers.once(gateway, Kind.LOOKUP, key=_REVOKED)
            if asked.status != HTTPStatus.UNAUTHORIZED:
                found.append(f'{gateway} answered {asked.status} to a revoked key')
        return found

    def _ended(self) -> Iterator[tuple[str, int]]:
        for name, process in self.world.processes.processes.items():
            status = process.poll()
            if status is not None:
                yield name, status

    async def _reads_newest(self, host: str) -> bool:
        return await self.read(host) == self.acknowledged
