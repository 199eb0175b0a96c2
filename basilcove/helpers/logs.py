"""Structured logs: one JSON object a line."""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

from basilcove.core.events import Log
from basilcove.core.runtime import carries_out

if TYPE_CHECKING:
    from loguru import Message


class LogDriver:
    """Writes log lines; the driver of ``Log``."""

    def __init__(self, node: str, level: str) -> None:
        """Write lines of this level and above to standard error."""
        self._node = node
        self._level = level

    def setup(self) -> None:
        """Replace all other log outputs."""
        logger.remove()
        logger.add(self._write, level=self._level, format='{message}')

    def write(self, effect: Log) -> None:
        """Write the line of an effect, its fields beside the text."""
        logger.bind(**dict(effect.fields)).log(effect.level.upper(), effect.text)

    def _write(self, line: 'Message') -> None:
        record = line.record
        content = {
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'node': self._node,
            'module': record['name'],
            'message': record['message'],
            **record['extra'],
        }
        if record['exception'] is not None:
            content['exception'] = str(record['exception'].value)
        sys.stderr.write(f'{json.dumps(content, default=str)}\n')


@carries_out(Log, LogDriver)
def write_log(driver: LogDriver, effect: Log) -> None:
    """Write one log line."""
    driver.write(effect)
