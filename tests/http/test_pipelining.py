"""Tests of the bound on pipelined requests, with stand-ins for connections."""

from typing import Any

from basilcove.http.pipelining import PipelinedRequests


class _Recorder:
    """Records what is run; closes the connections listed in ``refused`` instead."""

    def __init__(self, max_running: int) -> None:
        self.requests = PipelinedRequests(self.run, max_running)
        self.ran: list[Any] = []
        self.refused: set[Any] = set()

    def run(self, conn: Any) -> None:
        """Record a connection or end it, as a server does whose connection was evicted."""
        if conn in self.refused:
            self.requests.end(conn)
            return
        self.ran.append(conn)


class TestPipelinedRequests:
    def test_bound(self) -> None:
        """Guards against a thread for each connection of a client that sends many requests at once."""
        recorder = _Recorder(2)
        for conn in range(5):
            recorder.requests.add(conn)  # type: ignore[arg-type]
        assert recorder.ran == [0, 1]

    def test_turns(self) -> None:
        """Guards against connections that wait for ever, also behind one that was added again."""
        recorder = _Recorder(1)
        for conn in range(3):
            recorder.requests.add(conn)  # type: ignore[arg-type]
        recorder.requests.end(0)  # type: ignore[arg-type]
        recorder.requests.add(0)  # type: ignore[arg-type]
        recorder.requests.end(1)  # type: ignore[arg-type]
        recorder.requests.end(2)  # type: ignore[arg-type]
        assert recorder.ran == [0, 1, 2, 0]

    def test_unknown_connection(self) -> None:
        """Guards against a place that is given back by a connection that has none."""
        recorder = _Recorder(1)
        recorder.requests.add(0)  # type: ignore[arg-type]
        recorder.requests.add(1)  # type: ignore[arg-type]
        recorder.requests.end(7)  # type: ignore[arg-type]
        assert recorder.ran == [0]

    def test_many_that_are_closed(self) -> None:
        """Guards against a recursion for each waiting connection that is closed in its turn."""
        recorder = _Recorder(1)
        recorder.refused = set(range(1, 2000))
        for conn in range(2001):
            recorder.requests.add(conn)  # type: ignore[arg-type]
        recorder.requests.end(0)  # type: ignore[arg-type]
        assert recorder.ran == [0, 2000]
