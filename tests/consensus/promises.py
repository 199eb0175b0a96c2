"""Checks that votes, acknowledgements and promotions rely only on durable state."""

from basilcove.consensus.messages import AppendAnswer, VoteAnswer
from basilcove.consensus.models import ConsensusState, node_of
from basilcove.core.events import Message
from basilcove.core.ids import NodeId
from tests.storage.fake_disk import FakeDisk


class DurabilityChecks:
    """Compares votes, acknowledgements and promotions with the contents of the disks."""

    def __init__(self, disks: dict[NodeId, FakeDisk]) -> None:
        self._disks = disks
        self._votes: dict[tuple[str, int], NodeId] = {}
        self._voters: set[str] = set()

    def check_sent(self, sender: NodeId, target: NodeId, message: Message) -> None:
        """Check a message when it is sent."""
        if sender not in self._disks:
            return
        disk = self._disks[sender]
        if isinstance(message, AppendAnswer) and message.accepted:
            assert message.match <= disk.last_index, f'{sender} acknowledges entries that are not synced'
        if isinstance(message, VoteAnswer) and message.granted and not message.trial:
            hard = disk.hard_state
            assert (hard.term, node_of(hard.vote)) == (message.asked_term, target), f'{sender}: unsynced vote'
            vote = (message.sender, message.asked_term)
            assert self._votes.setdefault(vote, target) == target, f'{sender} votes twice'

    def check_leader(self, state: ConsensusState) -> None:
        """Check that a leader's own vote is synced."""
        hard = self._disks[state.node].hard_state
        assert (hard.term, hard.vote) == (state.term, state.member), f'{state.node}: own vote is not synced'

    def check_changes(self, state: ConsensusState) -> None:
        """Check that a leader changes the group one at a time, after an entry of its own term."""
        own = [index for index, _ in state.history if index > state.leader_state.first_index]
        open_changes = [index for index in own if index > state.commit]
        assert len(open_changes) <= 1, f'{state.node}: two changes of members at once'
        assert not own or state.commit >= state.leader_state.first_index, (
            f'{state.node}: change before own entry'
        )

    def check_voters(self, state: ConsensusState) -> None:
        """Check that a repaired host which a leader makes a voter has all committed entries on disk."""
        for member in state.members.voters():
            disk = self._disks[node_of(member)]
            if member in self._voters or member.endswith(':0') or disk.hard_state.member != member:
                continue
            assert disk.last_index >= state.commit, f'{member} votes without all committed entries'
            self._voters.add(member)

    def check_commit(self, state: ConsensusState, index: int) -> None:
        """Check that a majority of the voters has synced an entry that a leader commits."""
        voters = state.members.voters()
        disks = [self._disks[node_of(member)] for member in voters]
        if any(disk.hard_state.member != member for disk, member in zip(disks, voters, strict=True)):
            # A disk was lost after it had stored the entry.
            return
        holding = sum(disk.last_index >= index for disk in disks)
        assert 2 * holding > len(voters), f'entry {index} is committed on {holding} of {len(voters)} disks'
