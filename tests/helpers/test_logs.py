import threading
import time

from basilcove.helpers.logs import MAX_LINES_PER_S, MAX_WAITING_LINES, LogBudget, LogWriter
from tests.harness.processes import wait_for


class TestLogBudget:
    def test_flood_of_routine_lines_displaces_no_warnings(self) -> None:
        """Guards against refusals that are missing from the logs of the busiest second."""
        now = [0.0]
        budget = LogBudget(lambda: now[0])
        routine = sum(budget.admits('INFO') for _ in range(5 * MAX_LINES_PER_S))
        assert routine == MAX_LINES_PER_S
        assert budget.admits('WARNING')
        assert budget.summary() == {'INFO': 4 * MAX_LINES_PER_S}
        assert not budget.summary()
        now[0] = 1.0
        assert budget.admits('INFO')


class TestLogWriter:
    def test_blocked_output_loses_lines_and_delays_no_caller(self) -> None:
        """Guards against a request that waits for a blocked log output."""
        released = threading.Event()
        writer = LogWriter(lambda _: released.wait(30))
        writer.setup()
        before = time.process_time()
        queued = sum(writer.put('line') for _ in range(3 * MAX_WAITING_LINES))
        assert MAX_WAITING_LINES <= queued < 3 * MAX_WAITING_LINES
        assert writer.lost == 3 * MAX_WAITING_LINES - queued
        assert time.process_time() >= before
        released.set()
        writer.unload()

    def test_queued_lines_are_written_at_the_end(self) -> None:
        """Guards against a process that loses its last log lines."""
        written: list[bytes] = []
        writer = LogWriter(written.append)
        writer.setup()
        for number in range(10):
            writer.put(f'line {number}')
        writer.unload(10)
        assert b''.join(written).splitlines() == [b'line %d' % number for number in range(10)]

    def test_broken_output_does_not_end_the_process(self) -> None:
        """Guards against a process that ends because the reader of its log has ended."""

        def fail(_: bytes) -> None:
            raise BrokenPipeError(32, 'broken')

        writer = LogWriter(fail)
        writer.setup()
        writer.put('line')
        writer.unload(10)
        assert writer.put('another')

    def test_lines_are_written_again_after_a_full_output(self) -> None:
        """Guards against a process that writes no more lines once its output was full for a moment."""
        written: list[bytes] = []

        def write(content: bytes) -> None:
            if not written:
                written.append(b'')
                raise OSError(28, 'no space left on device')
            written.append(content)

        writer = LogWriter(write)
        writer.setup()
        writer.put('lost')
        wait_for(lambda: writer.lost, 'a lost line')
        writer.put('kept')
        writer.unload(10)
        # The write that failed may have ended within a line.
        assert written == [b'', b'\nkept\n']
        assert writer.lost == 1
