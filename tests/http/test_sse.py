import pytest

from basilcove.http.sse import EventSplitter

STREAM = b'data: {"a":1}\n\ndata: {"b":2}\r\n\r\ndata: [DONE]\n\n'


class TestEventSplitter:
    @pytest.mark.parametrize('size', [1, 2, 3, 5, 100])
    def test_events_are_complete_for_any_chunk_size(self, size: int) -> None:
        """Guards against a caller that gets a partial event before a stream breaks."""
        splitter = EventSplitter()
        parts = [splitter.feed(STREAM[start : start + size]) for start in range(0, len(STREAM), size)]
        assert b''.join(body for body, _ in parts) == b'data: {"a":1}\n\ndata: {"b":2}\n\n'
        assert sum(count for _, count in parts) == 2
        assert splitter.is_done
        assert splitter.is_clean

    def test_cut_stream_is_not_done(self) -> None:
        """Guards against a broken stream that is treated as complete."""
        splitter = EventSplitter()
        splitter.feed(STREAM[:-4])
        assert not splitter.is_done
