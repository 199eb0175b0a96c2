import itertools
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilcove.gateway.eventstream import EventSplitter
from basilcove.helpers.events import MAX_EVENT_BYTES, EventTooLargeError

# Callers get their answers half a second after the timeout of a request at the latest.
MAX_BUSY_S = 0.5
STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid: 3\ndata: d\n\n'


class TestEventSplitter:
    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_parts_of_any_size_give_the_same_bytes(self, cuts: list[int]) -> None:
        """Guards against events that are lost, duplicated or changed depending on how their bytes arrive."""
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(STREAM)]
        parts = [STREAM[start:end] for start, end in itertools.pairwise(edges)]
        assert b''.join(map(splitter.feed, parts)) == STREAM
        assert splitter.last_event == '3'
        assert splitter.is_between_events

    def test_incomplete_event_is_not_returned(self) -> None:
        """Guards against a partial event that is followed by the whole event from another upstream."""
        splitter = EventSplitter()
        assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\ndata: b') == b'id: 1\ndata: a\n\n'
        assert splitter.last_event == '1'
        assert not splitter.is_between_events

    def test_work_does_not_grow_with_the_incomplete_event(self) -> None:
        """Guards against a gateway that is busy for seconds with an event which arrives in small parts."""
        splitter = EventSplitter()
        started_at = time.process_time()
        for _ in range(MAX_EVENT_BYTES // 16):
            splitter.feed(b'x' * 16)
        assert time.process_time() - started_at < MAX_BUSY_S

    @pytest.mark.parametrize('end', [b'\n\n', b'\r\n\r\n', b'\r\r', b'\n\r\n', b'\r\n\n'])
    def test_each_end_of_an_event(self, end: bytes) -> None:
        """Guards against an event that is held back, as its end came in two parts."""
        content = b'data: a' + end
        for size in range(1, len(end) + 1):
            splitter = EventSplitter()
            whole = splitter.feed(content[:-size]) + splitter.feed(content[-size:])
            assert whole.strip() == b'data: a'
            assert splitter.is_between_events

    def test_event_beyond_the_size_limit_is_refused(self) -> None:
        """Guards against an upstream that fills the memory."""
        splitter = EventSplitter()
        with pytest.raises(EventTooLargeError):
            splitter.feed(b'x' * (MAX_EVENT_BYTES + 1))
