"""Operator that changes the configuration, reads it back and probes which version each gateway has."""

import asyncio
import json
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from soak.calls import call
from soak.const import CHANGE_INTERVAL_S, CONTROL, GATEWAYS, RECOVERY_S
from soak.deployment import KEYS, Deployment
from soak.kinds import Kind, build_configuration, probe_path

_PROBE_INTERVAL_S = 0.3
_REVOKED = 'k-revoked'


@dataclass(slots=True)
class Operator:
    """Changes, reads and probes configurations; ``acknowledged`` is the newest acknowledged version."""

    deployment: Deployment
    sent: dict[int, dict[str, Any]] = field(default_factory=dict)
    acknowledged: int = 0
    # Newest version that a gateway was seen to route, by its address and number of starts.
    seen: dict[tuple[str, int], int] = field(default_factory=dict)
    is_stopped: bool = False

    def api_address(self, host: str) -> str:
        """Return the address of a control host's API."""
        return f'{host}:{self.deployment.processes.ports["api"]}'

    async def change(self) -> bool:
        """Send the next version until it is acknowledged or refused, or until ``RECOVERY_S`` have passed."""
        version = max(self.sent, default=0) + 1
        # One team's key changes with each version.
        content = build_configuration(
            version, {**KEYS, 'guest': _REVOKED if version == 1 else f'k-{version}'}
        )
        self.sent[version] = content
        body = json.dumps(content).encode()
        deadline = time.monotonic() + RECOVERY_S
        while time.monotonic() < deadline:
            host = self.deployment.rng.choice(CONTROL)
            answer = await call(self.api_address(host), 'PUT', '/config', body)
            if answer is not None and answer.status == HTTPStatus.OK:
                self.acknowledged = version
                return True
            if (
                answer is not None
                and HTTPStatus.BAD_REQUEST <= answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
            ):
                text = f'version {version} was refused: {answer.status} {answer.body!r}'
                self.deployment.ledger.record_fault(text)
                return False
            await asyncio.sleep(0.1)
        return False

    async def run_changes(self) -> None:
        """Send one change after another until stopped."""
        while not self.is_stopped:
            await self.change()
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def run_reads(self) -> None:
        """Read back at random control hosts until stopped."""
        while not self.is_stopped:
            await self.read(self.deployment.rng.choice(CONTROL))
            await asyncio.sleep(0.1)

    async def read(self, host: str) -> int:
        """Read at one host and check the answer; return the version, 0 without an answer."""
        newest = self.acknowledged
        answer = await call(self.api_address(host), 'GET', '/config')
        if answer is None or answer.status != HTTPStatus.OK:
            return 0
        content = json.loads(answer.body)
        version = int(content['version'])
        if version < newest:
            self.deployment.ledger.record_fault(
                f'{host} read version {version} after {newest} was acknowledged'
            )
        if content != self.sent.get(version):
            self.deployment.ledger.record_fault(f'{host} read different content for version {version}')
        return version

    async def run_probes(self) -> None:
        """Probe all gateways until stopped."""
        while not self.is_stopped:
            await asyncio.gather(*(self.probe(gateway) for gateway in GATEWAYS))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def probe(self, gateway: str) -> None:
        """Check that a gateway has not returned to a version older than one that it had."""
        key = (gateway, self.deployment.starts[gateway])
        seen = self.seen.get(key, 0)
        if seen > 1 and await self.has_version(gateway, seen - 1):
            self._record_older(key, seen)
        newest = max(self.sent)
        if await self.has_version(gateway, newest) and key[1] == self.deployment.starts[gateway]:
            self.seen[key] = max(newest, self.seen.get(key, 0))

    async def has_version(self, gateway: str, version: int) -> bool:
        """Return whether a gateway forwards a request for which only this version has a route."""
        record = await self.deployment.callers.send_once(gateway, Kind.PROBE, f'{probe_path(version)}x')
        return record.status == HTTPStatus.OK or bool(self.deployment.ledger.count_runs(record.request_id))

    def _record_older(self, key: tuple[str, int], seen: int) -> None:
        if key[1] == self.deployment.starts[key[0]]:
            text = f'{key[0]} returned to version {seen - 1} after {seen}'
            self.deployment.ledger.record_fault(text)

    async def check_end(self) -> Sequence[str]:
        """Return failed checks after the last fault: all processes run and have the newest version."""
        if not await self.change():
            return ['no change was acknowledged after the last fault']
        faults = [f'{name} ended unexpectedly with status {status}' for name, status in self._ended()]
        if faults:
            return faults
        faults = [
            f'{host} does not read the newest version'
            for host in CONTROL
            if not await self._reads_newest(host)
        ]
        for gateway in GATEWAYS:
            if not await self.has_version(gateway, self.acknowledged):
                faults.append(f'{gateway} does not have version {self.acknowledged}')
            record = await self.deployment.callers.send_once(gateway, Kind.LOOKUP, key=_REVOKED)
            if record.status != HTTPStatus.UNAUTHORIZED:
                faults.append(f'{gateway} answered {record.status} to a revoked key')
        return faults

    def _ended(self) -> Iterator[tuple[str, int]]:
        for name, process in self.deployment.processes.processes.items():
            status = process.poll()
            if status is not None:
                yield name, status

    async def _reads_newest(self, host: str) -> bool:
        return await self.read(host) == self.acknowledged
