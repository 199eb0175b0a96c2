"""Links to peers: queues of envelopes, signs of life, and their table."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, Protocol

import grpc
from loguru import logger

from basilcove.const import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S
from basilcove.core.events import Event, Message, Peer, PeerFound, PeerLost, Received
from basilcove.core.ids import NodeId
from basilcove.exceptions import BasilcoveError
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc.const import MAX_BATCH_BYTES, MAX_QUEUED_ENVELOPES
from basilcove.rpc.envelopes import Identity, unwrap
from basilcove.rpc.exceptions import LinkError, PeerRefusedError
from basilcove.rpc.messages import Heartbeat

DirectHandler = Callable[[Peer, Message], None]

# Keeps a message that was sent shortly after the last beat from delaying the next by a whole interval.
_IDLE_SHARE: Final = 0.5


class Stream(Protocol):
    """Either end of a gRPC bidirectional stream."""

    async def read(self) -> pb.Envelope:
        """Return the next envelope, or ``grpc.aio.EOF``."""

    async def write(self, envelope: pb.Envelope) -> None:
        """Send an envelope, waiting for flow control."""


class Link:
    """One stream with a peer and the envelopes that wait to be sent on it."""

    def __init__(self, peer: Peer, identity: Identity) -> None:
        """Start with an empty queue."""
        self.peer = peer
        self.last_heard = time.monotonic()
        self.bytes_sent = 0
        self._sent_at = 0.0
        self._identity = identity
        self._queue: asyncio.Queue[pb.Envelope] = asyncio.Queue(MAX_QUEUED_ENVELOPES)
        self._closed = asyncio.Event()

    def send(self, msg: Message) -> None:
        """Queue a message; a full queue closes the link."""
        try:
            self._queue.put_nowait(self._identity.wrap(msg))
        except asyncio.QueueFull:
            logger.warning('queue to {} is full, closing the link', self.peer.node)
            self.close()

    def close(self) -> None:
        """Make ``run`` return soon."""
        self._closed.set()

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
            size = envelope.ByteSize()
            while size < MAX_BATCH_BYTES and not self._queue.empty():
                following = self._queue.get_nowait()
                size += following.ByteSize()
                envelope.more.append(following)
            self.bytes_sent += size
            self._sent_at = time.monotonic()
            await stream.write(envelope)

    async def _read(self, stream: Stream, deliver: Callable[[pb.Envelope], None]) -> None:
        while True:
            envelope = await stream.read()
            if envelope is grpc.aio.EOF:
                return
            self.last_heard = time.monotonic()
            for one in (envelope, *envelope.more):
                if one.sender != self.peer.node or one.incarnation != self.peer.incarnation:
                    raise PeerRefusedError(f'{one.sender} speaks on the link of {self.peer.node}')
                deliver(one)

    def beat(self, now: float) -> None:
        """Send a sign of life if nothing else was sent lately; close a link whose peer is silent."""
        if now - self.last_heard >= PEER_TIMEOUT_S:
            logger.info('{} is silent, closing the link', self.peer.node)
            self.close()
        elif now - self._sent_at >= HEARTBEAT_INTERVAL_S * _IDLE_SHARE:
            self.send(Heartbeat(self._identity.zone))


class LinkTable:
    """All links of this process by peer; the driver of ``Send``."""

    def __init__(self, identity: Identity, apply: Callable[[Event], None]) -> None:
        """Deliver events to ``apply``, on the loop's thread."""
        self.identity = identity
        self._apply = apply
        self._links: dict[NodeId, list[Link]] = {}
        self._direct: dict[type, DirectHandler] = {}
        self._closed_bytes_sent = 0

    def deliver_directly(self, message_type: type[Message], handler: DirectHandler) -> None:
        """Hand messages of this type to a function instead of the reducer."""
        self._direct[message_type] = handler

    def send(self, node: NodeId, msg: Message) -> bool:
        """Queue a message on the newest link to a node; False without a link."""
        links = self._links.get(node)
        if not links:
            return False
        links[-1].send(msg)
        return True

    def has_link(self, node: NodeId) -> bool:
        """Tell whether there is a link to a node."""
        return node in self._links

    @property
    def bytes_sent(self) -> int:
        """Bytes of all envelopes sent since the start."""
        open_links = (link for links in self._links.values() for link in links)
        return self._closed_bytes_sent + sum(link.bytes_sent for link in open_links)

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
        """Beat on all links together until cancelled; one wake-up costs more than many beats."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            now = time.monotonic()
            for links in tuple(self._links.values()):
                for link in links:
                    link.beat(now)

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
        link = Link(peer, self.identity)
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
        self._closed_bytes_sent += link.bytes_sent
        if not links:
            self._links.pop(link.peer.node)
        # What was in flight on this link may be lost even if the peer has opened another one meanwhile.
        self._apply(PeerLost(link.peer))
        if links:
            self._apply(PeerFound(links[-1].peer))

    def _deliver(self, peer: Peer, envelope: pb.Envelope) -> None:
        try:
            msg = unwrap(envelope)
        except BasilcoveError as exc:
            logger.warning('message from {} dropped: {}', peer.node, exc)
            return
        if isinstance(msg, Heartbeat):
            return
        direct = self._direct.get(type(msg))
        if direct is not None:
            direct(peer, msg)
            return
        self._apply(Received(peer, msg))
