import asyncio
from pathlib import Path

import trustme

from basilcove.core.events import PeerFound
from basilcove.core.ids import Role
from basilcove.rpc.config import RpcConfig, TlsConfig
from basilcove.rpc.dialer import Dialer
from tests.harness.certificates import Certificates
from tests.harness.processes import free_address
from tests.rpc.nodes import LinkNode, dial, insecure_config, run_scenario, serve, wait_until


class TestUnload:
    def test_dialer_stops_at_any_moment_of_an_introduction(self) -> None:
        """Guards against a cancellation that is lost when it coincides with the first message of a peer."""

        async def scenario() -> None:
            address = free_address()
            entry = LinkNode('entry-1', Role.ENTRY)
            async with serve(entry, insecure_config(address)):
                rounds = 60
                while rounds:
                    rounds -= 1
                    await self._dial_and_unload(entry, address, rounds % 20)

        run_scenario(scenario)

    async def _dial_and_unload(self, entry: LinkNode, address: str, iterations: int) -> None:
        dialer = Dialer.from_config(insecure_config('', address), LinkNode('agent-1', Role.AGENT).table)
        entry.events.clear()
        await dialer.setup()
        await wait_until(lambda: entry.events_of(PeerFound), pause_s=0)
        while iterations:
            iterations -= 1
            await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await dialer.unload()
        await wait_until(lambda: not entry.table.nodes)


class TestTls:
    def test_certificate_of_another_role_is_refused(self, tmp_path: Path) -> None:
        """Guards against an agent that impersonates a control host."""

        async def scenario() -> None:
            address = free_address()
            authority = trustme.CA()
            control = LinkNode('control-1', Role.CONTROL)
            legitimate, impostor = LinkNode('agent-1', Role.AGENT), LinkNode('control-2', Role.CONTROL)
            seed = f'control:control-1@{address}'
            async with (
                serve(control, _secure(tmp_path, authority, 'control:control-1', address)),
                dial(impostor, _secure(tmp_path, authority, 'agent:agent-2', '', seed)),
                dial(legitimate, _secure(tmp_path, authority, 'agent:agent-1', '', seed)),
            ):
                await wait_until(lambda: control.events_of(PeerFound))
            assert [event.peer.node for event in control.events_of(PeerFound)] == ['agent-1']

        run_scenario(scenario)

    def test_server_with_another_name_is_refused(self, tmp_path: Path) -> None:
        """Guards against the host of an agent that answers in place of a control host."""

        async def scenario() -> None:
            real_address, false_address = free_address(), free_address()
            authority = trustme.CA()
            control, impostor = LinkNode('control-1', Role.CONTROL), LinkNode('control-1', Role.CONTROL)
            agent = LinkNode('agent-1', Role.AGENT)
            seeds = [f'control:control-1@{address}' for address in (false_address, real_address)]
            async with (
                serve(control, _secure(tmp_path, authority, 'control:control-1', real_address)),
                serve(impostor, _secure(tmp_path, authority, 'agent:agent-9', false_address)),
                dial(agent, _secure(tmp_path, authority, 'agent:agent-1', '', *seeds)),
            ):
                await wait_until(lambda: control.events_of(PeerFound))
                assert not impostor.events_of(PeerFound)

        run_scenario(scenario)


def _secure(folder: Path, authority: trustme.CA, name: str, listen: str, *seeds: str) -> RpcConfig:
    files = Certificates(folder, authority).issue(name)
    return RpcConfig(listen=listen, seeds=seeds, tls=TlsConfig.model_validate(files))
