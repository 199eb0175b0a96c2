"""Test nodes that only maintain links."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from basilcove.core.events import Event, PeerFound, PeerLost
from basilcove.core.ids import Incarnation, NodeId, Role, Zone
from basilcove.rpc.config import RpcConfig
from basilcove.rpc.dialer import Dialer
from basilcove.rpc.envelopes import Identity
from basilcove.rpc.links import LinkTable
from basilcove.rpc.server import OperatorServicer, RpcServer
from tests.harness.processes import free_address


class LinkNode:
    def __init__(self, name: str, role: Role, incarnation: int = 1) -> None:
        self.events: list[Event] = []
        identity = Identity(NodeId(name), (role,), Incarnation(incarnation), Zone('nobsa'))
        self.table = LinkTable(identity, self.events.append)

    def events_of(self, kind: type[Event]) -> list[Event]:
        return [event for event in self.events if isinstance(event, kind)]


@asynccontextmanager
async def serve(node: LinkNode, cfg: RpcConfig) -> AsyncIterator[None]:
    server = RpcServer.from_config(cfg, node.table, OperatorServicer(node.table, node.events.append))
    await server.setup()
    try:
        yield
    finally:
        await server.unload()


@asynccontextmanager
async def dial(node: LinkNode, cfg: RpcConfig) -> AsyncIterator[None]:
    dialer = Dialer.from_config(cfg, node.table)
    link_checks = asyncio.create_task(node.table.keep_alive())
    await dialer.setup()
    try:
        yield
    finally:
        link_checks.cancel()
        await dialer.unload()


@asynccontextmanager
async def linked() -> AsyncIterator[tuple[LinkNode, LinkNode]]:
    address = free_address()
    entry, agent = LinkNode('entry-1', Role.ENTRY), LinkNode('agent-1', Role.AGENT)
    async with serve(entry, insecure_config(address)), dial(agent, insecure_config('', address)):
        await wait_until(lambda: entry.events_of(PeerFound) and agent.events_of(PeerFound))
        yield entry, agent


async def wait_until(condition: Callable[[], object], pause_s: float = 0.01) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(pause_s)


def is_replaced(node: LinkNode) -> bool:
    return bool(node.events_of(PeerLost)) and len(node.events_of(PeerFound)) == 2


def insecure_config(listen: str, *seeds: str) -> RpcConfig:
    return RpcConfig(listen=listen, seeds=seeds, insecure=True)


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())
