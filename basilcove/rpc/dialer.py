"""Maintains a link to each seed."""

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
from basilcove.rpc.envelopes import identify_peer
from basilcove.rpc.exceptions import LinkError
from basilcove.rpc.links import LinkTable, Stream
from basilcove.rpc.messages import Heartbeat
from basilcove.rpc.seeds import Seed
from basilcove.rpc.tls import open_channel

_CANCEL_RETRY_S: Final = 0.1


class Dialer:
    """Dials every seed and redials it, on a new connection, when its link ends."""

    def __init__(self, cfg: RpcConfig, table: LinkTable) -> None:
        """Use the addresses and credentials from the settings."""
        self._cfg = cfg
        self._table = table
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cancelled: set[asyncio.Task[None]] = set()
        self._seeds = cfg.seeds
        self._extra_addresses: frozenset[str] = frozenset()

    @classmethod
    def from_config(cls, cfg: RpcConfig, table: LinkTable) -> Self:
        """Build the dialer of a node."""
        return cls(cfg, table)

    async def setup(self) -> None:
        """Start dialing."""
        self.set_extra_addresses(frozenset())

    def set_extra_addresses(self, addresses: frozenset[str]) -> None:
        """Dial these addresses in addition to the seeds; stop dialing all others."""
        self._extra_addresses = addresses
        selected = {*self._seeds, *addresses}
        for address in self._tasks.keys() - selected:
            task = self._tasks.pop(address)
            self._cancelled.add(task)
            task.add_done_callback(self._cancelled.discard)
            task.cancel()
        for address in sorted(selected - self._tasks.keys()):
            self._tasks[address] = asyncio.create_task(self._maintain_link(Seed.from_config(address)))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds with those of changed settings."""
        self._seeds = seeds
        self.set_extra_addresses(self._extra_addresses)

    async def unload(self) -> None:
        """Stop dialing and end the links."""
        pending = {*self._tasks.values(), *self._cancelled}
        while pending:
            # gRPC loses a cancellation that coincides with the refusal of a call, so it is repeated.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=_CANCEL_RETRY_S)
        self._tasks.clear()

    async def _maintain_link(self, seed: Seed) -> None:
        delay = RECONNECT_MIN_S
        while True:
            try:
                peer = await self._dial(seed)
            except (BasilcoveError, grpc.RpcError, OSError) as exc:
                logger.debug('link to {} ended: {}', seed.address, exc)
                delay = min(delay * 2, RECONNECT_MAX_S)
            else:
                delay = RECONNECT_MIN_S
                await self._wait_until_needed(peer)
            await asyncio.sleep(delay)

    async def _wait_until_needed(self, peer: Peer | None) -> None:
        while peer is not None and self._has_link_dialed_by(peer):
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
        while peer is not None and not self._table.is_wanted(peer):
            await asyncio.sleep(SAMPLE_CHECK_INTERVAL_S)

    async def _dial(self, seed: Seed) -> Peer | None:
        """Run a link until it ends; return the peer if it currently needs no link from this process."""
        channel = open_channel(self._cfg, seed)
        try:
            # Unlike ``wait_for`` of Python 3.11, ``timeout`` never loses a cancellation.
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.channel_ready()
            call = rpc_pb2_grpc.NodeStub(channel).Link()
            await call.write(self._table.identity.wrap(Heartbeat(self._table.identity.zone)))
            peer = await self._receive_introduction(seed, call)
            if self._has_link_dialed_by(peer) or not self._table.is_wanted(peer):
                return peer
            return await self._run_while_wanted(peer, call)
        finally:
            await channel.close()

    async def _receive_introduction(self, seed: Seed, call: Stream) -> Peer:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            first = await call.read()
        if not isinstance(first, pb.Envelope):
            raise LinkError(f'{seed.address} closed the link before introducing itself')
        return identify_peer(first, seed.common_name)

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

    def _has_link_dialed_by(self, peer: Peer) -> bool:
        """Return whether a link that the peer dialed makes this one redundant.

        Nodes that dial each other keep the link dialed by the node with the lower id.
        """
        return peer.node < self._table.identity.node and self._table.has_link(peer.node)
