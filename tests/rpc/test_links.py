import asyncio
import itertools
import time

import grpc
import pytest

from basilcove.const import MAX_REQUEST_BYTES, PEER_TIMEOUT_S
from basilcove.core.events import Peer, PeerFound, PeerLost, Received
from basilcove.core.ids import AttemptId, Incarnation, NodeId, Role, Zone
from basilcove.requests.messages import AnswerChunk, AttemptStarted, CancelAttempt
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.const import HEARTBEAT_AFTER_S, LINK_CHECK_INTERVAL_S
from basilcove.rpc.envelopes import Identity, wrap_next
from basilcove.rpc.exceptions import LinkError
from basilcove.rpc.links import Link
from tests.harness.forwarder import Forwarder
from tests.harness.processes import free_address
from tests.rpc.nodes import LinkNode, dial, is_replaced, linked, plain, run, serve, until

SAMPLE = CancelAttempt('a', 1, 2, only_if_waiting=True)
SAMPLE_KIND = 'requests.cancel_attempt'


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
            async with linked() as (entry, agent):
                entry.table.send(NodeId('agent-1'), SAMPLE)
                agent.table.send(NodeId('entry-1'), SAMPLE)
                await until(lambda: entry.seen(Received) and agent.seen(Received))

        run(scenario)

    def test_large_messages_travel_both_ways(self) -> None:
        """Guards against a large request that breaks the link, and with it all others on the link."""

        async def scenario() -> None:
            large = AnswerChunk(AttemptId('a'), 0, bytes(MAX_REQUEST_BYTES))
            async with linked() as (entry, agent):
                entry.table.send(NodeId('agent-1'), large)
                agent.table.send(NodeId('entry-1'), large)
                await until(lambda: entry.seen(Received) and agent.seen(Received))
                assert not entry.seen(PeerLost)

        run(scenario)

    def test_messages_that_are_ready_together_keep_their_order(self) -> None:
        """Guards against messages that are lost or overtaken where several share a frame."""

        async def scenario() -> None:
            async with linked() as (entry, agent):
                for number in range(500):
                    agent.table.send(NodeId('entry-1'), CancelAttempt('a', number, 2, only_if_waiting=True))
                await until(lambda: len(entry.seen(Received)) >= 500)
                numbers = [event.message.number for event in entry.seen(Received)]
                assert numbers == list(range(500))

        run(scenario)

    def test_silent_connection_is_replaced_by_a_new_one(self) -> None:
        """Guards against waiting for TCP timeouts when something between the ends lost the connection."""

        async def scenario() -> None:
            target, between = free_address(), free_address()
            entry, agent = LinkNode('entry-1', Role.ENTRY), LinkNode('agent-1', Role.AGENT)
            with Forwarder(between, target) as forwarder:
                async with serve(entry, plain(target)), dial(agent, plain('', between)):
                    await until(lambda: agent.seen(PeerFound))
                    forwarder.silence(keep_new=True)
                    await until(lambda: is_replaced(agent) and is_replaced(entry))
                    agent.table.send(NodeId('entry-1'), SAMPLE)
                    await until(lambda: entry.seen(Received))

        run(scenario)

    def test_unwanted_peer_is_left_and_linked_again(self) -> None:
        """Guards against an agent that stays linked to entries that have not drawn it, or never returns."""

        async def scenario() -> None:
            address = free_address()
            entry, agent = LinkNode('entry-1', Role.ENTRY), LinkNode('agent-1', Role.AGENT)
            wanted = True
            agent.table.limit(lambda _: wanted)
            async with serve(entry, plain(address)), dial(agent, plain('', address)):
                await until(lambda: entry.seen(PeerFound))
                wanted = False
                await until(lambda: agent.seen(PeerLost) and entry.seen(PeerLost))
                wanted = True
                await until(lambda: len(agent.seen(PeerFound)) == 2)

        run(scenario)

    def test_lost_link_is_reported_although_another_is_open(self) -> None:
        """Guards against attempts that wait for a silent link because the peer has dialed again."""

        async def scenario() -> None:
            node = LinkNode('entry-1', Role.ENTRY)
            peer = Peer(NodeId('agent-1'), (Role.AGENT,), Incarnation(1), Zone('nobsa'))
            streams = (_OpenStream(), _OpenStream())
            runs = [asyncio.create_task(node.table.run(peer, stream)) for stream in streams]
            await until(lambda: all(stream.is_read for stream in streams))
            streams[0].ended.set()
            await until(runs[0].done)
            assert node.events == [PeerFound(peer), PeerLost(peer), PeerFound(peer)]
            streams[1].ended.set()
            await until(runs[1].done)
            assert node.events[3:] == [PeerLost(peer)]

        run(scenario)

    def test_older_incarnation_is_refused(self) -> None:
        """Guards against a process that was replaced and still speaks for its node."""

        async def scenario() -> None:
            address = free_address()
            entry = LinkNode('entry-1', Role.ENTRY)
            newer, older = LinkNode('agent-1', Role.AGENT, 5), LinkNode('agent-1', Role.AGENT, 4)
            async with serve(entry, plain(address)), dial(newer, plain('', address)):
                await until(lambda: entry.seen(PeerFound))
                async with dial(older, plain('', address)):
                    await until(lambda: older.seen(PeerLost))
                assert [event.peer.incarnation for event in entry.seen(PeerFound)] == [5]

        run(scenario)


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
            await until(lambda: wire.written)
            link.send(AttemptStarted(AttemptId('a')), may_wait=True)
            # The idle writer would send it between two of these looks.
            looks = itertools.count()
            await until(lambda: next(looks) > 2)
            link.send(SAMPLE)
            await until(lambda: len(wire.written) > 1)
            running.cancel()
            frames = [[envelope.kind, *(one.kind for one in envelope.more)] for envelope in wire.written]
            assert frames == [[SAMPLE_KIND], ['requests.attempt_started', SAMPLE_KIND]]

        run(scenario)

    def test_it_leaves_alone_if_no_other_follows(self) -> None:
        """Guards against a message that is kept back for ever."""

        async def scenario() -> None:
            link, wire = Link(_peer('agent-1')), _Wire()
            running = asyncio.create_task(link.run(wire, lambda envelope: None))
            link.send(AttemptStarted(AttemptId('a')), may_wait=True)
            await until(lambda: wire.written)
            link.send(AttemptStarted(AttemptId('b')), may_wait=True)
            await until(lambda: len(wire.written) > 1)
            running.cancel()
            assert [len(envelope.more) for envelope in wire.written] == [0, 0]

        run(scenario)


class TestHeartbeat:
    def test_only_an_idle_link_carries_heartbeats(self) -> None:
        """Guards against heartbeats beside other messages, and against an idle link without any."""

        async def scenario() -> None:
            link, wire = Link(_peer('agent-1')), _Wire()
            running = asyncio.create_task(link.run(wire, lambda envelope: None))
            link.send(SAMPLE)
            await until(lambda: wire.written)
            link.beat(time.monotonic())
            link.beat(time.monotonic() + HEARTBEAT_AFTER_S)
            await until(lambda: len(wire.written) > 1)
            running.cancel()
            assert [envelope.kind for envelope in wire.written] == [
                'requests.cancel_attempt',
                'rpc.heartbeat',
            ]

        run(scenario)

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
            await until(lambda: wire.written)
            running.cancel()
            assert [(one.kind, len(one.more)) for one in wire.written] == [('requests.cancel_attempt', 1)]

        run(scenario)

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

        run(scenario)

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

        run(scenario)


def _peer(name: str) -> Peer:
    return Peer(NodeId(name), (Role.AGENT,), Incarnation(1), Zone('nobsa'))
