"""Links to peers: queues of envelopes, heartbeats, and the table of links."""

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
from basilcove.rpc.envelopes import Identity, unwrap, wrap_message
from basilcove.rpc.exceptions import LinkError, PeerRefusedError
from basilcove.rpc.messages import Heartbeat

DirectHandler = Callable[[Peer, Message], None]

# Both sides are identified, so heartbeats after the first carry no zone and are not decoded.
_HEARTBEAT: Final = wrap_message(Heartbeat(''))


class Stream(Protocol):
    """Client or server end of a bidirectional gRPC stream."""

    async def read(self) -> pb.Envelope:
        """Return the next envelope, or ``grpc.aio.EOF``."""

    async def write(self, envelope: pb.Envelope) -> None:
        """Send an envelope; waits for flow control."""


@dataclass(slots=True)
class Traffic:
    """Number and bytes of the messages in one direction, without the framing of gRPC and TCP."""

    messages: int = 0
    size_bytes: int = 0

    def add(self, envelope: pb.Envelope) -> None:
        """Count an envelope and those that share its frame."""
        self.messages += 1 + len(envelope.more)
        self.size_bytes += envelope.ByteSize()

    def plus(self, others: Iterable['Traffic']) -> 'Traffic':
        """Return the sum of this and the others."""
        total = Traffic(self.messages, self.size_bytes)
        for other in others:
            total.messages += other.messages
            total.size_bytes += other.size_bytes
        return total


class Link:
    """A stream with a peer and the queue of envelopes to send on it."""

    def __init__(self, peer: Peer) -> None:
        """Start with an empty queue; the introduction counts as sent and received now."""
        self.peer = peer
        self.last_received_at = time.monotonic()
        self.sent = Traffic()
        self.received = Traffic()
        self._sent_at = self.last_received_at
        self._queue: asyncio.Queue[pb.Envelope] = asyncio.Queue(MAX_QUEUED_ENVELOPES)
        # Messages that are delayed until the next one, and the timer that queues them if none follows.
        self._delayed: list[Message] = []
        self._delay_timer: asyncio.TimerHandle | None = None
        self._closed = asyncio.Event()

    def send(self, msg: Message, *, may_wait: bool = False) -> None:
        """Queue a message; a full queue closes the link.

        With ``may_wait`` it is queued together with the next message, at the latest after
        ``MAX_MESSAGE_WAIT_S``.
        """
        if not may_wait:
            self._queue_delayed()
            self._enqueue(wrap_message(msg))
            return
        self._delayed.append(msg)
        if self._delay_timer is None:
            self._delay_timer = asyncio.get_running_loop().call_later(MAX_MESSAGE_WAIT_S, self._queue_delayed)

    @property
    def is_closed(self) -> bool:
        """Return whether ``run`` is about to return."""
        return self._closed.is_set()

    def close(self) -> None:
        """Make ``run`` return soon."""
        self._closed.set()

    def _queue_delayed(self) -> None:
        if self._delay_timer is None:
            return
        self._delay_timer.cancel()
        self._delay_timer = None
        for msg in self._delayed:
            self._enqueue(wrap_message(msg))
        self._delayed.clear()

    def _enqueue(self, envelope: pb.Envelope) -> None:
        try:
            self._queue.put_nowait(envelope)
        except asyncio.QueueFull:
            logger.warning('queue to {} is full, closing the link', self.peer.node)
            self.close()

    async def run(self, stream: Stream, deliver: Callable[[pb.Envelope], None]) -> None:
        """Send and receive envelopes until the stream breaks or the link is closed, such as for silence."""
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
                # The next message serves as a heartbeat too, and nothing may be added to the heartbeat, since
                # all links share its envelope.
                continue
            self._batch(envelope)
            self.sent.add(envelope)
            self._sent_at = time.monotonic()
            await stream.write(envelope)

    def _batch(self, envelope: pb.Envelope) -> None:
        """Add other queued envelopes to this one, so that they share a frame."""
        size = envelope.ByteSize()
        while size < MAX_BATCH_BYTES and not self._queue.empty():
            next_envelope = self._queue.get_nowait()
            size += next_envelope.ByteSize()
            envelope.more.append(next_envelope)

    async def _read(self, stream: Stream, deliver: Callable[[pb.Envelope], None]) -> None:
        while True:
            envelope = await stream.read()
            if envelope is grpc.aio.EOF:
                return
            self.last_received_at = time.monotonic()
            self.received.add(envelope)
            for single in (envelope, *envelope.more):
                sender = (single.sender, single.incarnation)
                if single.sender and sender != (self.peer.node, self.peer.incarnation):
                    raise PeerRefusedError(f'{single.sender} speaks on the link of {self.peer.node}')
                deliver(single)

    def check(self, now: float, paused_s: float = 0) -> None:
        """Send a heartbeat if nothing else was sent recently; close the link if its peer is silent.

        ``paused_s`` is the time since the last check in which this process did not run and could not receive.
        """
        self.last_received_at = min(now, self.last_received_at + paused_s)
        if now - self.last_received_at > PEER_TIMEOUT_S - LINK_CHECK_INTERVAL_S:
            logger.info('{} is silent, closing the link', self.peer.node)
            self.close()
        elif now - self._sent_at >= HEARTBEAT_AFTER_S:
            self._enqueue(_HEARTBEAT)


class LinkTable:
    """Links of this process by peer; the driver of ``Send``."""

    def __init__(self, identity: Identity, apply: Callable[[Event], object]) -> None:
        """Deliver events to ``apply``, on the loop's thread."""
        self.identity = identity
        self.is_wanted: Callable[[Peer], bool] = lambda _: True
        self._apply = apply
        self._links: dict[NodeId, list[Link]] = {}
        self._direct_handlers: dict[type, DirectHandler] = {}
        self._closed_sent = Traffic()
        self._closed_received = Traffic()

    def deliver_directly(self, message_type: type[Message], handler: DirectHandler) -> None:
        """Pass messages of this type to a handler instead of the reducer."""
        self._direct_handlers[message_type] = handler

    def set_peer_filter(self, is_wanted: Callable[[Peer], bool]) -> None:
        """Set the function that returns whether this process should have a link to a peer that it dials."""
        self.is_wanted = is_wanted

    def send(self, node: NodeId, msg: Message, *, may_wait: bool = False) -> bool:
        """Queue a message on the newest link to a node; return False if there is none."""
        links = self._links.get(node)
        if not links:
            return False
        links[-1].send(msg, may_wait=may_wait)
        return True

    def has_link(self, node: NodeId) -> bool:
        """Return whether there is a link to a node."""
        return node in self._links

    @property
    def nodes(self) -> tuple[NodeId, ...]:
        """Return the linked nodes."""
        return tuple(self._links)

    @property
    def sent(self) -> Traffic:
        """Return the traffic sent since the start."""
        return self._closed_sent.plus(link.sent for links in self._links.values() for link in links)

    @property
    def received(self) -> Traffic:
        """Return the traffic received since the start."""
        return self._closed_received.plus(link.received for links in self._links.values() for link in links)

    async def run(self, peer: Peer, stream: Stream) -> None:
        """Run a link to an identified peer until it ends.

        PeerRefusedError if a newer incarnation of the peer is already linked.
        """
        link = self._open(peer)
        try:
            await link.run(stream, lambda envelope: self._deliver(peer, envelope))
        finally:
            self._close(link)

    async def keep_alive(self) -> None:
        """Check all links periodically until cancelled, together, as one wake-up costs more than many checks.

        When a whole machine pauses, its processes resume together. Each would find all of its peers silent
        before it reads what they sent, and close working links; the time of such a pause is not counted.
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
                    link.check(now, paused_s)

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
        self._closed_sent = self._closed_sent.plus((link.sent,))
        self._closed_received = self._closed_received.plus((link.received,))
        if not links:
            self._links.pop(link.peer.node)
        # Messages in flight on this link may be lost even if the peer has already opened another one.
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
        handler = self._direct_handlers.get(type(msg))
        if handler is not None:
            handler(peer, msg)
            return
        self._apply(Received(peer, msg))
