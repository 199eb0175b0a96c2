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
from basilcove.rpc.envelopes import Identity, wrap_message
from basilcove.rpc.exceptions import LinkError
from basilcove.rpc.links import Link
from tests.harness.forwarder import Forwarder
from tests.harness.processes import free_address
from tests.rpc.nodes import (
    LinkNode,
    dial,
    insecure_config,
    is_replaced,
    linked,
    run_scenario,
    serve,
    wait_until,
)

SAMPLE = CancelAttempt('a', 1, 2, only_if_waiting=True)
SAMPLE_KIND = 'requests.cancel_attempt'


class _OpenStream:
    """A stream that receives nothing until it ends."""

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
                await wait_until(lambda: entry.events_of(Received) and agent.events_of(Received))

        run_scenario(scenario)

    def test_large_messages_travel_both_ways(self) -> None:
        """Guards against a large request that breaks the link, and thereby all other requests on it."""

        async def scenario() -> None:
            large = AnswerChunk(AttemptId('a'), 0, bytes(MAX_REQUEST_BYTES))
            async with linked() as (entry, agent):
                entry.table.send(NodeId('agent-1'), large)
                agent.table.send(NodeId('entry-1'), large)
                await wait_until(lambda: entry.events_of(Received) and agent.events_of(Received))
                assert not entry.events_of(PeerLost)

        run_scenario(scenario)

    def test_messages_that_are_ready_together_keep_their_order(self) -> None:
        """Guards against messages that are lost or reordered when several share a frame."""

        async def scenario() -> None:
            async with linked() as (entry, agent):
                for number in range(500):
                    agent.table.send(NodeId('entry-1'), CancelAttempt('a', number, 2, only_if_waiting=True))
                await wait_until(lambda: len(entry.events_of(Received)) >= 500)
                numbers = [event.message.number for event in entry.events_of(Received)]
                assert numbers == list(range(500))

        run_scenario(scenario)

    def test_silent_connection_is_replaced_by_a_new_one(self) -> None:
        """Guards against waiting for TCP timeouts when a middlebox lost the connection."""

        async def scenario() -> None:
            target, between = free_address(), free_address()
            entry, agent = LinkNode('entry-1', Role.ENTRY), LinkNode('agent-1', Role.AGENT)
            with Forwarder(between, target) as forwarder:
                async with serve(entry, insecure_config(target)), dial(agent, insecure_config('', between)):
                    await wait_until(lambda: agent.events_of(PeerFound))
                    forwarder.silence(keep_new=True)
                    await wait_until(lambda: is_replaced(agent) and is_replaced(entry))
                    agent.table.send(NodeId('entry-1'), SAMPLE)
                    await wait_until(lambda: entry.events_of(Received))

        run_scenario(scenario)

    def test_unwanted_peer_is_unlinked_and_linked_again(self) -> None:
        """Guards against an agent that stays linked to entries that don't sample it, or never reconnects."""

        async def scenario() -> None:
            address = free_address()
            entry, agent = LinkNode('entry-1', Role.ENTRY), LinkNode('agent-1', Role.AGENT)
            wanted = True
            agent.table.set_peer_filter(lambda _: wanted)
            async with serve(entry, insecure_config(address)), dial(agent, insecure_config('', address)):
                # The entry finds the agent first; an agent that has no link yet would never lose it.
                await wait_until(lambda: entry.events_of(PeerFound) and agent.events_of(PeerFound))
                wanted = False
                await wait_until(lambda: agent.events_of(PeerLost) and entry.events_of(PeerLost))
                wanted = True
                await wait_until(lambda: len(agent.events_of(PeerFound)) == 2)

        run_scenario(scenario)

    def test_lost_link_is_reported_although_another_is_open(self) -> None:
        """Guards against attempts that wait for a silent link because the peer has redialed."""

        async def scenario() -> None:
            node = LinkNode('entry-1', Role.ENTRY)
            peer = Peer(NodeId('agent-1'), (Role.AGENT,), Incarnation(1), Zone('nobsa'))
            streams = (_OpenStream(), _OpenStream())
            tasks = [asyncio.create_task(node.table.run(peer, stream)) for stream in streams]
            await wait_until(lambda: all(stream.is_read for stream in streams))
            streams[0].ended.set()
            await wait_until(tasks[0].done)
            assert node.events == [PeerFound(peer), PeerLost(peer), PeerFound(peer)]
            streams[1].ended.set()
            await wait_until(tasks[1].done)
            assert node.events[3:] == [PeerLost(peer)]

        run_scenario(scenario)

    def test_older_incarnation_is_refused(self) -> None:
        """Guards against a replaced process that still acts for its node."""

        async def scenario() -> None:
            address = free_address()
            entry = LinkNode('entry-1', Role.ENTRY)
            newer, older = LinkNode('agent-1', Role.AGENT, 5), LinkNode('agent-1', Role.AGENT, 4)
            async with serve(entry, insecure_config(address)), dial(newer, insecure_config('', address)):
                await wait_until(lambda: entry.events_of(PeerFound))
                async with dial(older, insecure_config('', address)):
                    await wait_until(lambda: older.events_of(PeerLost))
                assert [event.peer.incarnation for event in entry.events_of(PeerFound)] == [5]

        run_scenario(scenario)


class _RecordingStream:
    """A stream that records written envelopes and reads those that the test queues."""

    def __init__(self) -> None:
        self.written: list[pb.Envelope] = []
        self.incoming: asyncio.Queue[pb.Envelope] = asyncio.Queue()

    async def read(self) -> pb.Envelope:
        return await self.incoming.get()

    async def write(self, envelope: pb.Envelope) -> None:
        self.written.append(envelope)


class TestMessageThatMayWait:
    def test_it_shares_the_frame_of_the_next_message(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a separate frame, and against a message that overtakes an earlier one."""
        monkeypatch.setattr('basilcove.rpc.links.MAX_MESSAGE_WAIT_S', 3600)

        async def scenario() -> None:
            link, stream = Link(_peer('agent-1')), _RecordingStream()
            running = asyncio.create_task(link.run(stream, lambda envelope: None))
            link.send(SAMPLE)
            await wait_until(lambda: stream.written)
            link.send(AttemptStarted(AttemptId('a')), may_wait=True)
            # The idle writer would send it between two of these polls.
            polls = itertools.count()
            await wait_until(lambda: next(polls) > 2)
            link.send(SAMPLE)
            await wait_until(lambda: len(stream.written) > 1)
            running.cancel()
            frames = [
                [envelope.kind, *(single.kind for single in envelope.more)] for envelope in stream.written
            ]
            assert frames == [[SAMPLE_KIND], ['requests.attempt_started', SAMPLE_KIND]]

        run_scenario(scenario)

    def test_it_is_sent_alone_if_no_other_follows(self) -> None:
        """Guards against a message that is never sent."""

        async def scenario() -> None:
            link, stream = Link(_peer('agent-1')), _RecordingStream()
            running = asyncio.create_task(link.run(stream, lambda envelope: None))
            link.send(AttemptStarted(AttemptId('a')), may_wait=True)
            await wait_until(lambda: stream.written)
            link.send(AttemptStarted(AttemptId('b')), may_wait=True)
            await wait_until(lambda: len(stream.written) > 1)
            running.cancel()
            assert [len(envelope.more) for envelope in stream.written] == [0, 0]

        run_scenario(scenario)


class TestHeartbeat:
    def test_only_an_idle_link_carries_heartbeats(self) -> None:
        """Guards against heartbeats in addition to other messages, and against an idle link without any."""

        async def scenario() -> None:
            link, stream = Link(_peer('agent-1')), _RecordingStream()
            running = asyncio.create_task(link.run(stream, lambda envelope: None))
            link.send(SAMPLE)
            await wait_until(lambda: stream.written)
            link.check(time.monotonic())
            link.check(time.monotonic() + HEARTBEAT_AFTER_S)
            await wait_until(lambda: len(stream.written) > 1)
            running.cancel()
            assert [envelope.kind for envelope in stream.written] == [
                'requests.cancel_attempt',
                'rpc.heartbeat',
            ]

        run_scenario(scenario)

    def test_own_pause_does_not_count_as_silence_of_a_peer(self) -> None:
        """Guards against links closed by a process that was paused, and against ignoring a later silence."""

        async def scenario() -> None:
            paused, silent = Link(_peer('agent-1')), Link(_peer('agent-2'))
            now = time.monotonic()
            paused.check(now + PEER_TIMEOUT_S, paused_s=PEER_TIMEOUT_S - LINK_CHECK_INTERVAL_S)
            silent.check(now + PEER_TIMEOUT_S)
            assert (paused.is_closed, silent.is_closed) == (False, True)
            paused.check(now + 2 * PEER_TIMEOUT_S)
            assert paused.is_closed

        asyncio.run(scenario())

    def test_late_heartbeat_of_an_idle_peer_is_tolerated(self) -> None:
        """Guards against heartbeats so rare that a busy host, late by half a second, loses its links."""

        async def scenario() -> None:
            link = Link(_peer('agent-1'))
            # The peer may notice that its heartbeat is due one check late.
            longest_s = HEARTBEAT_AFTER_S + LINK_CHECK_INTERVAL_S
            link.check(link.last_received_at + longest_s + 0.45)
            assert not link.is_closed

        asyncio.run(scenario())

    def test_heartbeat_carries_no_other_message(self) -> None:
        """Guards against a message that stays in the heartbeat envelope, which all links share."""

        async def scenario() -> None:
            stream = _RecordingStream()
            link = Link(_peer('agent-1'))
            link.check(time.monotonic() + HEARTBEAT_AFTER_S)
            link.send(SAMPLE)
            link.send(SAMPLE)
            running = asyncio.create_task(link.run(stream, lambda envelope: None))
            await wait_until(lambda: stream.written)
            running.cancel()
            assert [(single.kind, len(single.more)) for single in stream.written] == [
                ('requests.cancel_attempt', 1)
            ]

        run_scenario(scenario)

    def test_silent_peer_is_lost_within_the_timeout(self) -> None:
        """Guards against a check that detects the silence only after the timeout."""

        async def scenario() -> None:
            link = Link(_peer('agent-1'))
            running = asyncio.create_task(link.run(_RecordingStream(), lambda envelope: None))
            last_in_time = link.last_received_at + PEER_TIMEOUT_S - LINK_CHECK_INTERVAL_S
            link.check(last_in_time)
            await asyncio.sleep(0)
            assert not running.done()
            # The next check after this one would come after the timeout.
            link.check(last_in_time + LINK_CHECK_INTERVAL_S / 10)
            async with asyncio.timeout(20):
                await running

        run_scenario(scenario)

    @pytest.mark.parametrize(('sender', 'incarnation'), [('agent-2', 1), ('agent-1', 2)])
    def test_foreign_envelope_ends_the_link(self, sender: str, incarnation: int) -> None:
        """Guards against a stream on which another process sends."""

        async def scenario() -> None:
            delivered: list[pb.Envelope] = []
            stream = _RecordingStream()
            stream.incoming.put_nowait(wrap_message(SAMPLE))
            foreign = Identity(NodeId(sender), (Role.AGENT,), Incarnation(incarnation), Zone('nobsa'))
            stream.incoming.put_nowait(foreign.wrap(SAMPLE))
            async with asyncio.timeout(20):
                with pytest.raises(LinkError):
                    await Link(_peer('agent-1')).run(stream, delivered.append)
            assert len(delivered) == 1

        run_scenario(scenario)


def _peer(name: str) -> Peer:
    return Peer(NodeId(name), (Role.AGENT,), Incarnation(1), Zone('nobsa'))
