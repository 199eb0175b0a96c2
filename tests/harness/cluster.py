"""A complete deployment as child processes on loopback."""

import json
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3
import yaml

from tests.harness.certificates import Certificates
from tests.harness.forwarder import Forwarder
from tests.harness.processes import ROOT, Process, free_address, wait_for

ZONES = ('collie-depot', 'donnybrook-depot', 'bunbury-office')
ENVIRONMENT = 'demo'


@dataclass(frozen=True)
class UpstreamSpec:
    """A stand-in with its models and services."""

    name: str
    module: str
    zone: str
    models: str = ''
    services: str = ''


DEMO_UPSTREAMS = (
    UpstreamSpec('engine-1', 'tests.standins.engine', ZONES[0], models='rider-assistant'),
    UpstreamSpec('hire-1', 'tests.standins.service', ZONES[1], services='hire'),
)


@dataclass
class Addresses:
    """Listening addresses of one node or stand-in."""

    rpc: str = field(default_factory=free_address)
    http: str = field(default_factory=free_address)


class Cluster:
    """Control hosts, entries, agents and stand-ins of one environment."""

    def __init__(
        self,
        folder: Path,
        control: int = 3,
        entries: int = 2,
        upstreams: Sequence[UpstreamSpec] = DEMO_UPSTREAMS,
        first_entry: str | None = None,
        certificates: Certificates | None = None,
        cut_zone: str | None = None,
        control_settings: dict[str, Any] | None = None,
        agent_settings: dict[str, Any] | None = None,
    ) -> None:
        """Choose addresses and write settings; nothing is started yet.

        Without certificates, use no TLS. Links into and out of ``cut_zone`` pass through forwarders that
        ``cut`` and ``heal`` control.
        """
        self.certificates = certificates
        self.folder = folder
        self.upstreams = {spec.name: spec for spec in upstreams}
        self.control = [f'control-{number}' for number in range(1, control + 1)]
        self.entries = [f'entry-{number}' for number in range(1, entries + 1)]
        self.agents = {f'agent-{spec.name}': spec for spec in upstreams}
        names = [*self.control, *self.entries, *self.agents, *self.upstreams]
        self.addresses = {name: Addresses() for name in names}
        if first_entry is not None:
            self.addresses[self.entries[0]].http = first_entry
        self.cut_zone = cut_zone
        self.control_settings = control_settings or {}
        # Initial members of the control group, listed in the settings of all nodes.
        self.bootstrap = list(self.control)
        self.agent_settings = agent_settings or {}
        self.forwarders: dict[str, Forwarder] = {}
        self.processes: dict[str, Process] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=2, read=30))
        for name in (*self.control, *self.entries, *self.agents):
            self._write_settings(name)

    def __enter__(self) -> 'Cluster':
        """Start the forwarders."""
        for forwarder in self.forwarders.values():
            forwarder.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes and stop the forwarders."""
        for process in self.processes.values():
            process.kill()
        for forwarder in self.forwarders.values():
            forwarder.__exit__()

    def cut(self) -> None:
        """Silence all links into and out of ``cut_zone``."""
        for forwarder in self.forwarders.values():
            forwarder.silence()

    def heal(self) -> None:
        """Let new links into and out of ``cut_zone`` work again."""
        for forwarder in self.forwarders.values():
            forwarder.resume()

    def start_all(self, document: Path) -> None:
        """Start all processes, apply the document and wait until the entries are ready."""
        for name in (*self.control, *self.agents, *self.entries):
            self.start(name)
        for name in self.upstreams:
            self.start_standin(name)
        wait_for(lambda: self.cli('status', check=False)['exit'] == 0, 'a control leader')
        self.cli('apply', str(document), '--expected-revision', '0', '--request-id', 'first')
        self.wait_ready()

    def replace_control(self, former: str, spare: str) -> None:
        """Replace a control host by a new one; the settings of the other nodes stay as they are.

        The replaced host keeps running.
        """
        self.addresses[spare] = Addresses()
        self.control.append(spare)
        self._write_settings(spare)
        self.start(spare)
        self.cli('admit', spare, '--request-id', f'admit-{spare}')
        wait_for(lambda: spare in self.voters(spare), f'{spare} to vote')
        self.cli('remove', former, '--request-id', f'remove-{former}')
        self.control.remove(former)

    def voters(self, node: str) -> list[str]:
        """Return the voters that a control host reports; empty if it does not answer."""
        reply = self.cli('status', check=False, node=node)
        return list(reply['content'].get('voters', ())) if reply['exit'] == 0 else []

    def refresh_seeds(self, name: str) -> None:
        """Write settings with which a node dials the current control hosts after its next start."""
        self._write_settings(name)

    def wait_ready(self) -> None:
        """Wait until every entry is ready and knows every upstream."""
        wait_for(lambda: all(self.is_ready(name) for name in self.entries), 'all entries to be ready')
        wait_for(self._all_joined, 'all upstreams to join')

    def start(self, name: str) -> Process:
        """Start or restart a daemon."""
        settings = self.folder / f'{name}.yaml'
        return self._start(name, ['basilcove', '--settings', str(settings)])

    def start_standin(self, name: str, credential: str | None = None) -> Process:
        """Start a stand-in that announces itself to its agent."""
        spec = self.upstreams[name]
        arguments = [spec.module, '--name', name, '--listen', self.addresses[name].http]
        arguments += ['--agent', self.addresses[f'agent-{name}'].http]
        arguments += ['--credential', credential or f'demo-{name}-credential']
        arguments += ['--models', spec.models, '--services', spec.services]
        return self._start(name, arguments)

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness endpoint of a node answers with 200."""
        try:
            return self.get(name, '/readyz').status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def get(self, name: str, path: str) -> urllib3.BaseHTTPResponse:
        """Send GET to a node or stand-in."""
        return self.http.request('GET', f'http://{self.addresses[name].http}{path}')

    def state_of(self, standin: str) -> dict[str, Any]:
        """Return the state that a stand-in recorded."""
        return dict(self.get(standin, '/standin/state').json())

    def behave(self, standin: str, **behaviour: object) -> None:
        """Set the behaviour of a stand-in."""
        self.http.request('POST', f'http://{self.addresses[standin].http}/standin/behaviour', json=behaviour)

    def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: object = None,
        key: str = 'demo-kiosk-key',
        headers: dict[str, str] | None = None,
        **options: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Send a caller's request to an entry."""
        all_headers = {'Authorization': f'Bearer {key}', **(headers or {})}
        url = f'http://{self.addresses[entry].http}{path}'
        return self.http.request(method, url, json=body, headers=all_headers, **options)

    def cli(
        self, *arguments: str, check: bool = True, node: str | None = None, name: str = 'operator:anna'
    ) -> dict[str, Any]:
        """Run the operators' tool with a certificate of this name; return its exit status and JSON output."""
        nodes = [node] if node else [*self.entries, *self.control]
        target = ','.join(self.addresses[name].rpc for name in nodes)
        command = [
            sys.executable,
            '-m',
            'basilcove.cli',
            *arguments,
            '--node',
            target,
            '--json',
            *self._security_of(name),
        ]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
        if check and done.returncode:
            raise AssertionError(f'{arguments}: {done.stdout}{done.stderr}')
        try:
            content = json.loads(done.stdout)
        except ValueError:
            content = {'text': done.stdout + done.stderr}
        return {'exit': done.returncode, 'content': content}

    def _all_joined(self) -> bool:
        for name in self.entries:
            text = self.get(name, '/metrics').data.decode()
            if f'basilcove_upstreams {float(len(self.upstreams))}' not in text:
                return False
        return True

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.folder / f'{name}.log')
        self.processes[name] = process
        return process

    def _write_settings(self, name: str) -> None:
        content: dict[str, Any] = {
            'node': name,
            'zone': self._zone_of(name),
            'environment': ENVIRONMENT,
            'stage': 'trial',
            'control_nodes': self.bootstrap,
            'rpc': {'listen': self.addresses[name].rpc, 'seeds': self.seeds_of(name)},
            'stop_timeout_s': 20,
        }
        if self.certificates is None:
            content['rpc']['insecure'] = True
        else:
            content['rpc']['tls'] = self.certificates.issue(self._common_name(name))
        if name in self.control:
            content['roles'] = ['control']
            data = str(self.folder / name)
            content['status'] = {'listen': self.addresses[name].http}
            content['control'] = {
                'data_folder': data,
                'bootstrap': self.bootstrap,
                **self.control_settings,
            }
        elif name in self.entries:
            content['roles'] = ['entry']
            content['http'] = {'listen': self.addresses[name].http}
        else:
            content['roles'] = ['agent']
            content['agent'] = {'listen': self.addresses[name].http, **self.agent_settings}
        (self.folder / f'{name}.yaml').write_text(yaml.safe_dump(content))

    def _zone_of(self, name: str) -> str:
        spec = self.agents.get(name)
        if spec is not None:
            return spec.zone
        return ZONES[(int(name.rpartition('-')[2]) - 1) % len(ZONES)]

    def seeds_of(self, name: str) -> list[str]:
        """Return the addresses that a node dials."""
        peers = [peer for peer in self.control if peer != name]
        if name in self.agents:
            peers += [*self.entries, *(peer for peer in self.agents if peer != name)]
        addresses = {peer: self._address_for(name, peer) for peer in peers}
        if self.certificates is None:
            return list(addresses.values())
        return [f'{self._common_name(peer)}@{address}' for peer, address in addresses.items()]

    def _common_name(self, name: str) -> str:
        return f'{name.partition("-")[0]}:{name}'

    def _security_of(self, name: str) -> list[str]:
        if self.certificates is None:
            return ['--insecure']
        files = self.certificates.issue(name)
        return [part for option, path in files.items() for part in (f'--{option}', path)]

    def _address_for(self, name: str, peer: str) -> str:
        """Return the address at which one node dials another."""
        address = self.addresses[peer].rpc
        if (self._zone_of(name) == self.cut_zone) == (self._zone_of(peer) == self.cut_zone):
            return address
        forwarder = self.forwarders.get(peer)
        if forwarder is None:
            forwarder = Forwarder(free_address(), address)
            self.forwarders[peer] = forwarder
        return forwarder.listen
