from collections.abc import Iterator

import pytest

from basilcove.core.events import Count, Effect, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import InstanceId, ServiceName
from basilcove.gateway.config import GatewayConfig
from basilcove.gateway.events import AttemptResult, CallerLeft, MoveAttempt, Refuse
from basilcove.gateway.headers import GatewayHeaders
from basilcove.gateway.messages import LongRequest, OpenAttempts, SlowInstances
from basilcove.gateway.outcomes import NO_ROOM
from basilcove.helpers.codec import encode
from basilcove.http1.headers import HttpRequest
from tests.gateway.world import CONTROL, OTHER_CONTROL, World, document, only_start, starts

DESK = ServiceName('desk')
SIZE = 100_000
LONG = 40_000
RETRIED = (AttemptResult.UNSENT, AttemptResult.NOT_RUN, AttemptResult.FAILED, AttemptResult.LOST)


class Sized(World):
    """A gateway whose service states a memory, and that knows what others hold."""

    def __init__(self, *upstreams: str) -> None:
        super().__init__(*upstreams)
        self.apply_document(document(services={'desk': {'memory_tokens': SIZE}}), revision=2)
        self.report_others({})

    def held(self) -> dict[str, int]:
        return {name: each.held_tokens for name, each in self.state.pools.by_instance.items()}

    def sent(self) -> Iterator[OpenAttempts]:
        for effect in self.apply(Tick()):
            if isinstance(effect, Send) and isinstance(effect.message, OpenAttempts):
                yield effect.message


def check_refusal(effects: list[Effect]) -> None:
    """Check that effects refuse a request as a full group does, and count it."""
    refusal = next(effect for effect in effects if isinstance(effect, Refuse))
    assert (refusal.status, refusal.reason) == (503, NO_ROOM.reason)
    assert refusal.retry_after_s
    assert Count('gateway_memory_refusals', (('service', 'desk'),)) in effects


class TestSelection:
    def test_upstream_without_room_is_avoided(self) -> None:
        """Guards against a long prompt at an upstream that other gateways have filled."""
        world = Sized('up-1', 'up-2')
        world.report_others({'up-2': 3}, {'up-1': 70_000})
        assert only_start(world.ask(tokens=LONG)).instance == 'up-2'
        assert only_start(world.ask(tokens=900)).instance == 'up-1'

    def test_own_requests_count_at_once(self) -> None:
        """Guards against two long prompts of one gateway that meet before any totals arrive."""
        world = Sized('up-1', 'up-2')
        first, second = (only_start(world.ask(tokens=60_000)).instance for _ in range(2))
        assert first != second
        check_refusal(world.ask(tokens=60_000))

    def test_long_requests_of_others_count_before_the_totals(self) -> None:
        """Guards against a long prompt at an upstream that got one after the last totals."""
        world = Sized('up-1')
        long = LongRequest(InstanceId('up-1'), LONG)
        world.apply(Received(CONTROL, long))
        check_refusal(world.ask(tokens=LONG))
        world.report_others({})
        assert Send(CONTROL.node, long) in world.ask(tokens=LONG)

    def test_short_requests_are_not_announced(self) -> None:
        """Guards against a message to each gateway for each request."""
        world = Sized('up-1')
        assert not any(isinstance(effect, Send) for effect in world.ask(tokens=900))

    def test_request_beyond_every_memory_is_refused(self) -> None:
        """Guards against a request that crashes even an idle upstream, and a refusal of all that fit one."""
        world = Sized('up-1')
        check_refusal(world.ask(tokens=SIZE + 1))
        assert only_start(world.ask(tokens=SIZE))

    @pytest.mark.parametrize('result', RETRIED)
    def test_retry_needs_room(self, result: AttemptResult) -> None:
        """Guards against a retry that exceeds a memory, and that spends the retry budget for nothing."""
        world = Sized('up-1', 'up-2')
        start = only_start(world.ask(tokens=LONG))
        other = 'up-1' if start.instance == 'up-2' else 'up-2'
        world.report_others({}, {other: 70_000})
        assert not list(starts(world.end(start, result)))
        assert not world.state.budget(DESK).retries

    def test_stream_moves_only_where_there_is_room(self) -> None:
        """Guards against a stream that is ended for a move that its tokens don't allow."""
        world = Sized('up-1', 'up-2')
        start = only_start(world.ask('/brief/x', tokens=LONG))
        other = 'up-1' if start.instance == 'up-2' else 'up-2'
        for held, is_moved in ((70_000, False), (0, True)):
            world.report_others({}, {other: held})
            world.now += 1
            effects = world.apply(Received(CONTROL, SlowInstances((InstanceId(start.instance),))))
            assert any(isinstance(effect, MoveAttempt) for effect in effects) == is_moved

    def test_short_requests_are_assigned_as_without_a_memory(self) -> None:
        """Guards against another distribution of load where memory is no concern."""
        names = [f'up-{number:02}' for number in range(24)]
        plain, sized = World(*names), Sized(*names)
        counts = {name: number % 3 for number, name in enumerate(names)}
        for world in (plain, sized):
            world.state.pools.gateways = 42
            world.report_others(counts, dict.fromkeys(names, 20_000))
        for _ in range(60):
            assert only_start(plain.ask(tokens=900)).instance == only_start(sized.ask(tokens=900)).instance


class TestCounting:
    @pytest.mark.parametrize('ends', range(3))
    def test_tokens_are_held_until_the_attempt_ends(self, ends: int) -> None:
        """Guards against memory that stays taken, or that is free while the upstream still runs a request."""
        world = Sized('up-1')
        start = only_start(world.ask(tokens=LONG))
        assert world.held() == {'up-1': LONG}
        if ends == 0:
            world.end(start, AttemptResult.ANSWERED)
        elif ends == 1:
            world.apply(CallerLeft(start.key))
        else:
            world.now += 10
            world.apply(Tick())
        assert world.held() == {'up-1': 0}

    def test_tokens_are_sent_only_where_a_memory_is_stated(self) -> None:
        """Guards against more bytes in deployments that state none, and totals without these tokens."""
        sized, plain = Sized('up-1'), World('up-1')
        for world in (sized, plain):
            world.ask(tokens=900)
        assert OpenAttempts({'up-1': 1}, True, {'up-1': 900}) in sized.sent()
        message = next(iter(Sized.sent(plain)))  # type: ignore[arg-type]
        assert encode(message)[1] == b'\n\x08\n\x04up-1\x10\x01\x10\x01'

    def test_without_totals_a_gateway_keeps_to_its_share(self) -> None:
        """Guards against gateways that each fill the memory while no host tells them of the others."""
        world = Sized('up-1')
        world.state.pools.gateways = 10
        world.apply(PeerLost(CONTROL))
        assert only_start(world.ask(tokens=6_000))
        check_refusal(world.ask(tokens=6_000))
        assert only_start(world.ask(tokens=4_000))
        world.apply(PeerFound(OTHER_CONTROL))
        check_refusal(world.ask(tokens=6_000))

    def test_without_totals_one_long_request_fits(self) -> None:
        """Guards against long prompts that no gateway sends while control hosts are lost."""
        world = Sized('up-1')
        world.state.pools.gateways = 42
        world.apply(PeerLost(CONTROL))
        assert only_start(world.ask(tokens=SIZE))
        check_refusal(world.ask(tokens=1))


class TestHeader:
    def test_name_comes_from_the_settings(self) -> None:
        """Guards against tokens that are read from another header than the one that callers send."""
        names = {'token_usage': 'X-Usage'}
        headers = GatewayHeaders(GatewayConfig.model_validate({'listen': ':0', 'headers': names}))
        request = HttpRequest(b'POST', b'/x', [(b'x-usage', b'1460,80')], b'x' * 400, keeps_alive=True)
        assert headers.read(request).tokens == 1540
        other = HttpRequest(
            b'POST', b'/x', [(b'Basilcove-Token-Usage', b'1,2')], b'x' * 400, keeps_alive=True
        )
        assert headers.read(other).tokens == 100
