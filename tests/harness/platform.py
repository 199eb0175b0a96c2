"""A deployment as on the users' platform, with its settings, calls and names and a stand-in engine."""

import json
import os
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, ClassVar

import urllib3

from tests.harness.processes import ROOT, free_address, wait_for
from tests.harness.templates import render

CONTROL = ('127.77.0.1', '127.77.0.2', '127.77.0.3')
GATEWAY = '127.77.0.4'
HTTP = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=1, read=6))


class Engine(BaseHTTPRequestHandler):
    """A stand-in engine that answers with its port and the id of the request."""

    protocol_version = 'HTTP/1.1'

    def do_POST(self) -> None:
        """Answer with the engine's port."""
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        body = self.server.server_address[1].to_bytes(2).hex().encode()
        self.send_response(200)
        self.send_header('X-Basilcove-Attempt-Id', self.headers['X-Basilcove-Attempt-Id'])
        self.send_header('X-Basilcove-Server-Signature', 'signed')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Suppress the access log."""


def start_engine() -> ThreadingHTTPServer:
    """Start a stand-in engine on a free port."""
    engine = ThreadingHTTPServer(('127.0.0.1', 0), Engine)
    threading.Thread(target=engine.serve_forever, daemon=True).start()
    return engine


class PlatformProcesses:
    """Control hosts and gateways, started as on the platform, each on its own loopback address."""

    gateways: tuple[str, ...] = (GATEWAY,)
    bounds: ClassVar[dict[str, float]] = {
        'retry_budget_ratio': 0.2,
        'retry_min_extra': 90,
        'retry_window_s': 10,
    }

    def __init__(self, folder: Path) -> None:
        """Keep settings, logs and data in a folder."""
        self.folder = folder
        self.ports = {
            name: int(free_address().rpartition(':')[2]) for name in ('api', 'rpc', 'http', 'ready')
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def settings(self, address: str, *, first: bool) -> str:
        """Return the settings of a process, rendered from the template of the platform."""
        template = 'gateway.yaml' if address in self.gateways else 'control.yaml'
        fields = {
            'ip': address,
            'zone': 'a',
            'seed_nodes': [f'{host}:{self.ports["api"]}' for host in CONTROL],
            'internal_ports': [self.ports['rpc'], self.ports['rpc'] + 1],
            'bootstrap': first,
            'data_dir': str(self.folder / address),
            'listen': {
                'control_plane': f'{address}:{self.ports["api"]}',
                'frontend': f'{address}:{self.ports["http"]}',
                'readiness': f'{address}:{self.ports["ready"]}',
            },
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': self.bounds,
        }
        return render(ROOT / 'platform' / template, fields)

    def start(self, address: str, *, first: bool = True) -> None:
        """Start a process."""
        path = self.folder / f'{address}.yaml'
        path.write_text(self.settings(address, first=first))
        with (self.folder / f'{address}.log').open('ab') as log:
            self.processes[address] = subprocess.Popen(
                [sys.executable, 'platform/basilcoved.py'],
                cwd=ROOT,
                env={**os.environ, 'BASILCOVE_CONFIG': str(path)},
                stdout=log,
                stderr=log,
            )

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()


class Deployment(PlatformProcesses):
    """Three control hosts and a gateway, with a stand-in engine."""

    def __init__(self, folder: Path) -> None:
        """Start the engine."""
        super().__init__(folder)
        self.engine = start_engine()

    def stop(self) -> None:
        """End all processes and the engine."""
        super().stop()
        self.engine.shutdown()

    def call(self, host: str, method: str, path: str, content: Any = None) -> tuple[int, bytes]:
        """Call a control host; return status 0 if it does not answer."""
        body = None if content is None else json.dumps(content).encode()
        try:
            answer = HTTP.request(method, f'http://{host}:{self.ports["api"]}{path}', body=body)
        except urllib3.exceptions.HTTPError:
            return 0, b''
        return answer.status, answer.data

    def put(self, content: dict[str, Any]) -> int:
        """Send a configuration to one host after another until one accepts or refuses it."""

        def send() -> int:
            for host in CONTROL:
                status, _ = self.call(host, 'PUT', '/config', content)
                if status in {200, 400}:
                    return status
            return 0

        return wait_for(send, 'a configuration to be accepted or refused')

    def announce(self, sequence: int, state: str = 'ready') -> None:
        """Announce the engine to the first control host that acknowledges it."""
        self.announce_as('i-1', self.engine, 'a', sequence, state)

    def announce_as(
        self, instance: str, engine: ThreadingHTTPServer, zone: str, sequence: int, state: str = 'ready'
    ) -> None:
        """Announce an engine of a zone to the first control host that acknowledges it."""
        content = {
            'service': 'desk',
            'address': f'127.0.0.1:{engine.server_address[1]}',
            'zone': zone,
            'slots': 4,
            'state': state,
            'sequence': sequence,
            'born': 1,
        }

        def is_acknowledged() -> bool:
            return any(
                self.call(host, 'PUT', f'/instances/{instance}', content)[0] == 200 for host in CONTROL
            )

        wait_for(is_acknowledged, 'an acknowledged announcement')

    def send_request(self, path: str = '/book/x', key: str = 'k-1') -> int:
        """Return the status of a caller's request; 0 without an answer."""
        return self.exchange(path, key)[0]

    def exchange(self, path: str = '/book/x', key: str = 'k-1') -> tuple[int, bytes, str]:
        """Return status, body and Retry-After of the answer to a caller; status 0 without an answer."""
        headers = {
            'Host': 'desk.example',
            'Authorization': f'Token {key}',
            'X-Basilcove-Attempt-Id': 'r-1',
            'X-Basilcove-Deadline-Ms': '3000',
        }
        url = f'http://{GATEWAY}:{self.ports["http"]}{path}'
        try:
            answer = HTTP.request('POST', url, headers=headers, body=b'x')
        except urllib3.exceptions.HTTPError:
            return 0, b'', ''
        return answer.status, answer.data, answer.headers.get('Retry-After', '')


def configuration(version: int, key: str = 'k-1') -> dict[str, Any]:
    """Return an operator's configuration with one route, service and tenant."""
    route = {
        'name': 'r-1',
        'hostname': 'desk.example',
        'path_prefix': '/book/',
        'type': 'unsafe',
        'timeout_ms': 3000,
        'service': 'desk',
    }
    return {
        'version': version,
        'routes': [route],
        'services': [{'name': 'desk'}],
        'tenants': [{'name': 't-1', 'api_keys': [key]}],
    }
