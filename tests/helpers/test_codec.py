import pytest

from basilcove.helpers.codec import CodecError, decode, encode
from basilcove.rpc.messages import Heartbeat


class TestCodec:
    def test_message_survives_the_round_trip(self) -> None:
        """Guards against fields that are lost between two processes."""
        sent = Heartbeat('bunbury-office')
        assert decode(*encode(sent)) == sent

    @pytest.mark.parametrize(('kind', 'body'), [('no.such', b''), ('rpc.heartbeat', b'\xff\xff')])
    def test_malformed_input_is_refused(self, kind: str, body: bytes) -> None:
        """Guards against a crash on input from a foreign or newer process."""
        with pytest.raises(CodecError):
            decode(kind, body)
