"""Stand-ins of peers that speak the link protocol, many in one process."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Final

from basilcove.core.events import Event, PeerFound, Received
from basilcove.core.ids import Incarnation, ModelName, NodeId, Role, UpstreamName, Zone
from basilcove.distribution.messages import Offer
from basilcove.membership.const import REFRESH_INTERVAL_S
from basilcove.membership.messages import Announce, AnnounceRequest, Load, Refresh, Refreshed
from basilcove.membership.proofs import make_proof
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
        self._announced: dict[NodeId, int] = {}

    async def setup(self) -> None:
        """Dial, announce on each link and refresh."""
        await super().setup()
        self._tasks.append(asyncio.create_task(self._refresh()))

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            self._number += 1
            for node in self.table.nodes:
                refreshed = Refreshed(UpstreamName(self._upstream), self._announced.get(node, 0), None)
                self.table.send(node, Refresh(self._number, (refreshed,)))

    def _apply(self, event: Event) -> None:
        super()._apply(event)
        node = _lacks_announcement(event)
        if node is not None:
            self._announce(node)

    def _announce(self, node: NodeId) -> None:
        self.table.send(node, self._next_announcement())
        self._announced[node] = self._number

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
        return dataclasses.replace(bare, proof=make_proof(bare, self.table.identity.node, credential_digest))


def _lacks_announcement(event: Event) -> NodeId | None:
    if isinstance(event, Received) and isinstance(event.message, AnnounceRequest):
        return event.peer.node
    return event.peer.node if isinstance(event, PeerFound) else None


async def stagger(peers: Sequence[FakePeer]) -> None:
    """Set peers up spread over an interval of refreshes, as independent processes are."""
    pause_s = REFRESH_INTERVAL_S / max(len(peers), 1)
    await asyncio.gather(*(_set_up_after(peer, pause_s * place) for place, peer in enumerate(peers)))


async def _set_up_after(peer: FakePeer, pause_s: float) -> None:
    await asyncio.sleep(pause_s)
    await peer.setup()


async def unload_all(peers: Sequence[FakePeer]) -> None:
    """End the links of all peers."""
    await asyncio.gather(*(peer.unload() for peer in peers))
