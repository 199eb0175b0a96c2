"""Runs a deployment of real processes under load and random failures; see ``script/soak agents --help``.

Checked are: a stream that ends in ``[DONE]`` holds exactly its tokens, one that breaks ends in an error
event, no booking runs twice, one that was refused as ``not_run`` did not run, one that was confirmed ran, and
all nodes hold the newest accepted document after the last failure.
"""

import argparse
import json
import random
import shutil
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

import urllib3

from tests.harness import documents
from tests.harness.cluster import Cluster
from tests.harness.processes import wait_for
from tests.system.calls import behave_all, book, bookings, chat, expected_tokens, tokens_of
from tests.system.conftest import UPSTREAMS

_CALLERS = 4
_ATTEMPTS = 4
_TOKEN_COUNTS = (1, 8, 60)
_TOKEN_S = 0.01
# Around the 2 s after which a silent peer is given up.
_FAILURE_S = (0.5, 1.7, 2.2, 3.5)
_PAUSE_S = (0.3, 1, 4)
_CHANGE_INTERVAL_S = 3.0
# What was sent before a connection broke is not known.
_UNKNOWN = 'unknown'


class Findings:
    """What callers saw."""

    def __init__(self) -> None:
        """Start without any answer."""
        self.answers: Counter[str] = Counter()
        self.faults: list[str] = []
        self.bookings: defaultdict[str, list[str]] = defaultdict(list)
        self.revision = 0

    def check_stream(self, count: int, answer: urllib3.BaseHTTPResponse) -> None:
        """Check one answer to a request for a number of tokens."""
        text = answer.data.decode()
        if answer.status != HTTPStatus.OK:
            self.answers[f'stream: {answer.json()["outcome"]}'] += 1
        elif 'data: [DONE]' in text:
            self.answers['stream: complete'] += 1
            if tokens_of(text) != expected_tokens(count):
                self.faults.append(f'a complete stream of {count} tokens differs: {text}')
        else:
            self.answers['stream: broken'] += 1
            if '"outcome": "unknown"' not in text:
                self.faults.append(f'a broken stream has no error event: {text}')

    def check_bookings(self, runs: Counter[str]) -> None:
        """Compare what callers were told with what ran."""
        for cart, told in self.bookings.items():
            if runs[cart] > 1:
                self.faults.append(f'{cart} ran {runs[cart]} times, its caller was told {told}')
            if runs[cart] and set(told) == {'not_run'}:
                self.faults.append(f'{cart} ran, its caller was told {told}')
            if not runs[cart] and 'ran' in told:
                self.faults.append(f'{cart} did not run, its caller was told {told}')


class Load:
    """Callers and an operator, each on a thread of its own, until stopped."""

    def __init__(self, cluster: Cluster, findings: Findings, seed: int) -> None:
        """Prepare the threads."""
        self._cluster = cluster
        self._findings = findings
        self._stopped = threading.Event()
        jobs = (self._stream, self._book_with_key, self._book_once)
        self._threads = [self._prepare(self._change, f'{seed} operator')]
        for number in range(_CALLERS):
            self._threads.extend(self._prepare(job, f'{seed} {number}') for job in jobs)

    def setup(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def unload(self) -> None:
        """Wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _prepare(self, job: Callable[[random.Random], None], seed: str) -> threading.Thread:
        return threading.Thread(target=self._repeat, args=(job, random.Random(seed)))

    def _repeat(self, job: Callable[[random.Random], None], rng: random.Random) -> None:
        while not self._stopped.is_set():
            try:
                job(rng)
            except urllib3.exceptions.HTTPError as exc:
                self._findings.answers[type(exc).__name__] += 1
                self._stopped.wait(0.1)

    def _stream(self, rng: random.Random) -> None:
        count = rng.choice(_TOKEN_COUNTS)
        self._findings.check_stream(count, chat(self._cluster, rng.choice(self._cluster.entries), count))

    def _book_with_key(self, rng: random.Random) -> None:
        cart = f'keyed-{rng.getrandbits(64):x}'
        for _ in range(_ATTEMPTS):
            if self._book(cart, cart, rng) == 'ran':
                return
            self._stopped.wait(0.2)

    def _book_once(self, rng: random.Random) -> None:
        self._book(f'single-{rng.getrandbits(64):x}', None, rng)
        self._stopped.wait(0.02)

    def _book(self, cart: str, key: str | None, rng: random.Random) -> str:
        told = _UNKNOWN
        try:
            answer = book(self._cluster, rng.choice(self._cluster.entries), key, cart)
        except urllib3.exceptions.HTTPError:
            self._stopped.wait(0.1)
        else:
            told = 'ran' if answer.status == HTTPStatus.CREATED else str(answer.json()['outcome'])
        self._findings.bookings[cart].append(told)
        self._findings.answers[f'booking: {told}'] += 1
        return told

    def _change(self, rng: random.Random) -> None:
        expected = self._findings.revision
        content = documents.document(UPSTREAMS, limits={'retry_budget': rng.randint(10, 99) / 100})
        path = documents.write(self._cluster.folder, content, 'change.yaml')
        arguments = ('apply', str(path), '--expected-revision', str(expected), '--request-id', f'r{expected}')
        # With its request id a change whose answer was lost gets the first answer.
        if self._cluster.cli(*arguments, check=False)['exit'] == 0:
            self._findings.revision += 1
        self._stopped.wait(_CHANGE_INTERVAL_S)


def break_one(cluster: Cluster, rng: random.Random) -> str:
    """Kill, freeze or pause processes for a time, and return what was done."""
    nodes = [name for name in cluster.processes if name not in cluster.upstreams]
    kind = rng.choice(('kill', 'kill two', 'freeze', 'freeze two', 'pause all'))
    chosen = {'all': list(cluster.processes), 'two': rng.sample(nodes, 2)}
    names = chosen.get(kind.rpartition(' ')[2], rng.sample(nodes, 1))
    duration_s = rng.choice(_FAILURE_S)
    for name in names:
        process = cluster.processes[name]
        process.kill() if kind.startswith('kill') else process.freeze()
    time.sleep(duration_s)
    for name in names:
        if kind.startswith('kill'):
            cluster.start(name)
        else:
            cluster.processes[name].thaw()
    time.sleep(rng.choice(_PAUSE_S))
    return f'{kind} for {duration_s} s: {", ".join(names)}'


def run(folder: Path, seconds: float, number: int) -> Findings:
    """Run one deployment and return what was found."""
    rng = random.Random(number)
    findings = Findings()
    with Cluster(folder, upstreams=UPSTREAMS) as cluster:
        cluster.start_all(documents.write(folder, documents.document(UPSTREAMS)))
        behave_all(cluster, 'engine', token_s=_TOKEN_S)
        findings.revision = 1
        load = Load(cluster, findings, number)
        load.setup()
        end = time.monotonic() + seconds
        try:
            while time.monotonic() < end:
                _print(break_one(cluster, rng))
        finally:
            load.unload()
        try:
            cluster.wait_ready()
            wait_for(lambda: _holds_all(cluster, findings.revision), f'revision {findings.revision}')
        except AssertionError as exc:
            findings.faults.append(f'no recovery: {exc}')
        findings.check_bookings(Counter(bookings(cluster)))
    return findings


def _holds_all(cluster: Cluster, revision: int) -> bool:
    wanted = f'basilcove_document_revision {float(revision)}'
    names = (*cluster.entries, *cluster.agents)
    return all(wanted in cluster.get(name, '/metrics').data.decode() for name in names)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main(argv: list[str] | None = None) -> int:
    """Run one deployment; returns 1 if anything that must hold did not."""
    parser = argparse.ArgumentParser(prog='script/soak agents', description=__doc__)
    parser.add_argument('--seconds', type=float, default=60, help='begin no new failure after this time')
    parser.add_argument('--seed', type=int, default=1, help='seed of the failures and of the callers')
    parser.add_argument('--logs', type=Path, help='keep settings and logs here if anything fails')
    args = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        findings = run(Path(folder), args.seconds, args.seed)
        if findings.faults and args.logs:
            shutil.copytree(folder, args.logs, dirs_exist_ok=True)
    _print(json.dumps(findings.answers, indent=2, sort_keys=True))
    _print('\n'.join((*findings.faults, f'{len(findings.faults)} faults, seed {args.seed}')))
    return 1 if findings.faults else 0


if __name__ == '__main__':
    sys.exit(main())
