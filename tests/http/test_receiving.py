"""Property tests of the receiver: bytes split at any place."""

import itertools
import resource
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import ValidationError

from basilcove.http.config import AnnounceConfig, HttpConfig, StatusConfig
from basilcove.http.connections import bound_connections
from basilcove.http.const import MAX_HEADER_BYTES, MAX_LEADING_BYTES, RECEIVE_BYTES, SMALL_READ_BYTES
from basilcove.http.limits import ListenerLimits
from basilcove.http.receiving import RequestReceiver, Stage
from basilcove.http1.refusals import RefusalKind

MAX_BODY_BYTES = 1000
LIMITS = ListenerLimits(MAX_BODY_BYTES)
CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
NEXT = b'GET /next HTTP/1.1\r\n\r\n'


def feed(content: bytes, cuts: list[int], limits: ListenerLimits = LIMITS) -> RequestReceiver:
    """Feed the content in pieces that end at the cuts, and no more once the request has ended."""
    receiver = RequestReceiver(limits)
    ends = [0, *sorted(cut % (len(content) + 1) for cut in cuts), len(content)]
    for start, end in itertools.pairwise(ends):
        receiver.feed(content[start:end])
    return receiver


def encode(chunks: list[bytes], extension: bytes = b'') -> bytes:
    """Return a chunked request and its last chunk, without the end of its trailers."""
    sizes = (b'%x%s\r\n%s\r\n' % (len(chunk), extension, chunk) for chunk in chunks if chunk)
    return CHUNKED + b''.join(sizes) + b'0\r\n'


class TestReceiver:
    @given(st.lists(st.binary(max_size=40), max_size=20), st.lists(st.integers(0, 10_000), max_size=8))
    def test_chunked_body_in_any_pieces(self, chunks: list[bytes], cuts: list[int]) -> None:
        """Guards against a body, trailer or next request that depends on where the bytes are split."""
        receiver = feed(encode(chunks, b';a=b') + b'X-Trailer: a\r\n\r\n' + NEXT, cuts)
        assert (receiver.stage, bytes(receiver.body.content)) == (Stage.COMPLETE, b''.join(chunks))
        assert receiver.body.fault is None
        assert receiver.build_next().head == NEXT

    @given(st.binary(max_size=MAX_BODY_BYTES), st.lists(st.integers(0, 10_000), max_size=8))
    def test_sized_body_in_any_pieces(self, body: bytes, cuts: list[int]) -> None:
        """Guards against a body that takes bytes of the next request, or loses some."""
        head = b'POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % len(body)
        receiver = feed(b'\r\n' + head + body + NEXT, cuts)
        assert (receiver.head, bytes(receiver.body.content)) == (head, body)
        assert receiver.build_next().head == NEXT

    @given(st.binary(max_size=3000), st.lists(st.integers(0, 10_000), max_size=8))
    def test_memory_is_bounded_by_the_limits(self, content: bytes, cuts: list[int]) -> None:
        """Guards against bytes that are kept without being charged or limited."""
        receiver = feed(CHUNKED + b'3e8\r\n' + content, cuts)
        assert len(receiver.body.content) <= MAX_BODY_BYTES
        assert receiver.cost_bytes >= len(receiver.body.content)

    def test_cost_covers_short_lines(self) -> None:
        """Guards against header lines that are charged by the bytes sent only."""
        receiver = feed(b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 1000 + b'\r\n', [])
        assert receiver.cost_bytes > 100 * 4 * 1000


class TestReads:
    def test_framing_is_read_in_small_pieces(self) -> None:
        """Guards against reads full of tiny chunks or lines, which keep all other connections waiting."""
        receiver = RequestReceiver(ListenerLimits())
        for part in (b'', CHUNKED, b'1\r\na\r\n' * 5000, b'1'):
            receiver.feed(part)
            assert receiver.read_bytes == SMALL_READ_BYTES

    @pytest.mark.parametrize(
        'head', [b'POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n', CHUNKED + b'186a0\r\n']
    )
    def test_content_is_read_in_large_pieces(self, head: bytes) -> None:
        """Guards against many reads for a large body or chunk, and reads beyond its end."""
        receiver = feed(head + b'a' * 10_000, [], ListenerLimits())
        assert receiver.read_bytes == RECEIVE_BYTES
        receiver.feed(b'a' * 80_000)
        assert receiver.read_bytes == 10_000


class TestLimits:
    def test_head_without_end(self) -> None:
        """Guards against a head over the limit that is kept."""
        receiver = feed(b'a' * (MAX_HEADER_BYTES + 1), [])
        assert (receiver.refusal, receiver.cost_bytes) == (RefusalKind.HEADERS_TOO_LARGE, 0)

    def test_empty_lines(self) -> None:
        """Guards against empty lines without end before a request; a few are ignored."""
        assert feed(b'\r\n' * (MAX_LEADING_BYTES // 2) + NEXT, [1, 5]).head == NEXT
        assert feed(b'\r\n' * MAX_LEADING_BYTES, [1, 5]).refusal is RefusalKind.LEADING_BYTES

    def test_trailers_and_extensions_without_end(self) -> None:
        """Guards against bytes after or beside the content that have no limit."""
        trailers = feed(encode([b'a']) + b't: a\r\n' * MAX_HEADER_BYTES, [])
        extensions = feed(encode([b'a' for _ in range(100)], b';' + b'x' * 4000), [])
        assert trailers.body.fault is not None
        assert extensions.body.fault is not None

    def test_limits_of_the_settings(self) -> None:
        """Guards against settings that leave the defaults in force."""
        cfg = HttpConfig(listen=':1', max_leading_bytes=4, max_extension_bytes=14, reserved_descriptors=3)
        limits = cfg.build_limits(ListenerLimits(MAX_BODY_BYTES))
        assert feed(b'\r\n' * 2 + NEXT, [1], limits).head == NEXT
        assert feed(b'\r\n' * 3, [1], limits).refusal is RefusalKind.LEADING_BYTES
        assert feed(encode([b'a', b'b'], b';' + b'x' * 5), [], limits).body.fault is None
        assert feed(encode([b'a', b'b'], b';' + b'x' * 6), [], limits).body.fault is not None
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        assert bound_connections(replace(limits, max_connections=10**9)) == soft - 3

    @pytest.mark.parametrize(
        ('name', 'value'),
        [('max_leading_bytes', 1), ('max_extension_bytes', -1), ('reserved_descriptors', -1)],
    )
    def test_useless_settings(self, name: str, value: int) -> None:
        """Guards against settings with which a legal request is refused, or that are meaningless."""
        for config in (HttpConfig, AnnounceConfig, StatusConfig):
            with pytest.raises(ValidationError):
                config.model_validate({'listen': ':1', name: value})

    def test_cut_off_request_has_a_fault(self) -> None:
        """Guards against a call with the partial body of a sender that was cut off."""
        receiver = feed(CHUNKED + b'5\r\nab', [])
        receiver.feed_end()
        assert receiver.is_ended
        assert receiver.body.fault is not None
