"""Links to peers: queues of envelopes, signs of life, and their table."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, Protocol

import grpc
from loguru import logger

from basilcove.const import PEER_TIMEOUT_S
from basilcove.core.events import Event, Message, Peer, PeerFound, PeerLost, Received
from basilcove.core.ids import NodeId
from basilcove.exceptions import BasilcoveError
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.const import (
    HEARTBEAT_AFTER_S,
    LINK_CHECK_INTERVAL_S,
    MAX_BATCH_BYTES,
    MAX_MESSAGE_WAIT_S,
    MAX_QUEUED_ENVELOPES,
)
from basilcove.rpc.envelopes import Identity, unwrap, wrap_next
from basilcove.rpc.exceptions import LinkError, PeerRefusedError
from basilcove.rpc.messages import Heartbeat

DirectHandler = Callable[[Peer, Message], None]

# Both sides are introduced, so later heartbeats name nothing and are not decoded.
_HEARTBEAT: Final = wrap_next(Heartbeat(''))


class Stream(Protocol):
    """Either end of a gRPC bidirectional stream."""

    async def read(self) -> pb.Envelope:
        """Return the next envelope, or ``grpc.aio.EOF``."""

    async def write(self, envelope: pb.Envelope) -> None:
        """Send an envelope, waiting for flow control."""


@dataclass(slots=True)
class Traffic:
    """Envelopes that went one way, without the framing of gRPC and TCP."""

    messages: int = 0
    size_bytes: int = 0

    def add(self, envelope: pb.Envelope) -> None:
        """Count an envelope and those that share its frame."""
        self.messages += 1 + len(envelope.more)
        self.size_bytes += envelope.ByteSize()

    def plus(self, others: Iterable['Traffic']) -> 'Traffic':
        """Return the total of this and others."""
        total = Traffic(self.messages, self.size_bytes)
        for other in others:
            total.messages += other.messages
            total.size_bytes += other.size_bytes
        return total


class Link:
    """One stream with a peer and the envelopes that wait to be sent on it."""

    def __init__(self, peer: Peer) -> None:
        """Start with an empty queue; the introduction counts as the first message."""
        self.peer = peer
        self.last_heard = time.monotonic()
        self.sent = Traffic()
        self.received = Traffic()
        self._sent_at = self.last_heard
        self._queue: asyncio.Queue[pb.Envelope] = asyncio.Queue(MAX_QUEUED_ENVELOPES)
        # Messages that wait for the next one, and what queues them if none follows.
        self._waiting: list[Message] = []
        self._release_later: asyncio.TimerHandle | None = None
        self._closed = asyncio.Event()

    def send(self, msg: Message, *, may_wait: bool = False) -> None:
        """Queue a message; a full queue closes the link.

        One that ``may_wait`` is queued together with the next message, or after ``MAX_MESSAGE_WAIT_S``.
        """
        if not may_wait:
            self._release()
            self._put(wrap_next(msg))
            return
        self._waiting.append(msg)
        if self._release_later is None:
            self._release_later = asyncio.get_running_loop().call_later(MAX_MESSAGE_WAIT_S, self._release)

    @property
    def is_closed(self) -> bool:
        """Tell whether ``run`` returns soon."""
        return self._closed.is_set()

    def close(self) -> None:
        """Make ``run`` return soon."""
        self._closed.set()

    def _release(self) -> None:
        if self._release_later is None:
            return
        self._release_later.cancel()
        self._release_later = None
        for msg in self._waiting:
            self._put(wrap_next(msg))
        self._waiting.clear()

    def _put(self, envelope: pb.Envelope) -> None:
        try:
            self._queue.put_nowait(envelope)
        except asyncio.QueueFull:
            logger.warning('queue to {} is full, closing the link', self.peer.node)
            self.close()

    async def run(self, stream: Stream, deliver: Callable[[pb.Envelope], None]) -> None:
        """Carry envelopes both ways until the stream breaks, falls silent or is closed."""
        tasks = [
            asyncio.create_task(self._write(stream)),
            asyncio.create_task(self._read(stream, deliver)),
            asyncio.create_task(self._closed.wait()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        for task in done:
            exc = None if task.cancelled() else task.exception()
            if exc is not None:
                raise LinkError(f'link to {self.peer.node}: {exc}') from exc

    async def _write(self, stream: Stream) -> None:
        while True:
            envelope = await self._queue.get()
            if envelope is _HEARTBEAT and not self._queue.empty():
                # The next message is a sign of life too, and the heartbeat is shared by all links.
                continue
            self._batch(envelope)
            self.sent.add(envelope)
            self._sent_at = time.monotonic()
            await stream.write(envelope)

    def _batch(self, envelope: pb.Envelope) -> None:
        """Add what else is ready to an envelope, so that a frame carries it together."""
        size = envelope.ByteSize()
        while size < MAX_BATCH_BYTES and not self._queue.empty():
            following = self._queue.get_nowait()
            size += following.ByteSize()
            envelope.more.append(following)

    async def _read(self, stream: Stream, deliver: Callable[[pb.Envelope], None]) -> None:
        while True:
            envelope = await stream.read()
            if envelope is grpc.aio.EOF:
                return
            self.last_heard = time.monotonic()
            self.received.add(envelope)
            for one in (envelope, *envelope.more):
                named = (one.sender, one.incarnation)
                if one.sender and named != (self.peer.node, self.peer.incarnation):
                    raise PeerRefusedError(f'{one.sender} speaks on the link of {self.peer.node}')
                deliver(one)

    def beat(self, now: float, paused_s: float = 0) -> None:
        """Send a heartbeat if nothing else was sent lately; close a link whose peer is silent.

        ``paused_s`` is the time since the last look in which this process did not run and could not hear.
        """
        self.last_heard = min(now, self.last_heard + paused_s)
        if now - self.last_heard > PEER_TIMEOUT_S - LINK_CHECK_INTERVAL_S:
            logger.info('{} is silent, closing the link', self.peer.node)
            self.close()
        elif now - self._sent_at >= HEARTBEAT_AFTER_S:
            self._put(_HEARTBEAT)


class LinkTable:
    """All links of this process by peer; the driver of ``Send``."""

    def __init__(self, identity: Identity, apply: Callable[[Event], None]) -> None:
        """Deliver events to ``apply``, on the loop's thread."""
        self.identity = identity
        self.is_wanted: Callable[[Peer], bool] = lambda _: True
        self._apply = apply
        self._links: dict[NodeId, list[Link]] = {}
        self._direct: dict[type, DirectHandler] = {}
        self._sent_before = Traffic()
        self._received_before = Traffic()

    def deliver_directly(self, message_type: type[Message], handler: DirectHandler) -> None:
        """Hand messages of this type to a function instead of the reducer."""
        self._direct[message_type] = handler

    def limit(self, is_wanted: Callable[[Peer], bool]) -> None:
        """Let this process dial only the peers for which the function is true."""
        self.is_wanted = is_wanted

    def send(self, node: NodeId, msg: Message, *, may_wait: bool = False) -> bool:
        """Queue a message on the newest link to a node; False without a link."""
        links = self._links.get(node)
        if not links:
            return False
        links[-1].send(msg, may_wait=may_wait)
        return True

    def has_link(self, node: NodeId) -> bool:
        """Tell whether there is a link to a node."""
        return node in self._links

    @property
    def nodes(self) -> tuple[NodeId, ...]:
        """Nodes that are linked."""
        return tuple(self._links)

    @property
    def sent(self) -> Traffic:
        """All envelopes sent since the start."""
        return self._sent_before.plus(link.sent for links in self._links.values() for link in links)

    @property
    def received(self) -> Traffic:
        """All envelopes received since the start."""
        return self._received_before.plus(link.received for links in self._links.values() for link in links)

    async def run(self, peer: Peer, stream: Stream) -> None:
        """Run a link to an introduced peer until it ends.

        PeerRefusedError for a process start older than one already linked.
        """
        link = self._open(peer)
        try:
            await link.run(stream, lambda envelope: self._deliver(peer, envelope))
        finally:
            self._close(link)

    async def keep_alive(self) -> None:
        """Beat on all links together until cancelled; one wake-up costs more than many beats.

        When a whole machine pauses, the processes on it wake together. Each finds all of its peers silent
        before it reads what they sent, and would close links that work.
        """
        checked_at = time.monotonic()
        while True:
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
            now = time.monotonic()
            late_s = now - checked_at - LINK_CHECK_INTERVAL_S
            paused_s = late_s if late_s > LINK_CHECK_INTERVAL_S else 0
            checked_at = now
            for links in tuple(self._links.values()):
                for link in links:
                    link.beat(now, paused_s)

    def close_all(self) -> None:
        """Close every link."""
        for links in self._links.values():
            for link in links:
                link.close()

    def _open(self, peer: Peer) -> Link:
        links = self._links.setdefault(peer.node, [])
        if any(other.peer.incarnation > peer.incarnation for other in links):
            raise PeerRefusedError(f'{peer.node} has a newer incarnation linked')
        former = [other for other in links if other.peer.incarnation < peer.incarnation]
        for other in former:
            other.close()
            self._remove(other)
        link = Link(peer)
        links = self._links.setdefault(peer.node, [])
        links.append(link)
        if len(links) == 1:
            self._apply(PeerFound(peer))
        return link

    def _close(self, link: Link) -> None:
        if link in self._links.get(link.peer.node, ()):
            self._remove(link)

    def _remove(self, link: Link) -> None:
        links = self._links[link.peer.node]
        links.remove(link)
        self._sent_before = self._sent_before.plus((link.sent,))
        self._received_before = self._received_before.plus((link.received,))
        if not links:
            self._links.pop(link.peer.node)
        # What was in flight on this link may be lost even if the peer has opened another one meanwhile.
        self._apply(PeerLost(link.peer))
        if links:
            self._apply(PeerFound(links[-1].peer))

    def _deliver(self, peer: Peer, envelope: pb.Envelope) -> None:
        if envelope.kind == _HEARTBEAT.kind:
            return
        try:
            msg = unwrap(envelope)
        except BasilcoveError as exc:
            logger.warning('message from {} dropped: {}', peer.node, exc)
            return
        direct = self._direct.get(type(msg))
        if direct is not None:
            direct(peer, msg)
            return
        self._apply(Received(peer, msg))
