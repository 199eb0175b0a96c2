"""A control group under a virtual clock that counts messages, bytes and CPU time."""

import json
import time
from collections import Counter
from typing import Any

from basilcove.catalog.commands import ApplyDocument, Claim
from basilcove.core.events import Event, Message
from basilcove.core.ids import (
    AttemptId,
    EnvironmentName,
    Incarnation,
    NodeId,
    RequestId,
    Revision,
    Role,
    Stage,
    Zone,
)
from basilcove.rpc.envelopes import Identity
from tests.consensus.cluster import CLIENT, Cluster, Host

ENVIRONMENT = EnvironmentName('wandoo')


class MeteredCluster(Cluster):
    """Counts what each node sends, as envelopes, and the time that its reducer takes."""

    def __init__(self, size: int, seed: int = 0, snapshot_after: int = 4096, kept: int = 512) -> None:
        """Count from the start of the processes."""
        self.messages: Counter[NodeId] = Counter()
        self.sent: Counter[NodeId] = Counter()
        self.received: Counter[NodeId] = Counter()
        self.cpu_s: Counter[NodeId] = Counter()
        super().__init__(size, seed, snapshot_after, kept)

    def reset(self) -> None:
        """Count from now on."""
        for counter in (self.messages, self.sent, self.received, self.cpu_s):
            counter.clear()

    def busiest(self) -> NodeId:
        """Return the control host that sent the most bytes."""
        return max(self.bootstrap, key=lambda name: self.sent[name])

    def idlest(self) -> NodeId:
        """Return the control host that sent the fewest bytes."""
        return min(self.bootstrap, key=lambda name: self.sent[name])

    def apply(self, host: Host, event: Event) -> None:
        """Apply an event and add the time that it took, with the encoding of what it sends."""
        began = time.perf_counter()
        super().apply(host, event)
        self.cpu_s[host.name] += time.perf_counter() - began

    def _send(self, host: Host, target: NodeId, message: Message) -> None:
        identity = Identity(host.name, (Role.CONTROL,), Incarnation(1_800_000_000_000_000), Zone('bunbury'))
        size = identity.wrap(message).ByteSize()
        self.messages[host.name] += 1
        self.sent[host.name] += size
        self.received[target] += size
        super()._send(host, target, message)


def claim(number: int) -> Claim:
    """Return a claim whose fields are as long as real ones."""
    return Claim(
        f'key-{number:032}', f'{number:064x}', CLIENT, AttemptId(f'attempt-{number:032}'), ENVIRONMENT
    )


def document(teams: int, change: int = 0, name: str = ENVIRONMENT) -> str:
    """Return the canonical JSON of a document with so many teams."""
    rows: dict[str, dict[str, Any]] = {}
    for number in range(teams):
        rows[f'team-{number:04}'] = {
            'key_digests': [f'sha256:{number:064x}'],
            'priorities': ['urgent', 'booking'],
            'rate': 10,
        }
        if number == 0:
            rows[f'team-{number:04}']['rate'] += change
    return json.dumps({'name': name, 'priorities': {}, 'teams': rows}, separators=(',', ':'))


def change(number: int, teams: int, name: str = ENVIRONMENT) -> ApplyDocument:
    """Return the change that makes revision ``number + 1``."""
    environment = EnvironmentName(name)
    text = document(teams, number, name)
    request_id = RequestId(f'request-{name}-{number:024}')
    return ApplyDocument(environment, Stage.TRIAL, Revision(number), text, request_id)
