"""Which member a leader removes from a group that admits every host, so that replaced hosts don't stay in it.

Silence doesn't tell a host that is gone from one that is frozen or cut off, whose disk still counts for what
was acknowledged. So the group keeps as many voters as the losses need that it has to bear at once. A voter is
removed only beyond that number, which a group reaches when the successor of a lost host has become a voter.
"""

from basilcove.consensus.const import (
    LOST_AFTER_S,
    MAX_VOTERS,
    MIN_TOLERANT_VOTERS,
    SILENT_AFTER_S,
)
from basilcove.consensus.models import NEVER, ConsensusState, Member


def find_removable(state: ConsensusState, now: float) -> Member | None:
    """Return the member to remove from the group of this leader, if any; costs a pass over the members."""
    removable = _find_removable_voter(state, now)
    if removable is not None:
        return removable
    for member in state.members.members:
        if not member.voter and silent_s(state, member, now) > LOST_AFTER_S:
            return member
    return None


def max_voters(state: ConsensusState) -> int:
    """Return how many voters the group may have, with room for the successor of a lost one."""
    return max(MAX_VOTERS, _fewest_voters(state) + 1)


def silent_s(state: ConsensusState, member: Member, now: float) -> float:
    """Return for how many seconds this leader has heard nothing from a member."""
    if member.member == state.member:
        return 0
    progress = state.leader_state.progress.get(member.member)
    contact_at = progress.contact_at if progress is not None else NEVER
    return now - max(contact_at, state.leader_state.elected_at)


def _find_removable_voter(state: ConsensusState, now: float) -> Member | None:
    """Return the voter that was silent for longest, if the group is large enough without it and better off.

    A host that is gone was mostly silent for longer than one that is frozen for a moment.
    """
    voters = [member for member in state.members.members if member.voter]
    if len(voters) <= _fewest_voters(state):
        return None
    longest = max(voters, key=lambda voter: silent_s(state, voter, now))
    longest_s = silent_s(state, longest, now)
    if longest_s > LOST_AFTER_S:
        return longest
    heard = sum(silent_s(state, voter, now) <= SILENT_AFTER_S for voter in voters)
    if heard < len(voters) and heard - _tolerance(state) <= len(voters) // 2:
        return longest
    return None


def _fewest_voters(state: ConsensusState) -> int:
    """Return the number of voters of which a majority remains after the losses that the group has to bear."""
    return max(MIN_TOLERANT_VOTERS, 2 * _tolerance(state) + 1)


def _tolerance(state: ConsensusState) -> int:
    """Return how many losses at once the group has to bear.

    Hosts that lost their disks count as members, though they don't vote until they have caught up.
    """
    members = min(len(state.members.members), MAX_VOTERS)
    return min(state.fault_tolerance, (members - 1) // 2)
