import threading
import time

from basilcove.helpers.logs import MAX_LINES_PER_S, MAX_WAITING_LINES, LogBudget, LogWriter
from tests.harness.processes import wait_for


class TestLogBudget:
    def test_warnings_are_kept_when_routine_lines_flood(self) -> None:
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
    def test_blocked_output_costs_lines_and_no_time(self) -> None:
        """Guards against a request that waits for an output which takes nothing."""
        released = threading.Event()
        writer = LogWriter(lambda _: released.wait(30))
        writer.setup()
        before = time.process_time()
        taken = sum(writer.put('line') for _ in range(3 * MAX_WAITING_LINES))
        assert MAX_WAITING_LINES <= taken < 3 * MAX_WAITING_LINES
        assert writer.lost == 3 * MAX_WAITING_LINES - taken
        assert time.process_time() >= before
        released.set()
        writer.unload()

    def test_what_waits_is_written_at_the_end(self) -> None:
        """Guards against the last words of a process that are lost."""
        written: list[bytes] = []
        writer = LogWriter(written.append)
        writer.setup()
        for number in range(10):
            writer.put(f'line {number}')
        writer.unload(10)
        assert b''.join(written).splitlines() == [b'line %d' % number for number in range(10)]

    def test_broken_output_ends_the_logs_only(self) -> None:
        """Guards against a process that ends with its reader."""

        def fail(_: bytes) -> None:
            raise BrokenPipeError(32, 'broken')

        writer = LogWriter(fail)
        writer.setup()
        writer.put('line')
        writer.unload(10)
        assert writer.put('another')

    def test_lines_go_on_after_an_output_that_was_full(self) -> None:
        """Guards against a process that writes no line any more since its output was full for a moment."""
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
