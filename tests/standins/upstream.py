"""Shared code of the fake engines and the fake service: options, serving and announcing."""

import argparse
import contextlib
import json
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import urllib3
from cheroot import wsgi

ANNOUNCE_INTERVAL_S = 0.5
Start = Callable[[str, list[tuple[str, str]]], Any]


def parser() -> argparse.ArgumentParser:
    """Return a parser for the options of every stand-in."""
    options = argparse.ArgumentParser()
    options.add_argument('--name', required=True)
    options.add_argument('--listen', required=True)
    options.add_argument('--agent', help='host:port of the agent to announce to')
    options.add_argument('--credential', default='')
    options.add_argument('--models', default='')
    options.add_argument('--services', default='')
    return options


def names(text: str) -> list[str]:
    """Split a comma-separated option."""
    return [name for name in text.split(',') if name]


def reply_json(start: Start, content: object, status: str = '200 OK') -> Iterable[bytes]:
    """Answer with a JSON body."""
    body = json.dumps(content).encode()
    start(status, [('Content-Type', 'application/json'), ('Content-Length', str(len(body)))])
    return [body]


def read_json(environ: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON object of the request; empty if there is no body."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    content = environ['wsgi.input'].read(length) if length else b''
    return dict(json.loads(content)) if content else {}


def serve(args: argparse.Namespace, app: Callable[..., Iterable[bytes]], threads: int = 64) -> None:
    """Serve until killed, and announce to the agent if one is given."""
    host, _, port = args.listen.rpartition(':')
    server = wsgi.Server((host, int(port)), app, numthreads=threads, max=threads)
    if args.agent:
        threading.Thread(target=announce, args=(args,), daemon=True).start()
    server.start()


def announce(args: argparse.Namespace) -> None:
    pool = urllib3.PoolManager(retries=False, timeout=1)
    incarnation = time.time_ns() // 1000
    content = {
        'name': args.name,
        'url': f'http://{args.listen}',
        'credential': args.credential,
        'models': names(args.models),
        'services': names(args.services),
        'incarnation': incarnation,
    }
    while True:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            pool.request('PUT', f'http://{args.agent}/announce', json=content)
        time.sleep(ANNOUNCE_INTERVAL_S)
