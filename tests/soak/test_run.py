import asyncio
from pathlib import Path

import pytest

from soak.__main__ import run
from tests.harness.processes import Process, wait_for

REGRESSIONS = Path(__file__).with_name('regressions.txt')


def regressions() -> list[tuple[int, float]]:
    rows = [line.split(maxsplit=2) for line in REGRESSIONS.read_text().splitlines() if line[:1].isdigit()]
    return [(int(seed), float(seconds)) for seed, seconds, _ in rows]


class TestRun:
    @pytest.mark.parametrize(('seed', 'seconds'), [(1, 8), *regressions()])
    def test_guarantees_hold_under_faults(self, tmp_path: Path, seed: int, seconds: float) -> None:
        """Guards against a broken guarantee under kills, freezes, lost disks and bad connections."""
        outcome = asyncio.run(run(tmp_path, seed, seconds))
        assert not outcome.faults, (outcome, tmp_path)
        assert outcome.answers['brief 200'] > 10


class TestEnd:
    def test_stopped_soak_leaves_no_process(self, tmp_path: Path) -> None:
        """Guards against daemons that keep running and load the machine after their soak was stopped."""
        log = tmp_path / 'soak.log'
        process = Process('soak', ['soak', '--seconds', '60'], log)
        try:
            children = wait_for(lambda: children_of(process.pid), 'daemons')
            process.stop()
            process.wait()
            wait_for(lambda: not any(Path(f'/proc/{pid}').exists() for pid in children), 'the daemons to end')
        finally:
            process.kill()


def children_of(pid: int) -> list[int]:
    found = Path(f'/proc/{pid}/task/{pid}/children').read_text().split()
    return [int(child) for child in found] if len(found) > 5 else []
