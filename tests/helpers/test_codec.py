import dataclasses

import pytest

from basilcove.core.events import Message
from basilcove.core.ids import EnvironmentName, Incarnation, ModelName, Revision, Stage, UpstreamName
from basilcove.distribution.messages import Delta, Offer, Step
from basilcove.helpers.codec import CodecError, decode, encode
from basilcove.membership.messages import Announce, Load
from basilcove.rpc.messages import Heartbeat

STEP = Step(Revision(8), b'b', '[]')
ANNOUNCE = Announce(
    UpstreamName('engine-1'),
    Incarnation(1),
    Incarnation(2),
    3,
    (ModelName('rider'),),
    (),
    8,
    False,
    b'p',
    None,
)
MESSAGES = (
    Heartbeat('bunbury-office'),
    ANNOUNCE,
    dataclasses.replace(ANNOUNCE, load=Load(1.5, 2, 400)),
    Offer(EnvironmentName('demo'), Stage.TRIAL, Revision(7), b'digest', ask=True, caught_up=False),
    Delta(EnvironmentName('demo'), Stage.PRODUCTION, Revision(7), b'a', (STEP, STEP)),
)


class TestCodec:
    @pytest.mark.parametrize('sent', MESSAGES)
    def test_message_survives_the_round_trip(self, sent: Message) -> None:
        """Guards against fields of any type that are lost between two processes."""
        assert decode(*encode(sent)) == sent

    @pytest.mark.parametrize(('kind', 'body'), [('no.such', b''), ('rpc.heartbeat', b'\xff\xff')])
    def test_malformed_input_is_refused(self, kind: str, body: bytes) -> None:
        """Guards against a crash on input from a foreign or newer process."""
        with pytest.raises(CodecError):
            decode(kind, body)
