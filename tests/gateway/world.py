"""A gateway's reducer with a document and registered upstreams, under a virtual clock."""

import itertools
from collections.abc import Iterator
from typing import Any

from basilcove.core.events import Effect, Event, Log, Peer, PeerFound, Received
from basilcove.core.ids import Incarnation, InstanceId, NodeId, Revision, Role, ServiceName, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.keys import digest_of_secret
from basilcove.environment.models import Environment
from basilcove.gateway import coordinator as _gateway  # noqa: F401
from basilcove.gateway.config import GatewayConfig, RetryConfig
from basilcove.gateway.events import AttemptEnded, AttemptResult, RequestArrived, RequestHead, StartAttempt
from basilcove.gateway.messages import OtherAttempts
from basilcove.gateway.models import GatewayState
from basilcove.registry.messages import Registration, Registrations, RegistrationState

CONTROL = Peer(NodeId('10.0.0.1'), (Role.CONTROL,), Incarnation(1), Zone('a'))
OTHER_CONTROL = Peer(NodeId('10.0.0.2'), (Role.CONTROL,), Incarnation(1), Zone('b'))
HOST = 'desk.example'
KEY = 'key-1'
SLOTS = 4
# Time that a planned stop may take.
STOP_TIMEOUT_S = 6.9


def document(**changes: Any) -> dict[str, Any]:
    """Return a document with a route of each kind to one service, and an urgent and a slow stream."""
    route = {'host': HOST, 'timeout_s': 8, 'priority': 'urgent', 'targets': [{'service': 'desk'}]}
    stream = {**route, 'kind': 'stream', 'max_upstreams': 2, 'is_resumable': True}
    content = {
        'name': 'desk',
        'priorities': {
            'urgent': {'level': 1, 'target_first_token_s': 1},
            'slow': {'level': 3, 'target_first_token_s': 1},
        },
        'teams': {'shire': {'key_digests': [digest_of_secret(KEY)], 'priorities': ['urgent', 'slow']}},
        'services': {'desk': {}},
        'routes': {
            'lookup': {**route, 'path_prefix': '/lookup/', 'kind': 'safe', 'max_upstreams': 2},
            'book': {**route, 'path_prefix': '/book/', 'kind': 'unsafe', 'max_upstreams': 2},
            'brief': {**stream, 'path_prefix': '/brief/'},
            'summary': {**stream, 'path_prefix': '/summary/', 'priority': 'slow'},
            'once': {**stream, 'path_prefix': '/once/', 'is_resumable': False},
        },
    }
    return {**content, **changes}


def registration(name: str, sequence: int = 1, **changes: Any) -> Registration:
    """Return a registration of an upstream of the service."""
    content: dict[str, Any] = {
        'instance': InstanceId(name),
        'service': ServiceName('desk'),
        'address': f'{name}:80',
        'zone': Zone('a'),
        'born_ms': 1,
        'sequence': sequence,
        'standing': RegistrationState.READY,
        'slots': SLOTS,
    }
    return Registration(**{**content, **changes})


class World:
    """A gateway's state and clock; feeds events to the reducer and returns their effects."""

    def __init__(self, *upstreams: str, retries: RetryConfig | None = None) -> None:
        cfg = GatewayConfig(listen='127.0.0.1:0', retries=retries or RetryConfig(base=1000))
        self.state = GatewayState.from_config(cfg, Zone('a'), STOP_TIMEOUT_S)
        self.node = Node(self.state)
        self.now = 100.0
        self._keys = itertools.count(1)
        self.apply(PeerFound(CONTROL))
        self.apply_document(document())
        self.register(*(registration(name) for name in upstreams))

    def apply(self, event: Event) -> list[Effect]:
        """Return the effects of an event, without log lines."""
        effects = reduce(self.node, event, self.now, self.now)
        return [effect for effect in effects if not isinstance(effect, Log)]

    def apply_document(self, content: dict[str, Any], revision: int = 1) -> None:
        """Put a document into effect."""
        self.apply(EnvironmentChanged(Revision(revision), Environment.model_validate(content)))

    def register(
        self, *registrations: Registration, source: Peer = CONTROL, silent: tuple[str, ...] = ()
    ) -> None:
        """Receive registrations from a control host."""
        names = tuple(InstanceId(name) for name in silent)
        self.apply(Received(source, Registrations(registrations, names, 1)))

    def report_others(self, counts: dict[str, int], tokens: dict[str, int] | None = None) -> None:
        """Receive the number of attempts that the other gateways have open, and their tokens."""
        self.apply(Received(CONTROL, OtherAttempts(counts, tokens or {})))

    def ask(
        self, path: str = '/lookup/x', key: str = KEY, timeout_s: float | None = 5, tokens: int = 0
    ) -> list[Effect]:
        """Return the effects of a new request."""
        number = next(self._keys)
        head = RequestHead(f'request-{number}', HOST, path, key, timeout_s, tokens=tokens)
        return self.apply(RequestArrived(number, head))

    def end(self, start: StartAttempt, result: AttemptResult, **details: Any) -> list[Effect]:
        """Return the effects of the end of an attempt."""
        return self.apply(AttemptEnded(start.key, start.number, result, **details))


def starts(effects: list[Effect]) -> Iterator[StartAttempt]:
    """Yield the attempts that were started."""
    for effect in effects:
        if isinstance(effect, StartAttempt):
            yield effect


def only_start(effects: list[Effect]) -> StartAttempt:
    """Return the one attempt that was started."""
    attempts = list(starts(effects))
    assert len(attempts) == 1
    return attempts[0]
