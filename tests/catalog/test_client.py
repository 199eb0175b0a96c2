from basilcove.catalog.commands import Claim
from basilcove.catalog.outcomes import ClaimGranted
from basilcove.core.ids import AttemptId
from tests.consensus.cluster import CLIENT, Cluster


class TestAnswers:
    def test_one_entry_for_a_proposal_that_a_follower_forwards(self) -> None:
        """Guards against lost answers to forwarded proposals, which every resend would log again."""
        cluster = Cluster()
        cluster.elect()
        before = len(cluster.committed)
        for number in range(12):
            command = Claim(f'key-{number}', 'print', CLIENT, AttemptId(f'attempt-{number}'))
            assert cluster.ask(f'question-{number}', command) == ClaimGranted()
        assert len(cluster.committed) == before + 12
