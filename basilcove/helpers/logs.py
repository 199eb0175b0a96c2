"""Structured logs: one JSON object a line on standard output, bounded and never waited for."""

import contextlib
import json
import os
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from loguru import logger

from basilcove.core.events import Log
from basilcove.core.runtime import carries_out

if TYPE_CHECKING:
    from loguru import Message

# Lines of one process a second; a gateway at the size to design for writes about 60. What goes beyond is left
# out, and warnings and errors have as much again, so that routine lines never displace them.
MAX_LINES_PER_S: Final = 200
# Lines that wait for an output that takes none.
MAX_WAITING_LINES: Final = 2000
# Lines of this time are written together, which costs one wake-up.
WRITE_INTERVAL_S: Final = 0.05
_ROUTINE: Final = frozenset(('TRACE', 'DEBUG', 'INFO', 'SUCCESS'))


class LogBudget:
    """Decides which lines are written, and counts those that are left out by level."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with a whole second's lines."""
        self._clock = clock
        self._second = clock()
        self._written: Counter[bool] = Counter()
        self.left_out: Counter[str] = Counter()

    def admits(self, level: str) -> bool:
        """Tell whether a line of this level may be written now."""
        now = self._clock()
        if now - self._second >= 1:
            self._second = now
            self._written.clear()
        is_routine = level in _ROUTINE
        if self._written[is_routine] >= MAX_LINES_PER_S:
            self.left_out[level] += 1
            return False
        self._written[is_routine] += 1
        return True

    def summary(self) -> dict[str, int]:
        """Return how many lines were left out by level since the last summary."""
        counted = dict(self.left_out)
        self.left_out.clear()
        return counted


class LogWriter:
    """Writes lines on a thread of its own; a full or broken output costs lines, never time."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        """Write with this function, which may block."""
        self._write = write
        self._lines: deque[bytes] = deque()
        self._wanted = threading.Event()
        self._thread = threading.Thread(target=self._run, name='logs', daemon=True)
        self._is_ended = False
        self._is_broken = False
        self.lost = 0

    def setup(self) -> None:
        """Start the thread."""
        self._thread.start()

    def unload(self, timeout_s: float = 1) -> None:
        """Write what waits, unless the output takes nothing."""
        self._is_ended = True
        self._wanted.set()
        self._thread.join(timeout_s)

    def put(self, line: str) -> bool:
        """Queue a line; False if too many wait."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.lost += 1
            return False
        self._lines.append(f'{line}\n'.encode(errors='replace'))
        self._wanted.set()
        return True

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            self._wanted.clear()
            waiting = len(self._lines)
            if waiting:
                self._write_all(waiting)
            if self._is_ended and not self._lines:
                return
            time.sleep(WRITE_INTERVAL_S)

    def _write_all(self, count: int) -> None:
        content = b''.join(self._lines.popleft() for _ in range(count))
        if self._is_broken:
            # The write before it may have ended within a line.
            content = b'\n' + content
        try:
            self._write(content)
        except OSError as exc:
            self.lost += count
            if not self._is_broken:
                # The output takes nothing at present, so the reason goes to standard error.
                _complain(f'log lines are lost: {exc}')
            self._is_broken = True
        else:
            self._is_broken = False


class LogDriver:
    """Writes log lines; the driver of ``Log``."""

    def __init__(self, node: str, level: str) -> None:
        """Write lines of this level and above."""
        self._node = node
        self._level = level
        self._budget = LogBudget()
        self._writer = LogWriter(_write_to_stdout)

    def setup(self) -> None:
        """Replace all other log outputs."""
        logger.remove()
        logger.add(self._write, level=self._level, format='{message}')
        self._writer.setup()

    def unload(self) -> None:
        """Write what waits."""
        self._summarise()
        self._writer.unload()

    @property
    def lost(self) -> int:
        """Return how many lines an output that took none has cost."""
        return self._writer.lost

    def write(self, effect: Log) -> None:
        """Write the line of an effect, its fields beside the text."""
        logger.bind(**dict(effect.fields)).log(effect.level.upper(), effect.text)

    def _write(self, line: 'Message') -> None:
        record = line.record
        if not self._budget.admits(record['level'].name):
            return
        self._summarise()
        # A field may not take the place of what every line has.
        content = {
            **record['extra'],
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'node': self._node,
            'module': record['name'],
            'message': record['message'],
        }
        if record['exception'] is not None:
            content['exception'] = str(record['exception'].value)
        self._writer.put(json.dumps(content, default=str))

    def _summarise(self) -> None:
        left_out = self._budget.summary() if self._budget.left_out else {}
        if left_out:
            content = {'level': 'WARNING', 'node': self._node, 'message': 'log lines left out', **left_out}
            self._writer.put(json.dumps(content))


def _complain(text: str) -> None:
    # Standard error may be as full as standard output; the lines that are lost are counted.
    with contextlib.suppress(OSError):
        sys.stderr.write(f'{text}\n')


def _write_to_stdout(content: bytes) -> None:
    while content:
        content = content[os.write(sys.stdout.fileno(), content) :]


@carries_out(Log, LogDriver)
def write_log(driver: LogDriver, effect: Log) -> None:
    """Write one log line."""
    driver.write(effect)
