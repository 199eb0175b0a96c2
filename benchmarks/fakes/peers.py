"""Stand-ins of peers that speak the link protocol, many in one process."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Final

from basilcove.core.events import Event, Received
from basilcove.core.ids import Incarnation, ModelName, NodeId, Role, UpstreamName, Zone
from basilcove.distribution.messages import Offer
from basilcove.membership.const import ANNOUNCE_INTERVAL_S
from basilcove.membership.messages import Announce, Load
from basilcove.membership.proofs import proof_of
from basilcove.rpc.config import RpcConfig
from basilcove.rpc.dialer import Dialer
from basilcove.rpc.envelopes import Identity
from basilcove.rpc.links import LinkTable
from tests.harness.documents import digest

_INCARNATION: Final = Incarnation(1)
_SLOTS: Final = 8


class FakePeer:
    """Dials nodes, keeps its links alive and mirrors the offers of documents."""

    def __init__(self, node: str, role: Role, zone: str, addresses: Sequence[str]) -> None:
        """Dial these addresses once set up."""
        identity = Identity(NodeId(node), (role,), _INCARNATION, Zone(zone))
        self.table = LinkTable(identity, self._apply)
        self._dialer = Dialer.from_config(
            RpcConfig(listen='', seeds=tuple(addresses), insecure=True), self.table
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def setup(self) -> None:
        """Dial."""
        await self._dialer.setup()
        self._tasks.append(asyncio.create_task(self.table.keep_alive()))

    async def unload(self) -> None:
        """End the links."""
        for task in self._tasks:
            task.cancel()
        await self._dialer.unload()

    def _apply(self, event: Event) -> None:
        if isinstance(event, Received) and isinstance(event.message, Offer) and event.message.ask:
            mirrored = dataclasses.replace(event.message, ask=False, caught_up=False)
            self.table.send(event.peer.node, mirrored)


class FakeAgent(FakePeer):
    """Announces one engine on all of its links."""

    def __init__(self, upstream: str, zone: str, addresses: Sequence[str]) -> None:
        """Announce this upstream once set up."""
        super().__init__(f'agent-{upstream}', Role.AGENT, zone, addresses)
        self._upstream = upstream
        self._number = 0

    async def setup(self) -> None:
        """Dial and announce."""
        await super().setup()
        self._tasks.append(asyncio.create_task(self._announce()))

    async def _announce(self) -> None:
        while True:
            announce = self._next_announcement()
            for node in self.table.nodes:
                self.table.send(node, announce)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _next_announcement(self) -> Announce:
        self._number += 1
        bare = Announce(
            UpstreamName(self._upstream),
            _INCARNATION,
            _INCARNATION,
            self._number,
            (ModelName('rider-assistant'),),
            (),
            _SLOTS,
            leaving=False,
            proof=b'',
            load=Load(0, 0, 400),
        )
        credential_digest = digest(f'demo-{self._upstream}-credential')
        return dataclasses.replace(bare, proof=proof_of(bare, self.table.identity.node, credential_digest))


async def stagger(peers: Sequence[FakePeer]) -> None:
    """Set peers up spread over an interval of announcements, as independent processes are."""
    pause_s = ANNOUNCE_INTERVAL_S / max(len(peers), 1)
    await asyncio.gather(*(_set_up_after(peer, pause_s * place) for place, peer in enumerate(peers)))


async def _set_up_after(peer: FakePeer, pause_s: float) -> None:
    await asyncio.sleep(pause_s)
    await peer.setup()


async def unload_all(peers: Sequence[FakePeer]) -> None:
    """End the links of all peers."""
    await asyncio.gather(*(peer.unload() for peer in peers))
