"""Stores documents and puts them into effect; no other module changes the documents of a node."""

import hashlib
from collections.abc import Iterable, Iterator

from basilcove.core.events import Count, Effect, Emit, Log
from basilcove.core.ids import NodeId, Revision
from basilcove.core.reducer import Context
from basilcove.distribution.const import MAX_REMEMBERED_DIGESTS
from basilcove.distribution.events import DistributionReady, EvacuationsChanged
from basilcove.distribution.messages import Step
from basilcove.distribution.models import DistributionState, Key, LocalDocument
from basilcove.distribution.readiness import is_ready
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.loading import load_accepted


def compute_digest(text: str) -> bytes:
    """Return the SHA-256 of a canonical document."""
    return hashlib.sha256(text.encode()).digest()


def store_document(
    state: DistributionState, key: Key, revision: Revision, text: str, steps: Iterable[tuple[bytes, Step]]
) -> Iterator[Effect]:
    """Store a newer document and make its offers due; a document that can't be read is not stored."""
    local = state.documents.setdefault(key, LocalDocument())
    if revision <= local.revision:
        return
    environment = None
    if key == state.key:
        try:
            environment = state.upgrade(load_accepted(text))
        except DocumentError as exc:
            yield from mark_unreadable(state, revision, text, exc)
            return
    local.replace(revision, text, steps)
    local.environment = environment
    for view in state.peers.values():
        if not view.has_document(key, local):
            view.next_offer_at = 0
    yield Count('documents_taken')


def mark_unreadable(
    state: DistributionState, revision: Revision, text: str, exc: DocumentError
) -> Iterator[Effect]:
    """Remember that this version can't read a document of the node's own key, and report it."""
    add_bounded(state.unreadable_digests, compute_digest(text))
    state.unreadable_revision = max(state.unreadable_revision, revision)
    yield Count('documents_unreadable')
    yield Log('error', f'the document can not be read: {exc}', _fields(state.key, revision))


def activate_if_ready(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    """Emit once that the node is ready, and once each set of evacuated zones and document in effect.

    The zones come first, so that no request is routed without them.
    """
    if not state.ready and is_ready(state, ctx.now):
        state.ready = True
        yield Emit(DistributionReady(state.own.revision))
        yield Log('info', 'distribution is ready', _fields(state.key, state.own.revision))
    yield from apply_evacuations(state)
    local = state.own
    if state.ready and local.environment is not None and local.revision > state.revision_in_effect:
        state.revision_in_effect = local.revision
        yield Emit(EnvironmentChanged(local.revision, local.environment))


def apply_evacuations(state: DistributionState) -> Iterator[Effect]:
    """Emit the evacuated zones if the node is ready and they are not in effect yet."""
    evacuations = state.evacuations
    if not state.ready or evacuations.version == state.evacuations_in_effect:
        return
    state.evacuations_in_effect = evacuations.version
    yield Emit(EvacuationsChanged.from_evacuations(evacuations))


def report_breach(
    state: DistributionState, source: NodeId, key: Key, revision: int, digest: bytes
) -> Iterator[Effect]:
    """Report another document of the same revision, once for each source and document."""
    if (source, digest) in state.breaches:
        return
    add_bounded(state.breaches, (source, digest))
    yield Count('document_breaches')
    fields = (*_fields(key, revision), ('source', source), ('digest', digest.hex()))
    yield Log('error', 'another document of the revision in effect was offered', fields)


def add_bounded(elements: set, element: object) -> None:  # type: ignore[type-arg]
    """Add to a set of bounded size, evicting an arbitrary element if it is full."""
    if len(elements) >= MAX_REMEMBERED_DIGESTS:
        elements.pop()
    elements.add(element)


def _fields(key: Key, revision: int) -> tuple[tuple[str, str], ...]:
    return ('environment', key[0]), ('stage', key[1].value), ('revision', str(revision))
