"""Takes documents into effect; the only place that changes what a node holds."""

import hashlib
from collections.abc import Iterable, Iterator

from basilcove.core.events import Count, Effect, Emit, Log
from basilcove.core.ids import NodeId, Revision
from basilcove.core.reducer import Context
from basilcove.distribution.const import MAX_REMEMBERED
from basilcove.distribution.events import DistributionReady
from basilcove.distribution.messages import Step
from basilcove.distribution.models import DistributionState, Held, Key
from basilcove.distribution.readiness import is_ready
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.loading import load_accepted


def fingerprint(text: str) -> bytes:
    """Return the SHA-256 of a canonical document."""
    return hashlib.sha256(text.encode()).digest()


def take(
    state: DistributionState, key: Key, revision: Revision, text: str, steps: Iterable[tuple[bytes, Step]]
) -> Iterator[Effect]:
    """Hold a newer document and offer it at once; a document that can't be read is left alone."""
    held = state.documents.setdefault(key, Held())
    if revision <= held.revision:
        return
    environment = None
    if key == state.key:
        try:
            environment = load_accepted(text)
        except DocumentError as exc:
            remember(state.unreadable, fingerprint(text))
            yield Count('documents_unreadable')
            yield Log('error', str(exc), _fields(key, revision))
            return
    held.replace(revision, text, steps)
    held.environment = environment
    for view in state.peers.values():
        if not view.holds(key, held):
            view.next_offer_at = 0
    yield Count('documents_taken')


def settle(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    """Announce readiness, and the document that came into effect."""
    if not state.ready and is_ready(state, ctx.now):
        state.ready = True
        yield Emit(DistributionReady(state.own.revision))
        yield Log('info', 'distribution is ready', _fields(state.key, state.own.revision))
    held = state.own
    if state.ready and held.environment is not None and held.revision > state.announced:
        state.announced = held.revision
        yield Emit(EnvironmentChanged(held.revision, held.environment))


def breach(
    state: DistributionState, source: NodeId, key: Key, revision: int, digest: bytes
) -> Iterator[Effect]:
    """Report two documents of one revision; once for each source and document."""
    if (source, digest) in state.breaches:
        return
    remember(state.breaches, (source, digest))
    yield Count('document_breaches')
    fields = (*_fields(key, revision), ('source', source), ('digest', digest.hex()))
    yield Log('error', 'another document of the revision in effect was offered', fields)


def remember(known: set, element: object) -> None:  # type: ignore[type-arg]
    """Add to a set that holds a bounded number of elements."""
    if len(known) >= MAX_REMEMBERED:
        known.pop()
    known.add(element)


def _fields(key: Key, revision: int) -> tuple[tuple[str, str], ...]:
    return ('environment', key[0]), ('stage', key[1].value), ('revision', str(revision))
