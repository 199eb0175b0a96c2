"""Structured logs: one JSON object a line on standard output, bounded in rate and non-blocking."""

import contextlib
import json
import os
import sys
import threading
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from loguru import logger

from basilcove.core.events import Log
from basilcove.core.runtime import carries_out

if TYPE_CHECKING:
    from loguru import Message, RecordException

# Limit for a process and second; a gateway at its design load writes about 60 lines. Lines over the limit are
# dropped. Warnings and errors have a limit of their own, just as large, so that routine lines never displace
# them.
MAX_LINES_PER_S: Final = 200
# Lines that are queued while the output blocks.
MAX_WAITING_LINES: Final = 2000
# Lines of one interval are written together, which costs one wake-up of the thread.
WRITE_INTERVAL_S: Final = 0.05
_ROUTINE: Final = frozenset(('TRACE', 'DEBUG', 'INFO', 'SUCCESS'))


class LogBudget:
    """Decides which lines are written, and counts the dropped ones by level."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with the full limit of a second."""
        self._clock = clock
        self._second = clock()
        self._written: Counter[bool] = Counter()
        self.dropped: Counter[str] = Counter()

    def admits(self, level: str) -> bool:
        """Tell whether a line of this level may be written now."""
        now = self._clock()
        if now - self._second >= 1:
            self._second = now
            self._written.clear()
        is_routine = level in _ROUTINE
        if self._written[is_routine] >= MAX_LINES_PER_S:
            self.dropped[level] += 1
            return False
        self._written[is_routine] += 1
        return True

    def summary(self) -> dict[str, int]:
        """Return how many lines of each level were dropped since the last summary."""
        counted = dict(self.dropped)
        self.dropped.clear()
        return counted


class LogWriter:
    """Writes lines on a thread of its own; a blocked or broken output loses lines but delays no caller."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        """Write with this function, which may block."""
        self._write = write
        self._lines: deque[bytes] = deque()
        self._wake_up = threading.Event()
        self._thread = threading.Thread(target=self._run, name='logs', daemon=True)
        self._is_stopping = False
        self._is_broken = False
        self.lost = 0

    def setup(self) -> None:
        """Start the thread."""
        self._thread.start()

    def unload(self, timeout_s: float = 1) -> None:
        """Write the queued lines and end the thread; give up after the timeout if the output blocks."""
        self._is_stopping = True
        self._wake_up.set()
        self._thread.join(timeout_s)

    def put(self, line: str) -> bool:
        """Queue a line; False if the queue is full."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.lost += 1
            return False
        self._lines.append(f'{line}\n'.encode(errors='replace'))
        self._wake_up.set()
        return True

    def _run(self) -> None:
        while True:
            self._wake_up.wait()
            self._wake_up.clear()
            queued = len(self._lines)
            if queued:
                self._write_all(queued)
            if self._is_stopping and not self._lines:
                return
            time.sleep(WRITE_INTERVAL_S)

    def _write_all(self, count: int) -> None:
        content = b''.join(self._lines.popleft() for _ in range(count))
        if self._is_broken:
            # The failed write may have ended within a line.
            content = b'\n' + content
        try:
            self._write(content)
        except OSError as exc:
            self.lost += count
            if not self._is_broken:
                # Standard output fails at present, so the reason goes to standard error.
                _write_to_stderr(f'log lines are lost: {exc}')
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
        """Replace all log outputs by this one."""
        logger.remove()
        logger.add(self._write, level=self._level, format='{message}', backtrace=False, diagnose=False)
        self._writer.setup()

    def unload(self) -> None:
        """Write the queued lines and end the writer."""
        self._summarise()
        self._writer.unload()

    @property
    def lost(self) -> int:
        """Return how many lines were lost because the output blocked or failed."""
        return self._writer.lost

    def write(self, effect: Log) -> None:
        """Write the line of an effect with its text and fields."""
        logger.bind(**dict(effect.fields)).log(effect.level.upper(), effect.text)

    def _write(self, line: 'Message') -> None:
        record = line.record
        if not self._budget.admits(record['level'].name):
            return
        self._summarise()
        # A field must not overwrite the keys that every line has.
        content = {
            **record['extra'],
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'node': self._node,
            'module': record['name'],
            'message': record['message'],
        }
        if record['exception'] is not None:
            content['exception'] = _describe(record['exception'])
        self._writer.put(json.dumps(content, default=str))

    def _summarise(self) -> None:
        dropped = self._budget.summary() if self._budget.dropped else {}
        if dropped:
            content = {'level': 'WARNING', 'node': self._node, 'message': 'log lines left out', **dropped}
            self._writer.put(json.dumps(content))


def _describe(exc: 'RecordException') -> str:
    """Return an exception with the place that raised it."""
    text = f'{type(exc.value).__name__}: {exc.value}'
    if exc.traceback is None:
        return text
    frame = traceback.extract_tb(exc.traceback)[-1]
    return f'{text} ({frame.filename}:{frame.lineno}, {frame.name})'


def _write_to_stderr(text: str) -> None:
    # Standard error may fail like standard output; lost lines are counted anyway.
    with contextlib.suppress(OSError):
        sys.stderr.write(f'{text}\n')


def _write_to_stdout(content: bytes) -> None:
    while content:
        content = content[os.write(sys.stdout.fileno(), content) :]


@carries_out(Log, LogDriver)
def write_log(driver: LogDriver, effect: Log) -> None:
    """Write one log line."""
    driver.write(effect)
