"""Operator that evacuates and restores availability zones with the operators' tool."""

import asyncio
import json
import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from basilcove.cli.const import ExitStatus
from soak.const import CONTROL
from soak.deployment import Deployment
from soak.ledger import Period
from tests.harness.processes import ROOT

# Longer than faults keep the control hosts from electing a leader.
_CHANGE_TIMEOUT_S = 60.0
_RETRY_S = 0.2


@dataclass(slots=True)
class ZoneOperator:
    """Changes zones; ``evacuated`` is the last acknowledged state of each."""

    deployment: Deployment
    rng: random.Random
    evacuated: dict[str, bool] = field(default_factory=dict)

    async def evacuate(self, zone: str) -> None:
        """Evacuate a zone and record since when."""
        if await self._change('evacuate', zone):
            self.deployment.ledger.evacuations.append(Period(zone, time.monotonic()))

    async def restore(self, zone: str) -> None:
        """Restore a zone; its evacuations end when the command is first sent."""
        for period in self.deployment.ledger.evacuations:
            if period.subject == zone:
                period.ended_at = min(period.ended_at, time.monotonic())
        await self._change('restore', zone)

    async def find_leader(self) -> str:
        """Return the address of the leader that a control host knows; empty if none answers."""
        _, answer = await self._run_tool('status', hosts=self._shuffle())
        return str(answer.get('leader') or '').partition(':')[0]

    async def check_end(self) -> Sequence[str]:
        """Return a failed check for each control host that doesn't list the last acknowledged states."""
        expected = sorted(zone for zone, is_evacuated in self.evacuated.items() if is_evacuated)
        faults = []
        for host in CONTROL:
            status, answer = await self._run_tool('zones', 'list', hosts=(host,))
            rows = answer.get('evacuations', {}).get('rows', ())
            listed = sorted(row['zone'] for row in rows)
            if status != ExitStatus.OK or listed != expected:
                faults.append(f'{host} lists the evacuated zones {listed}, not {expected}: status {status}')
        return faults

    async def _change(self, command: str, zone: str) -> bool:
        """Send a change under one request id until it is acknowledged; return whether it was."""
        request_id = f'{command}-{zone}-{time.monotonic_ns()}'
        arguments = ('zones', command, zone, '--request-id', request_id)
        deadline = time.monotonic() + _CHANGE_TIMEOUT_S
        status: int = ExitStatus.USAGE_OR_UNREACHABLE
        while status == ExitStatus.USAGE_OR_UNREACHABLE and time.monotonic() < deadline:
            status, answer = await self._run_tool(*arguments, hosts=self._shuffle())
            if status == ExitStatus.OK:
                self.evacuated[zone] = command == 'evacuate'
                return True
            await asyncio.sleep(_RETRY_S)
        self.deployment.ledger.record_fault(f'{command} {zone} was not acknowledged: {status}, {answer}')
        return False

    def _shuffle(self) -> Sequence[str]:
        return self.rng.sample(CONTROL, len(CONTROL))

    async def _run_tool(self, *arguments: str, hosts: Sequence[str]) -> tuple[int, dict[str, Any]]:
        """Return the exit status and the JSON output of the tool, an empty object if there is none."""
        nodes = ','.join(f'{host}:{self.deployment.processes.ports["rpc"]}' for host in hosts)
        command = ('-m', 'basilcove.cli', *arguments, '--insecure', '--json', '--node', nodes)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        return process.returncode or 0, json.loads(output or b'{}')
