import json
from pathlib import Path

import pytest

from basilcove.cli.__main__ import main
from basilcove.cli.explaining import explain


def line(time: str, node: str, message: str, **fields: str) -> str:
    return json.dumps({'time': time, 'level': 'INFO', 'node': node, 'message': message, **fields})


class TestExplain:
    def test_lines_of_several_processes_are_put_in_order(self, tmp_path: Path) -> None:
        """Guards against output that omits a process, or contains lines of another request."""
        one, two = tmp_path / 'one', tmp_path / 'two'
        one.write_text(
            '\n'.join(
                (
                    line('3', 'g1', 'request refused', request='r-1', reason='no room'),
                    line('1', 'g1', 'request sent', request='r-1', instance='i-1'),
                    line('2', 'g1', 'request sent', request='r-11', instance='i-2'),
                    '{"request": "r-1", "mess',
                )
            )
        )
        two.write_text('collected ' + line('2', 'g2', 'attempt ended', request='r-1', result='not_run'))
        story = explain('r-1', (str(one), str(two))).splitlines()
        assert [each.split(':')[0] for each in story] == [
            '   1 g1 request sent',
            '   2 g2 attempt ended',
            '=> 3 g1 request refused',
        ]

    def test_command(self, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a command that on-call engineers can't use as documented."""
        log = tmp_path / 'log'
        log.write_text(line('1', 'g1', 'caller left', request='r-1'))
        assert main(['explain', 'r-1', str(log)]) == 0
        assert '=> 1 g1 caller left' in capsys.readouterr().out
        assert main(['explain', 'r-2', str(log)]) != 0
        assert main(['explain', 'r-1', str(tmp_path / 'none')]) != 0
