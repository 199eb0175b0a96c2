import asyncio
from pathlib import Path

import trustme

from basilcove.core.events import PeerFound
from basilcove.core.ids import Role
from basilcove.rpc.config import RpcConfig, TlsConfig
from basilcove.rpc.dialer import Dialer
from tests.harness.certificates import Certificates
from tests.harness.processes import free_address
from tests.rpc.nodes import LinkNode, dial, plain, run, serve, until


class TestUnload:
    def test_dialer_ends_at_any_moment_of_an_introduction(self) -> None:
        """Guards against a cancellation that is lost when it coincides with the first message of a peer."""

        async def scenario() -> None:
            address = free_address()
            entry = LinkNode('entry-1', Role.ENTRY)
            async with serve(entry, plain(address)):
                rounds = 60
                while rounds:
                    rounds -= 1
                    await self._dial_and_unload(entry, address, rounds % 20)

        run(scenario)

    async def _dial_and_unload(self, entry: LinkNode, address: str, iterations: int) -> None:
        dialer = Dialer.from_config(plain('', address), LinkNode('agent-1', Role.AGENT).table)
        entry.events.clear()
        await dialer.setup()
        await until(lambda: entry.seen(PeerFound), pause_s=0)
        while iterations:
            iterations -= 1
            await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await dialer.unload()
        await until(lambda: not entry.table.nodes)


class TestTls:
    def test_certificate_of_another_role_is_refused(self, tmp_path: Path) -> None:
        """Guards against an agent that speaks as a control host."""

        async def scenario() -> None:
            address = free_address()
            authority = trustme.CA()
            control = LinkNode('control-1', Role.CONTROL)
            honest, false = LinkNode('agent-1', Role.AGENT), LinkNode('control-2', Role.CONTROL)
            seed = f'control:control-1@{address}'
            async with (
                serve(control, _secure(tmp_path, authority, 'control:control-1', address)),
                dial(false, _secure(tmp_path, authority, 'agent:agent-2', '', seed)),
                dial(honest, _secure(tmp_path, authority, 'agent:agent-1', '', seed)),
            ):
                await until(lambda: control.seen(PeerFound))
            assert [event.peer.node for event in control.seen(PeerFound)] == ['agent-1']

        run(scenario)

    def test_server_with_another_name_is_refused(self, tmp_path: Path) -> None:
        """Guards against an agent's host that answers in place of a control host."""

        async def scenario() -> None:
            real, false = free_address(), free_address()
            authority = trustme.CA()
            control, impostor = LinkNode('control-1', Role.CONTROL), LinkNode('control-1', Role.CONTROL)
            agent = LinkNode('agent-1', Role.AGENT)
            seeds = [f'control:control-1@{address}' for address in (false, real)]
            async with (
                serve(control, _secure(tmp_path, authority, 'control:control-1', real)),
                serve(impostor, _secure(tmp_path, authority, 'agent:agent-9', false)),
                dial(agent, _secure(tmp_path, authority, 'agent:agent-1', '', *seeds)),
            ):
                await until(lambda: control.seen(PeerFound))
                assert not impostor.seen(PeerFound)

        run(scenario)


def _secure(folder: Path, authority: trustme.CA, name: str, listen: str, *seeds: str) -> RpcConfig:
    files = Certificates(folder, authority).issue(name)
    return RpcConfig(listen=listen, seeds=seeds, tls=TlsConfig.model_validate(files))
