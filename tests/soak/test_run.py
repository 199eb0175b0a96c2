import asyncio
from pathlib import Path

import pytest

from soak.__main__ import run

REGRESSIONS = Path(__file__).with_name('regressions.txt')


def regressions() -> list[tuple[int, float]]:
    rows = [line.split(maxsplit=2) for line in REGRESSIONS.read_text().splitlines() if line[:1].isdigit()]
    return [(int(seed), float(seconds)) for seed, seconds, _ in rows]


class TestRun:
    @pytest.mark.parametrize(('seed', 'seconds'), [(1, 8), *regressions()])
    def test_promises_hold_under_faults(self, tmp_path: Path, seed: int, seconds: float) -> None:
        """Guards against a broken promise under kills, freezes, lost disks and bad connections."""
        outcome = asyncio.run(run(tmp_path, seed, seconds))
        assert not outcome.faults, (outcome, tmp_path)
        assert outcome.answers['brief 200'] > 10
