"""Keeps a link open to each seed."""

import asyncio
from typing import Final, Self

import grpc
from loguru import logger

from basilcove.core.events import Peer
from basilcove.exceptions import BasilcoveError
from basilcove.rpc import rpc_pb2 as pb
from basilcove.rpc import rpc_pb2_grpc
from basilcove.rpc.config import RpcConfig
from basilcove.rpc.const import (
    CONNECT_TIMEOUT_S,
    LINK_CHECK_INTERVAL_S,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    SAMPLE_CHECK_INTERVAL_S,
)
from basilcove.rpc.envelopes import introduce
from basilcove.rpc.exceptions import LinkError
from basilcove.rpc.links import LinkTable, Stream
from basilcove.rpc.messages import Heartbeat
from basilcove.rpc.seeds import Seed
from basilcove.rpc.tls import open_channel

_CANCEL_AGAIN_S: Final = 0.1


class Dialer:
    """Dials every seed and dials again, on a new connection, when a link ends."""

    def __init__(self, cfg: RpcConfig, table: LinkTable) -> None:
        """Take addresses and credentials from settings."""
        self._cfg = cfg
        self._table = table
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._leaving: set[asyncio.Task[None]] = set()
        self._seeds = cfg.seeds
        self._others: frozenset[str] = frozenset()

    @classmethod
    def from_config(cls, cfg: RpcConfig, table: LinkTable) -> Self:
        """Build the dialer of a node."""
        return cls(cfg, table)

    async def setup(self) -> None:
        """Start dialing."""
        self.keep(frozenset())

    def keep(self, others: frozenset[str]) -> None:
        """Dial these addresses besides the seeds, and no longer those that are neither."""
        self._others = others
        wanted = {*self._seeds, *others}
        for address in self._tasks.keys() - wanted:
            task = self._tasks.pop(address)
            self._leaving.add(task)
            task.add_done_callback(self._leaving.discard)
            task.cancel()
        for address in sorted(wanted - self._tasks.keys()):
            self._tasks[address] = asyncio.create_task(self._keep(Seed.from_config(address)))

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Dial the seeds of changed settings in place of the former ones."""
        self._seeds = seeds
        self.keep(self._others)

    async def unload(self) -> None:
        """Stop dialing and end the links."""
        pending = {*self._tasks.values(), *self._leaving}
        while pending:
            # gRPC loses a cancellation that coincides with the refusal of a call.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=_CANCEL_AGAIN_S)
        self._tasks.clear()

    async def _keep(self, seed: Seed) -> None:
        delay = RECONNECT_MIN_S
        while True:
            try:
                other = await self._dial(seed)
            except (BasilcoveError, grpc.RpcError, OSError) as exc:
                logger.debug('link to {} ended: {}', seed.address, exc)
                delay = min(delay * 2, RECONNECT_MAX_S)
            else:
                delay = RECONNECT_MIN_S
                await self._while_needless(other)
            await asyncio.sleep(delay)

    async def _while_needless(self, peer: Peer | None) -> None:
        while peer is not None and self._is_linked_by(peer):
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
        while peer is not None and not self._table.is_wanted(peer):
            await asyncio.sleep(SAMPLE_CHECK_INTERVAL_S)

    async def _dial(self, seed: Seed) -> Peer | None:
        """Run a link until it ends; return a peer that needs no link from this process for now."""
        channel = open_channel(self._cfg, seed)
        try:
            # Unlike ``wait_for`` of Python 3.11, ``timeout`` never loses a cancellation.
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.channel_ready()
            call = rpc_pb2_grpc.NodeStub(channel).Link()
            await call.write(self._table.identity.wrap(Heartbeat(self._table.identity.zone)))
            peer = await self._introduced(seed, call)
            if self._is_linked_by(peer) or not self._table.is_wanted(peer):
                return peer
            return await self._run_while_wanted(peer, call)
        finally:
            await channel.close()

    async def _introduced(self, seed: Seed, call: Stream) -> Peer:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            first = await call.read()
        if not isinstance(first, pb.Envelope):
            raise LinkError(f'{seed.address} closed the link at once')
        return introduce(first, seed.common_name)

    async def _run_while_wanted(self, peer: Peer, call: Stream) -> Peer | None:
        running = asyncio.create_task(self._table.run(peer, call))
        try:
            while not running.done():
                await asyncio.wait((running,), timeout=SAMPLE_CHECK_INTERVAL_S)
                if not running.done() and not self._table.is_wanted(peer):
                    return peer
            await running
        finally:
            running.cancel()
        return None

    def _is_linked_by(self, peer: Peer) -> bool:
        """Tell whether a link that the peer dialed makes this one superfluous.

        Nodes that dial each other keep the link that the lower node id dialed.
        """
        return peer.node < self._table.identity.node and self._table.has_link(peer.node)
