"""Replays the committed commands on one state, and checks their outcomes against simple invariants."""

import json
from collections import defaultdict

from basilcove.catalog.apply import apply_logged, apply_members
from basilcove.catalog.commands import ApplyDocument, Claim, ReleaseClaim
from basilcove.catalog.messages import LoggedCommand
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import ClaimGranted, CommandRefused, DocumentApplied, LeaseGranted
from basilcove.consensus.models import Members
from basilcove.core.events import Message
from basilcove.core.ids import EnvironmentName, FencingNumber, RequestId, Revision
from basilcove.helpers.codec import decode
from basilcove.storage.models import EntryKind, LogEntry

ENVIRONMENT = EnvironmentName('wandoo')


def document(number: int) -> str:
    team = {'key_digests': [], 'priorities': []}
    return json.dumps({'name': ENVIRONMENT, 'priorities': {}, 'teams': {f't{number}': team}})


class Invariants:
    """Invariants of the outcomes of committed commands, independent of the catalog's code."""

    def __init__(self) -> None:
        self._holders: dict[str, str] = {}
        self._fence = FencingNumber(0)
        self._winners: dict[Revision, RequestId] = {}
        self._answers: dict[RequestId, Message] = {}
        self._changes: set[str] = set()

    def check_claim(self, command: Message, outcome: Message) -> None:
        """Check that a key is granted to one attempt until that attempt releases it."""
        if isinstance(command, Claim) and outcome == ClaimGranted():
            assert self._holders.setdefault(command.key, command.attempt_id) == command.attempt_id
        if isinstance(command, ReleaseClaim) and self._holders.get(command.key) == command.attempt_id:
            self._holders.pop(command.key)

    def check_change(self, command: Message, outcome: Message) -> None:
        """Check that a request has one answer, and a revision one winner."""
        if not isinstance(command, ApplyDocument) or isinstance(outcome, CommandRefused):
            return
        assert self._answers.setdefault(command.request_id, outcome) == outcome
        if isinstance(outcome, DocumentApplied):
            assert self._winners.setdefault(outcome.revision, command.request_id) == command.request_id
            assert outcome.revision == command.expected_revision + 1

    def check_members(self, members: Members) -> None:
        """Check that a request changes the control group once."""
        assert members.request_id not in self._changes, f'{members.request_id} is carried out twice'
        if members.request_id:
            self._changes.add(members.request_id)

    def check_lease(self, outcome: Message) -> None:
        """Check that fencing numbers increase."""
        if isinstance(outcome, LeaseGranted):
            assert outcome.fence > self._fence
            self._fence = outcome.fence


def replay(committed: dict[int, LogEntry]) -> tuple[CatalogState, dict[str, list[Message]]]:
    """Apply the committed commands to one state, and check the outcomes against the invariants."""
    oracle = CatalogState()
    outcomes: dict[str, list[Message]] = defaultdict(list)
    invariants = Invariants()
    assert sorted(committed) == list(range(1, len(committed) + 1))
    for index in sorted(committed):
        entry = committed[index]
        if entry.kind is EntryKind.MEMBERS:
            members = Members.decode(entry.body)
            invariants.check_members(members)
            apply_members(oracle, members, entry.time)
        if entry.kind is not EntryKind.COMMAND:
            continue
        logged = decode('catalog.logged_command', entry.body)
        assert isinstance(logged, LoggedCommand)
        command = decode(logged.kind, logged.body)
        outcome = apply_logged(oracle, logged, entry.time)
        outcomes[logged.proposal_id].append(outcome)
        invariants.check_claim(command, outcome)
        invariants.check_change(command, outcome)
        if len(outcomes[logged.proposal_id]) == 1:
            invariants.check_lease(outcome)
    return oracle, outcomes
