"""Lets an adapter store and read documents whose revisions are numbered by the operator."""

from basilcove.catalog.commands import PutDocument, ReadDocument
from basilcove.catalog.control import ControlState
from basilcove.catalog.outcomes import DocumentApplied, DocumentRead, DocumentRefused
from basilcove.core.ids import EnvironmentName, Revision, Stage
from basilcove.core.runtime import Runtime
from basilcove.wiring.catalog_gate import CatalogGate
from basilcove.wiring.const import DOCUMENT_TIMEOUT_S

_NO_REVISION = Revision(0)


class DocumentGate:
    """Documents of one environment and stage, as an adapter stores and reads them."""

    def __init__(
        self, runtime: Runtime, catalog: CatalogGate, environment: EnvironmentName, stage: Stage
    ) -> None:
        """Serve the documents of one environment and stage."""
        self._runtime = runtime
        self._catalog = catalog
        self._key = (environment, stage)

    async def put(self, revision: Revision, text: str) -> DocumentApplied | DocumentRefused | None:
        """Store a document, and return the outcome; None if it isn't known in time.

        It is applied once a majority is known to hold this or a higher revision durably, and refused if no
        host could read it.
        """
        committed = self.committed_revision
        if revision <= committed:
            return DocumentApplied(committed)
        command = PutDocument(*self._key, revision, text)
        outcome = await self._catalog.propose(command, DOCUMENT_TIMEOUT_S)
        return outcome if isinstance(outcome, DocumentApplied | DocumentRefused) else None

    async def read(self) -> tuple[Revision, str] | None:
        """Return the newest document, confirmed by a majority; None if it can't be confirmed now."""
        answer = await self._catalog.query(ReadDocument(*self._key), DOCUMENT_TIMEOUT_S)
        if not isinstance(answer, DocumentRead):
            return None
        return answer.revision, answer.document

    @property
    def committed_revision(self) -> Revision:
        """Return the newest revision that this host knows to be committed."""
        row = self._runtime.node.part(ControlState).catalog.documents.get(self._key)
        return row.revision if row is not None else _NO_REVISION
