"""State of the distribution of documents."""

import hashlib
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

from basilcove.core.events import Peer
from basilcove.core.ids import EnvironmentName, NodeId, Revision, Role, Stage, Zone
from basilcove.distribution.config import DistributionConfig
from basilcove.distribution.const import (
    CHUNK_BYTES,
    MAX_HISTORY_BYTES,
    MAX_HISTORY_STEPS,
    NO_REVISION,
    SMALL_DELTA_BYTES,
)
from basilcove.distribution.messages import Chunk, Offer, Step, Want
from basilcove.environment.canonical import make_delta
from basilcove.environment.models import Environment
from basilcove.zones.models import Evacuations

Key: TypeAlias = tuple[EnvironmentName, Stage]
Upgrade: TypeAlias = Callable[[Environment], Environment]


@dataclass
class History:
    """Latest changes, each with the digest of its base; bounded in number and in ``size`` of all patches."""

    steps: deque[tuple[bytes, Step]] = field(default_factory=deque)
    size: int = 0

    def add(self, base: bytes, step: Step) -> None:
        """Append a change, and evict the oldest ones beyond the bounds."""
        if self.steps and self.steps[-1][1].digest != base:
            self.steps.clear()
            self.size = 0
        self.steps.append((base, step))
        self.size += len(step.patch)
        while self.size > MAX_HISTORY_BYTES or len(self.steps) > MAX_HISTORY_STEPS:
            self.size -= len(self.steps.popleft()[1].patch)

    def since(self, base: bytes) -> tuple[Step, ...]:
        """Return the changes since the document with this digest; none if it is too old."""
        steps: deque[Step] = deque()
        for base_digest, step in reversed(self.steps):
            steps.appendleft(step)
            if base_digest == base:
                return tuple(steps)
        return ()


@dataclass
class LocalDocument:
    """The node's newest document of an environment and stage; revision 0 before the first."""

    revision: Revision = NO_REVISION
    digest: bytes = b''
    text: str = ''
    environment: Environment | None = None
    history: History = field(default_factory=History)
    _packed: bytes = b''

    def packed(self) -> bytes:
        """Return the compressed document; it is compressed only once."""
        if not self._packed:
            self._packed = zlib.compress(self.text.encode())
        return self._packed

    def replace(self, revision: Revision, text: str, steps: Iterable[tuple[bytes, Step]]) -> None:
        """Store a newer document and the changes that led to it."""
        for base, step in steps:
            self.history.add(base, step)
        self.revision = revision
        self.text = text
        self.digest = hashlib.sha256(text.encode()).digest()
        self._packed = b''

    def make_step(self, revision: Revision, digest: bytes, text: str) -> tuple[tuple[bytes, Step], ...]:
        """Return the change from this document to another; none if a whole copy is smaller."""
        patch = make_delta(self.text, text) if self.text else None
        return () if patch is None else ((self.digest, Step(revision, digest, patch)),)

    def steps_since(self, base: bytes) -> tuple[Step, ...]:
        """Return the changes from a base to this document; none if a whole copy is smaller."""
        steps = self.history.since(base) if base else ()
        if not steps or steps[-1].digest != self.digest:
            return ()
        size = sum(len(step.patch) for step in steps)
        return steps if size < SMALL_DELTA_BYTES or size < len(self.packed()) else ()

    def chunks(self, key: Key, want: Want) -> list[Chunk]:
        """Return the requested chunks of the whole copy."""
        packed = self.packed()
        total = -(-len(packed) // CHUNK_BYTES)
        indices = want.missing if want.missing and want.digest == self.digest else range(total)
        chunks = []
        for index in indices:
            body = packed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
            if index < 0 or not body:
                continue
            chunks.append(Chunk(*key, self.revision, self.digest, index, total, body))
        return chunks


@dataclass
class PeerView:
    """A linked peer, with the documents that it has offered."""

    peer: Peer
    found_at: float
    offers: dict[Key, Offer] = field(default_factory=dict)
    next_offer_at: float = 0
    # Log index of the newest list of voters that the peer is known to have.
    voters_index: int = 0
    # Highest version of the evacuated zones that the peer has stated.
    evacuations_version: int = 0
    # Consecutive requests without a result; peers with fewer failures are asked first.
    failures: int = 0

    def has_document(self, key: Key, local: LocalDocument) -> bool:
        """Tell whether the peer is known to have the same document."""
        offer = self.offers.get(key)
        return offer is not None and (offer.revision, offer.digest) == (local.revision, local.digest)


@dataclass
class Pull:
    """A request for a newer document, and the chunks that have arrived."""

    node: NodeId | None = None
    deadline: float = 0
    whole: bool = False
    has_progressed: bool = False
    # Compressed copies may differ between two builds of zlib, so chunks come from one source.
    source: NodeId | None = None
    revision: Revision = NO_REVISION
    digest: bytes = b''
    total: int = 0
    chunks: dict[int, bytes] = field(default_factory=dict)

    def restart(self, source: NodeId, chunk: Chunk) -> None:
        """Drop the chunks that arrived, and start to collect those of another copy."""
        self.source = source
        self.revision, self.digest, self.total = chunk.revision, chunk.digest, chunk.total
        self.chunks = {}

    def missing(self) -> tuple[int, ...]:
        """Return the indices of the chunks that have not arrived."""
        if not self.chunks:
            return ()
        return tuple(index for index in range(self.total) if index not in self.chunks)


def keep_document(document: Environment) -> Environment:
    """Return a document as it is stored."""
    return document


@dataclass
class DistributionState:
    """Documents of the node, and the state of its peers."""

    node: NodeId
    zone: Zone
    roles: tuple[Role, ...]
    key: Key
    control_nodes: frozenset[NodeId]
    # Log index at which the control nodes were the voters; 0 for those of the settings.
    voters_index: int = 0
    documents: dict[Key, LocalDocument] = field(default_factory=dict)
    peers: dict[NodeId, PeerView] = field(default_factory=dict)
    pull: Pull = field(default_factory=Pull)
    # Digests of documents that this version can't read, and (source, digest) of breaches already reported.
    unreadable_digests: set[bytes] = field(default_factory=set)
    # Newest revision of the own key that this version can't read; 0 if it could read each.
    unreadable_revision: Revision = NO_REVISION
    breaches: set[tuple[NodeId, bytes]] = field(default_factory=set)
    started_at: float | None = None
    caught_up: bool = False
    # Newest accepted revision that the leader confirmed since the process started; None before its answer.
    confirmed_revision: Revision | None = None
    evacuations: Evacuations = field(default_factory=Evacuations)
    # Version of the evacuated zones that the leader confirmed with the revision.
    confirmed_evacuations: int = 0
    # Version of the evacuated zones in effect; None before the node is ready.
    evacuations_in_effect: int | None = None
    ready: bool = False
    revision_in_effect: Revision = NO_REVISION
    deltas: bool = True
    min_interval_s: float = 0
    # Turns the document that an earlier build stored into what it means to this one.
    upgrade: Upgrade = keep_document
    # When a document was last received from a peer, in monotonic seconds.
    last_pull_at: float = float('-inf')

    @classmethod
    def from_config(
        cls, cfg: DistributionConfig, node: NodeId, zone: Zone, roles: tuple[Role, ...]
    ) -> 'DistributionState':
        """Return the state of a process that has just started."""
        key = (cfg.environment, cfg.stage)
        state = cls(node, zone, roles, key, frozenset(cfg.control_nodes), documents={key: LocalDocument()})
        state.deltas, state.min_interval_s = cfg.deltas, cfg.min_interval_s
        return state

    @property
    def is_control(self) -> bool:
        """Tell whether the node may introduce revisions."""
        return Role.CONTROL in self.roles

    def make_step(
        self, local: LocalDocument, revision: Revision, digest: bytes, text: str
    ) -> tuple[tuple[bytes, Step], ...]:
        """Return the change from a document to a newer one; none if this node sends no deltas."""
        return local.make_step(revision, digest, text) if self.deltas else ()

    @property
    def has_unreadable(self) -> bool:
        """Tell whether a revision that can't be read is newer than the node's own document."""
        return self.unreadable_revision > self.own.revision

    @property
    def own(self) -> LocalDocument:
        """Return the document of the node's own environment and stage."""
        return self.documents[self.key]
