import json
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from basilcove.catalog.apply import apply, apply_logged
from basilcove.catalog.commands import (
    NO_ENVIRONMENT,
    AbandonClaim,
    AcquireLease,
    ApplyDocument,
    Claim,
    CompleteClaim,
    DecideMap,
    PromoteDocument,
    PutDocument,
    ReleaseClaim,
    RenewLease,
    TrialEvidence,
)
from basilcove.catalog.messages import LoggedCommand
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import (
    ClaimCompleted,
    ClaimGranted,
    ClaimMismatch,
    ClaimNotHeld,
    ClaimPending,
    ClaimRecorded,
    ClaimTableFull,
    ClaimUnknown,
    CommandRefused,
    DocumentApplied,
    DocumentRefused,
    LeaseGranted,
    LeaseHeld,
    LeaseLost,
    MapDecided,
    PromotionRefused,
    RevisionConflict,
)
from basilcove.catalog.snapshot import decode_state, encode_state
from basilcove.core.events import Message
from basilcove.core.ids import (
    AttemptId,
    EnvironmentName,
    FencingNumber,
    GroupName,
    NodeId,
    RequestId,
    Revision,
    Stage,
    Step,
)
from basilcove.environment.const import MAX_DOCUMENT_BYTES
from basilcove.helpers.codec import encode

ENVIRONMENT = EnvironmentName('boyaca')
OWNER = NodeId('entry-1')


def document(**sections: object) -> str:
    return json.dumps({'name': ENVIRONMENT, 'priorities': {}, 'teams': {}, **sections})


def apply_document(
    revision: int, request: str, text: str | None = None, stage: Stage = Stage.TRIAL
) -> Message:
    return ApplyDocument(ENVIRONMENT, stage, Revision(revision), text or document(), RequestId(request))


def put(state: CatalogState, revision: int, text: str) -> Message:
    return apply(state, PutDocument(ENVIRONMENT, Stage.PRODUCTION, Revision(revision), text), 0)


def claim(attempt: str, fingerprint: str = 'print', key: str = 'key') -> Claim:
    return Claim(key, fingerprint, OWNER, AttemptId(attempt), ENVIRONMENT)


def released(attempt: str) -> ReleaseClaim:
    return ReleaseClaim('key', AttemptId(attempt), ENVIRONMENT)


def completed(attempt: str, answer: bytes = b'answer') -> CompleteClaim:
    return CompleteClaim('key', AttemptId(attempt), answer, ENVIRONMENT)


def run(state: CatalogState, *commands: Message, time: float = 0) -> list[Message]:
    return [apply(state, command, time) for command in commands]


class TestDocuments:
    def test_one_of_two_equal_revisions_wins_and_a_resend_gets_the_first_answer(self) -> None:
        """Guards against a change that is applied twice or overwrites another."""
        state = CatalogState()
        outcomes = run(state, *(apply_document(0, request) for request in ('a', 'b', 'a', 'b')))
        assert outcomes[:2] == [DocumentApplied(Revision(1)), RevisionConflict(Revision(1))]
        assert outcomes[2:] == outcomes[:2]
        assert isinstance(apply(state, apply_document(1, 'a'), 1), CommandRefused)

    def test_faults_are_refused(self) -> None:
        """Guards against a replica that fails on a document when it applies it."""
        for text in ('{', '[]', '{"name": "other"}', document(limits={'max_claims': 'x'})):
            assert isinstance(apply(CatalogState(), apply_document(0, 'a', text), 0), DocumentRefused)
        direct = apply_document(0, 'a', stage=Stage.PRODUCTION)
        assert isinstance(apply(CatalogState(), direct, 0), DocumentRefused)

    def test_promotion_lists_missing_evidence(self) -> None:
        """Guards against an unproven document in production."""
        state = CatalogState()
        text = document(evidence={'min_time_s': 60, 'min_requests': 10, 'max_failure_fraction': 0.1})
        run(state, apply_document(0, 'a', text))
        evidence = TrialEvidence(Revision(1), 9, 2, 1)
        promote = PromoteDocument(ENVIRONMENT, Revision(1), RequestId('b'), evidence)
        refused = apply(state, promote, 59)
        assert isinstance(refused, PromotionRefused)
        assert len(refused.missing) == 4
        proven = replace(promote, evidence=TrialEvidence(Revision(1), 10, 1, 0), request_id=RequestId('c'))
        stale = replace(proven, evidence=TrialEvidence(Revision(0), 10, 1, 0), request_id=RequestId('d'))
        assert isinstance(apply(state, stale, 60), PromotionRefused)
        assert apply(state, proven, 60) == DocumentApplied(Revision(1))
        again = replace(proven, request_id=RequestId('e'))
        assert isinstance(apply(state, again, 60), PromotionRefused)


class TestNumberedDocuments:
    def test_highest_revision_wins_and_all_else_changes_nothing(self) -> None:
        """Guards against a resent or outdated document that is refused, or takes effect again."""
        state = CatalogState()
        first, other, newest = document(), document(annotations={'a': 'b'}), document(annotations={'a': 'c'})
        outcomes = [put(state, 7, first), put(state, 7, other), put(state, 9, newest), put(state, 8, other)]
        assert outcomes == [DocumentApplied(Revision(each)) for each in (7, 7, 9, 9)]
        assert state.documents[ENVIRONMENT, Stage.PRODUCTION].text == newest

    def test_too_large_a_document_is_refused(self) -> None:
        """Guards against a document that no peer would accept."""
        text = document(annotations={'a': 'x' * MAX_DOCUMENT_BYTES})
        assert isinstance(put(CatalogState(), 1, text), DocumentRefused)

    def test_revision_survives_a_snapshot(self) -> None:
        """Guards against a document that comes back under another revision."""
        state = CatalogState()
        put(state, 7, document())
        restored = decode_state(encode_state(state))
        assert put(restored, 7, document(annotations={'a': 'b'})) == DocumentApplied(Revision(7))
        assert restored.documents == state.documents


class TestClaims:
    def test_each_end_of_an_attempt(self) -> None:
        """Guards against a second run of a call, at each point where an attempt can end."""
        pending = ClaimPending(OWNER, AttemptId('one'))
        held = [claim('one'), claim('two'), claim('one'), claim('two', 'other')]
        start = [ClaimGranted(), pending, ClaimGranted(), ClaimMismatch()]
        abandoned = AbandonClaim('key', AttemptId('one'), ENVIRONMENT)
        state = CatalogState()
        assert run(state, *held, completed('two'), completed('one')) == [
            *start,
            ClaimNotHeld(),
            ClaimRecorded(),
        ]
        assert run(state, claim('two'), released('one')) == [ClaimCompleted(b'answer'), ClaimNotHeld()]
        assert run(CatalogState(), claim('one'), abandoned, claim('two'))[1:] == [
            ClaimRecorded(),
            ClaimUnknown(),
        ]
        freed = run(CatalogState(), claim('one'), released('one'), claim('one'), claim('two'), claim('one'))
        assert freed[2:] == [ClaimNotHeld(), ClaimGranted(), ClaimPending(OWNER, AttemptId('two'))]

    def test_release_that_arrives_before_its_claim(self) -> None:
        """Guards against a claim granted to an attempt that has already released it."""
        outcomes = run(CatalogState(), released('one'), claim('one'), claim('two'))
        assert outcomes == [ClaimRecorded(), ClaimNotHeld(), ClaimGranted()]

    def test_bounds_and_retention(self) -> None:
        """Guards against a table that grows without bound or drops claims too early."""
        state = CatalogState()
        run(state, apply_document(0, 'a', document(limits={'max_claims': 2, 'claim_retention_s': 10})))
        outcomes = run(state, *(claim('one', key=key) for key in 'abc'), time=1)
        assert outcomes == [ClaimGranted(), ClaimGranted(), ClaimTableFull()]
        assert run(state, claim('one', key='c'), time=11) == [ClaimTableFull()]
        assert run(state, claim('one', key='c'), time=11.5) == [ClaimGranted()]

    def test_large_answer_is_recorded_without_its_body(self) -> None:
        """Guards against answers that fill the memory of every replica."""
        state = CatalogState()
        outcomes = run(state, claim('one'), completed('one', bytes(16 * 1024 + 1)), claim('two'))
        assert outcomes[2] == ClaimCompleted(None)
        exact = run(CatalogState(), claim('one'), completed('one', bytes(16 * 1024)), claim('two'))
        assert exact[2] == ClaimCompleted(bytes(16 * 1024))


class TestLeases:
    def test_fencing_numbers_increase_and_old_ones_decide_nothing(self) -> None:
        """Guards against two holders whose orders can't be told apart."""
        state = CatalogState()
        granted = [
            apply(state, AcquireLease('lease', 'one', 5), 0),
            apply(state, AcquireLease('lease', 'two', 5), 4),
            apply(state, RenewLease('lease', 'one', FencingNumber(1), 5), 4),
            apply(state, AcquireLease('lease', 'two', 5), 9),
            apply(state, RenewLease('lease', 'one', FencingNumber(1), 5), 9),
        ]
        first, second = (LeaseGranted(FencingNumber(number), 5) for number in (1, 2))
        assert granted == [first, LeaseHeld('one', 1), first, second, LeaseLost()]
        decide = DecideMap(GroupName('group'), 7, Step(100), FencingNumber(1), accepted=True)
        assert isinstance(apply(state, decide, 10), CommandRefused)
        decided = MapDecided(7, Step(100), accepted=True)
        assert apply(state, replace(decide, fence=FencingNumber(2)), 10) == decided
        assert apply(state, replace(decide, fence=FencingNumber(2), accepted=False), 10) == decided

    def test_time_never_goes_back(self) -> None:
        """Guards against a lease that is extended by a leader whose clock is behind."""
        state = CatalogState()
        apply(state, AcquireLease('lease', 'one', 5), 100)
        assert apply(state, AcquireLease('lease', 'two', 5), 50) == LeaseHeld('one', 5)


class TestProposals:
    def test_same_proposal_is_applied_once_and_an_old_one_never(self) -> None:
        """Guards against a late duplicate that is carried out again after its answer was dropped."""
        state = CatalogState()
        logged = LoggedCommand('one', 60, *encode(AcquireLease('lease', 'one', 5)))
        first = apply_logged(state, logged, 0)
        assert apply_logged(state, logged, 59) == first
        assert apply_logged(state, logged, 170) == first
        assert isinstance(apply_logged(state, logged, 1000), CommandRefused)
        assert isinstance(
            apply_logged(state, LoggedCommand('two', 2000, 'catalog.claim', b'\xff'), 1000), CommandRefused
        )


COMMANDS = st.one_of(
    st.builds(claim, st.sampled_from('abc'), key=st.sampled_from('xy')),
    st.builds(released, st.sampled_from('abc')),
    st.builds(completed, st.sampled_from('abc'), st.sampled_from([b'', b'answer'])),
    st.builds(AcquireLease, st.sampled_from('lm'), st.sampled_from('abc'), st.floats(1, 9)),
    st.builds(apply_document, st.integers(0, 3), st.sampled_from('abc')),
)


class TestSnapshot:
    @given(commands=st.lists(st.tuples(COMMANDS, st.floats(0, 9)), max_size=30))
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_a_restored_state_answers_like_the_original(self, commands: list[tuple[Message, float]]) -> None:
        """Guards against a table or an order that a snapshot loses."""
        original = CatalogState()
        restored = CatalogState()
        for command, time in commands:
            assert apply(original, command, time) == apply(restored, command, time)
            restored = decode_state(encode_state(restored))
        assert original == restored
        assert list(original.claims) == list(restored.claims)
        assert NO_ENVIRONMENT not in original.claims
