import asyncio
import itertools
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import grpc
import pytest
import trustme

from basilcove.const import MAX_REQUEST_BYTES, PEER_TIMEOUT_S
from basilcove.core.events import Event, Peer, PeerFound, PeerLost, Received
from basilcove.core.ids import AttemptId, Incarnation, NodeId, Role, Zone
from basilcove.requests.messages import AnswerChunk, AttemptStarted, CancelAttempt
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.config import RpcConfig, TlsConfig
from basilcove.rpc.const import HEARTBEAT_AFTER_S, LINK_CHECK_INTERVAL_S
from basilcove.rpc.dialer import Dialer
from basilcove.rpc.envelopes import Identity, wrap_next
from basilcove.rpc.exceptions import LinkError
from basilcove.rpc.links import Link, LinkTable
from basilcove.rpc.server import OperatorServicer, RpcServer
from tests.harness.certificates import Certificates
from tests.harness.forwarder import Forwarder
from tests.harness.processes import free_address

SAMPLE = CancelAttempt('a', 1, 2, only_if_waiting=True)
SAMPLE_KIND = 'requests.cancel_attempt'


class _Node:
    def __init__(self, name: str, role: Role, incarnation: int = 1) -> None:
        self.events: list[Event] = []
        identity = Identity(NodeId(name), (role,), Incarnation(incarnation), Zone('nobsa'))
        self.table = LinkTable(identity, self.events.append)

    def seen(self, kind: type[Event]) -> list[Event]:
        return [event for event in self.events if isinstance(event, kind)]


@asynccontextmanager
async def _serve(node: _Node, cfg: RpcConfig) -> AsyncIterator[None]:
    server = RpcServer.from_config(cfg, node.table, OperatorServicer(node.table, node.events.append))
    await server.setup()
    try:
        yield
    finally:
        await server.unload()


@asynccontextmanager
async def _dial(node: _Node, cfg: RpcConfig) -> AsyncIterator[None]:
    dialer = Dialer.from_config(cfg, node.table)
    beats = asyncio.create_task(node.table.keep_alive())
    await dialer.setup()
    try:
        yield
    finally:
        beats.cancel()
        await dialer.unload()


@asynccontextmanager
async def _linked() -> AsyncIterator[tuple[_Node, _Node]]:
    address = free_address()
    entry, agent = _Node('entry-1', Role.ENTRY), _Node('agent-1', Role.AGENT)
    async with _serve(entry, _plain(address)), _dial(agent, _plain('', address)):
        await _until(lambda: entry.seen(PeerFound) and agent.seen(PeerFound))
        yield entry, agent


async def _until(condition: Callable[[], object], pause_s: float = 0.01) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(pause_s)


def _is_replaced(node: _Node) -> bool:
    return bool(node.seen(PeerLost)) and len(node.seen(PeerFound)) == 2


def _plain(listen: str, *seeds: str) -> RpcConfig:
    return RpcConfig(listen=listen, seeds=seeds, insecure=True)


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())


class _OpenStream:
    """A stream on which nothing arrives until it ends."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()
        self.is_read = False

    async def read(self) -> object:
        self.is_read = True
        await self.ended.wait()
        return grpc.aio.EOF

    async def write(self, _: object) -> None:
        await asyncio.sleep(0)


class TestLink:
    def test_messages_travel_both_ways(self) -> None:
        """Guards against a link that only the dialing side can use."""

        async def scenario() -> None:
            async with _linked() as (entry, agent):
                entry.table.send(NodeId('agent-1'), SAMPLE)
                agent.table.send(NodeId('entry-1'), SAMPLE)
                await _until(lambda: entry.seen(Received) and agent.seen(Received))

        _run(scenario)

    def test_large_messages_travel_both_ways(self) -> None:
        """Guards against a large request that breaks the link, and with it all others on the link."""

        async def scenario() -> None:
            large = AnswerChunk(AttemptId('a'), 0, bytes(MAX_REQUEST_BYTES))
            async with _linked() as (entry, agent):
                entry.table.send(NodeId('agent-1'), large)
                agent.table.send(NodeId('entry-1'), large)
                await _until(lambda: entry.seen(Received) and agent.seen(Received))
                assert not entry.seen(PeerLost)

        _run(scenario)

    def test_messages_that_are_ready_together_keep_their_order(self) -> None:
        """Guards against messages that are lost or overtaken where several share a frame."""

        async def scenario() -> None:
            async with _linked() as (entry, agent):
                for number in range(500):
                    agent.table.send(NodeId('entry-1'), CancelAttempt('a', number, 2, only_if_waiting=True))
                await _until(lambda: len(entry.seen(Received)) >= 500)
                numbers = [event.message.number for event in entry.seen(Received)]
                assert numbers == list(range(500))

        _run(scenario)

    def test_silent_connection_is_replaced_by_a_new_one(self) -> None:
        """Guards against waiting for TCP timeouts when something between the ends lost the connection."""

        async def scenario() -> None:
            target, between = free_address(), free_address()
            entry, agent = _Node('entry-1', Role.ENTRY), _Node('agent-1', Role.AGENT)
            with Forwarder(between, target) as forwarder:
                async with _serve(entry, _plain(target)), _dial(agent, _plain('', between)):
                    await _until(lambda: agent.seen(PeerFound))
                    forwarder.silence(keep_new=True)
                    await _until(lambda: _is_replaced(agent) and _is_replaced(entry))
                    agent.table.send(NodeId('entry-1'), SAMPLE)
                    await _until(lambda: entry.seen(Received))

        _run(scenario)

    def test_unwanted_peer_is_left_and_linked_again(self) -> None:
        """Guards against an agent that stays linked to entries that have not drawn it, or never returns."""

        async def scenario() -> None:
            address = free_address()
            entry, agent = _Node('entry-1', Role.ENTRY), _Node('agent-1', Role.AGENT)
            wanted = True
            agent.table.limit(lambda _: wanted)
            async with _serve(entry, _plain(address)), _dial(agent, _plain('', address)):
                await _until(lambda: entry.seen(PeerFound))
                wanted = False
                await _until(lambda: agent.seen(PeerLost) and entry.seen(PeerLost))
                wanted = True
                await _until(lambda: len(agent.seen(PeerFound)) == 2)

        _run(scenario)

    def test_lost_link_is_reported_although_another_is_open(self) -> None:
        """Guards against attempts that wait for a silent link because the peer has dialed again."""

        async def scenario() -> None:
            node = _Node('entry-1', Role.ENTRY)
            peer = Peer(NodeId('agent-1'), (Role.AGENT,), Incarnation(1), Zone('nobsa'))
            streams = (_OpenStream(), _OpenStream())
            runs = [asyncio.create_task(node.table.run(peer, stream)) for stream in streams]
            await _until(lambda: all(stream.is_read for stream in streams))
            streams[0].ended.set()
            await _until(runs[0].done)
            assert node.events == [PeerFound(peer), PeerLost(peer), PeerFound(peer)]
            streams[1].ended.set()
            await _until(runs[1].done)
            assert node.events[3:] == [PeerLost(peer)]

        _run(scenario)

    def test_older_incarnation_is_refused(self) -> None:
        """Guards against a process that was replaced and still speaks for its node."""

        async def scenario() -> None:
            address = free_address()
            entry = _Node('entry-1', Role.ENTRY)
            newer, older = _Node('agent-1', Role.AGENT, 5), _Node('agent-1', Role.AGENT, 4)
            async with _serve(entry, _plain(address)), _dial(newer, _plain('', address)):
                await _until(lambda: entry.seen(PeerFound))
                async with _dial(older, _plain('', address)):
                    await _until(lambda: older.seen(PeerLost))
                assert [event.peer.incarnation for event in entry.seen(PeerFound)] == [5]

        _run(scenario)


class _Wire:
    """A stream that records what is written and reads what the test puts in."""

    def __init__(self) -> None:
        self.written: list[pb.Envelope] = []
        self.incoming: asyncio.Queue[pb.Envelope] = asyncio.Queue()

    async def read(self) -> pb.Envelope:
        return await self.incoming.get()

    async def write(self, envelope: pb.Envelope) -> None:
        self.written.append(envelope)


class TestMessageThatMayWait:
    def test_it_shares_the_frame_of_the_next_message(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a frame of its own, and against a message that overtakes an earlier one."""
        monkeypatch.setattr('basilcove.rpc.links.MAX_MESSAGE_WAIT_S', 3600)

        async def scenario() -> None:
            link, wire = Link(_peer('agent-1')), _Wire()
            running = asyncio.create_task(link.run(wire, lambda envelope: None))
            link.send(SAMPLE)
            await _until(lambda: wire.written)
            link.send(AttemptStarted(AttemptId('a')), may_wait=True)
            # The idle writer would send it between two of these looks.
            looks = itertools.count()
            await _until(lambda: next(looks) > 2)
            link.send(SAMPLE)
            await _until(lambda: len(wire.written) > 1)
            running.cancel()
            frames = [[envelope.kind, *(one.kind for one in envelope.more)] for envelope in wire.written]
            assert frames == [[SAMPLE_KIND], ['requests.attempt_started', SAMPLE_KIND]]

        _run(scenario)

    def test_it_leaves_alone_if_no_other_follows(self) -> None:
        """Guards against a message that is kept back for ever."""

        async def scenario() -> None:
            link, wire = Link(_peer('agent-1')), _Wire()
            running = asyncio.create_task(link.run(wire, lambda envelope: None))
            link.send(AttemptStarted(AttemptId('a')), may_wait=True)
            await _until(lambda: wire.written)
            link.send(AttemptStarted(AttemptId('b')), may_wait=True)
            await _until(lambda: len(wire.written) > 1)
            running.cancel()
            assert [len(envelope.more) for envelope in wire.written] == [0, 0]

        _run(scenario)


class TestHeartbeat:
    def test_only_an_idle_link_carries_heartbeats(self) -> None:
        """Guards against heartbeats beside other messages, and against an idle link without any."""

        async def scenario() -> None:
            link, wire = Link(_peer('agent-1')), _Wire()
            running = asyncio.create_task(link.run(wire, lambda envelope: None))
            link.send(SAMPLE)
            await _until(lambda: wire.written)
            link.beat(time.monotonic())
            link.beat(time.monotonic() + HEARTBEAT_AFTER_S)
            await _until(lambda: len(wire.written) > 1)
            running.cancel()
            assert [envelope.kind for envelope in wire.written] == [
                'requests.cancel_attempt',
                'rpc.heartbeat',
            ]

        _run(scenario)

    def test_own_pause_is_not_the_silence_of_a_peer(self) -> None:
        """Guards against links closed by a process that did not run, and against silence that is forgiven."""

        async def scenario() -> None:
            paused, silent = Link(_peer('agent-1')), Link(_peer('agent-2'))
            now = time.monotonic()
            paused.beat(now + PEER_TIMEOUT_S, paused_s=PEER_TIMEOUT_S - LINK_CHECK_INTERVAL_S)
            silent.beat(now + PEER_TIMEOUT_S)
            assert (paused.is_closed, silent.is_closed) == (False, True)
            paused.beat(now + 2 * PEER_TIMEOUT_S)
            assert paused.is_closed

        asyncio.run(scenario())

    def test_late_heartbeat_of_an_idle_peer_is_no_silence(self) -> None:
        """Guards against heartbeats so seldom that a busy host, late by half a second, loses its links."""

        async def scenario() -> None:
            link = Link(_peer('agent-1'))
            # The peer finds its heartbeat due one look later than it is.
            longest_s = HEARTBEAT_AFTER_S + LINK_CHECK_INTERVAL_S
            link.beat(link.last_heard + longest_s + 0.45)
            assert not link.is_closed

        asyncio.run(scenario())

    def test_heartbeat_carries_no_other_message(self) -> None:
        """Guards against a message that stays in the heartbeat, which all links share."""

        async def scenario() -> None:
            wire = _Wire()
            link = Link(_peer('agent-1'))
            link.beat(time.monotonic() + HEARTBEAT_AFTER_S)
            link.send(SAMPLE)
            link.send(SAMPLE)
            running = asyncio.create_task(link.run(wire, lambda envelope: None))
            await _until(lambda: wire.written)
            running.cancel()
            assert [(one.kind, len(one.more)) for one in wire.written] == [('requests.cancel_attempt', 1)]

        _run(scenario)

    def test_silent_peer_is_given_up_within_the_timeout(self) -> None:
        """Guards against a check that finds the silence only after the timeout."""

        async def scenario() -> None:
            link = Link(_peer('agent-1'))
            running = asyncio.create_task(link.run(_Wire(), lambda envelope: None))
            last_in_time = link.last_heard + PEER_TIMEOUT_S - LINK_CHECK_INTERVAL_S
            link.beat(last_in_time)
            await asyncio.sleep(0)
            assert not running.done()
            # The next check after this one would come after the timeout.
            link.beat(last_in_time + LINK_CHECK_INTERVAL_S / 10)
            async with asyncio.timeout(20):
                await running

        _run(scenario)

    @pytest.mark.parametrize(('sender', 'incarnation'), [('agent-2', 1), ('agent-1', 2)])
    def test_foreign_envelope_ends_the_link(self, sender: str, incarnation: int) -> None:
        """Guards against a stream on which another process speaks."""

        async def scenario() -> None:
            delivered: list[pb.Envelope] = []
            wire = _Wire()
            wire.incoming.put_nowait(wrap_next(SAMPLE))
            foreign = Identity(NodeId(sender), (Role.AGENT,), Incarnation(incarnation), Zone('nobsa'))
            wire.incoming.put_nowait(foreign.wrap(SAMPLE))
            async with asyncio.timeout(20):
                with pytest.raises(LinkError):
                    await Link(_peer('agent-1')).run(wire, delivered.append)
            assert len(delivered) == 1

        _run(scenario)


def _peer(name: str) -> Peer:
    return Peer(NodeId(name), (Role.AGENT,), Incarnation(1), Zone('nobsa'))


class TestUnload:
    def test_dialer_ends_at_any_moment_of_an_introduction(self) -> None:
        """Guards against a cancellation that is lost when it coincides with the first message of a peer."""

        async def scenario() -> None:
            address = free_address()
            entry = _Node('entry-1', Role.ENTRY)
            async with _serve(entry, _plain(address)):
                rounds = 60
                while rounds:
                    rounds -= 1
                    await self._dial_and_unload(entry, address, rounds % 20)

        _run(scenario)

    async def _dial_and_unload(self, entry: _Node, address: str, iterations: int) -> None:
        dialer = Dialer.from_config(_plain('', address), _Node('agent-1', Role.AGENT).table)
        entry.events.clear()
        await dialer.setup()
        await _until(lambda: entry.seen(PeerFound), pause_s=0)
        while iterations:
            iterations -= 1
            await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await dialer.unload()
        await _until(lambda: not entry.table.nodes)


class TestTls:
    def test_certificate_of_another_role_is_refused(self, tmp_path: Path) -> None:
        """Guards against an agent that speaks as a control host."""

        async def scenario() -> None:
            address = free_address()
            authority = trustme.CA()
            control = _Node('control-1', Role.CONTROL)
            honest, false = _Node('agent-1', Role.AGENT), _Node('control-2', Role.CONTROL)
            seed = f'control:control-1@{address}'
            async with (
                _serve(control, _secure(tmp_path, authority, 'control:control-1', address)),
                _dial(false, _secure(tmp_path, authority, 'agent:agent-2', '', seed)),
                _dial(honest, _secure(tmp_path, authority, 'agent:agent-1', '', seed)),
            ):
                await _until(lambda: control.seen(PeerFound))
            assert [event.peer.node for event in control.seen(PeerFound)] == ['agent-1']

        _run(scenario)

    def test_server_with_another_name_is_refused(self, tmp_path: Path) -> None:
        """Guards against an agent's host that answers in place of a control host."""

        async def scenario() -> None:
            real, false = free_address(), free_address()
            authority = trustme.CA()
            control, impostor = _Node('control-1', Role.CONTROL), _Node('control-1', Role.CONTROL)
            agent = _Node('agent-1', Role.AGENT)
            seeds = [f'control:control-1@{address}' for address in (false, real)]
            async with (
                _serve(control, _secure(tmp_path, authority, 'control:control-1', real)),
                _serve(impostor, _secure(tmp_path, authority, 'agent:agent-9', false)),
                _dial(agent, _secure(tmp_path, authority, 'agent:agent-1', '', *seeds)),
            ):
                await _until(lambda: control.seen(PeerFound))
                assert not impostor.seen(PeerFound)

        _run(scenario)


def _secure(folder: Path, authority: trustme.CA, name: str, listen: str, *seeds: str) -> RpcConfig:
    files = Certificates(folder, authority).issue(name)
    return RpcConfig(listen=listen, seeds=seeds, tls=TlsConfig.model_validate(files))
