import json
from dataclasses import dataclass, field

import pytest

from basilcove.catalog import coordinator as _catalog  # noqa: F401
from basilcove.catalog import documents
from basilcove.catalog.commands import ApplyDocument, PromoteDocument, PutDocument
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import DocumentAccepted
from basilcove.catalog.evidence import prepare_command
from basilcove.catalog.messages import LoggedCommand
from basilcove.catalog.models import DocumentRow
from basilcove.catalog.outcomes import DocumentRefused
from basilcove.consensus.events import EntriesCommitted
from basilcove.core.events import Effect
from basilcove.core.ids import EnvironmentName, NodeId, RequestId, Revision, Stage
from basilcove.core.reducer import Context, Node, handles, reduce
from basilcove.helpers.codec import encode
from basilcove.storage.models import EntryKind, LogEntry, Recovered

ENVIRONMENT = EnvironmentName('desk')
REVISIONS = 80


@dataclass
class Announced:
    revisions: list[int] = field(default_factory=list)


@handles(DocumentAccepted, Announced)
def _on_accepted(state: Announced, event: DocumentAccepted, ctx: Context) -> list[Effect]:
    state.revisions.append(event.revision)
    return []


def entry(index: int) -> LogEntry:
    """Return the log entry of a document with many routes."""
    text = json.dumps({'name': ENVIRONMENT, 'routes': {f'r-{number}': {} for number in range(200)}})
    command = PutDocument(ENVIRONMENT, Stage.PRODUCTION, Revision(index), text)
    logged = LoggedCommand(f'p-{index}', 1000, *encode(command))
    return LogEntry(index, 1, 1, EntryKind.COMMAND, encode(logged)[1])


class TestUnreadableDocument:
    @pytest.mark.parametrize(
        'text',
        [r'{"annotations": {"note": "\ud83d"}, "name": "desk", "priorities": {}, "teams": {}}', '{', '{}'],
    )
    def test_leader_refuses_to_store_it(self, text: str) -> None:
        """Guards against a document that a majority stores and acknowledges and no host can obey."""
        state = ControlState.from_recovered(NodeId('c-1'), Recovered())
        put = PutDocument(ENVIRONMENT, Stage.PRODUCTION, Revision(7), text)
        apply = ApplyDocument(ENVIRONMENT, Stage.TRIAL, Revision(0), text, RequestId('r-1'))
        assert isinstance(prepare_command(state, put), DocumentRefused)
        assert isinstance(prepare_command(state, apply), DocumentRefused)
        row = DocumentRow(ENVIRONMENT, Stage.TRIAL, Revision(1), text, 0, Revision(0))
        state.catalog.documents[ENVIRONMENT, Stage.TRIAL] = row
        promote = PromoteDocument(ENVIRONMENT, Revision(1), RequestId('r-2'))
        assert isinstance(prepare_command(state, promote), DocumentRefused)

    def test_late_repeat_is_not_refused(self) -> None:
        """Guards against the refusal of a configuration whose number was acknowledged before."""
        state = ControlState.from_recovered(NodeId('c-1'), Recovered())
        row = DocumentRow(ENVIRONMENT, Stage.PRODUCTION, Revision(7), '{}', 0, Revision(0))
        state.catalog.documents[ENVIRONMENT, Stage.PRODUCTION] = row
        put = PutDocument(ENVIRONMENT, Stage.PRODUCTION, Revision(7), '{')
        assert prepare_command(state, put) == put


class TestRestart:
    def test_log_with_many_revisions(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a restart that reads each logged document and takes longer than an election."""
        read = 0
        read_sections = documents._read_sections

        def count(text: str) -> object:
            nonlocal read
            read += 1
            return read_sections(text)

        monkeypatch.setattr(documents, '_read_sections', count)
        state, announced = ControlState.from_recovered(NodeId('c-1'), Recovered()), Announced()
        entries = tuple(entry(index) for index in range(1, REVISIONS + 1))
        reduce(Node(state, announced), EntriesCommitted(entries), 1, 1)
        assert announced.revisions == [REVISIONS]
        assert state.applied == REVISIONS
        assert not read
        assert documents.limits_of(state.catalog, ENVIRONMENT).max_claims
        assert documents.limits_of(state.catalog, ENVIRONMENT).max_claims
        assert read == 1
