"""Changes of a member's term and state."""

from basilcove.consensus.const import ELECTION_TIMEOUT_S, FIRST_ELECTION_TIMEOUT_S
from basilcove.consensus.durability import persist
from basilcove.consensus.events import LeadershipLost, ReadRefused
from basilcove.consensus.models import NEVER, ConsensusState, LeaderState, MemberState, node_of
from basilcove.core.events import Effect, Emit, Log, Received
from basilcove.helpers.hashing import stable_fraction


def is_from_cluster(state: ConsensusState, event: Received, target: str | None = None) -> bool:
    """Tell whether a message is addressed to this identity and its sender runs on the peer's node."""
    msg = event.message
    if state.member_state in {MemberState.UNFORMED, MemberState.FAILED}:
        return False
    if getattr(msg, 'cluster', '') != state.cluster:
        return False
    if node_of(getattr(msg, 'sender', '')) != event.peer.node:
        return False
    return target is None or target == state.member


def observe_term(state: ConsensusState, term: int, now: float) -> list[Effect]:
    """Become a follower in a later term."""
    if term <= state.term:
        return []
    state.term = term
    state.vote = ''
    return [*become_follower(state, '', now), persist(state, (), with_hard_state=True)]


def become_follower(state: ConsensusState, leader: str, now: float) -> list[Effect]:
    """Become a follower in the current term; ``leader`` is empty if unknown."""
    effects: list[Effect] = []
    if state.member_state is MemberState.LEADER:
        effects.append(Log('info', 'leadership ended', (('term', str(state.term)),)))
        effects.append(Emit(LeadershipLost()))
        effects.extend(Emit(ReadRefused(read.token, None)) for read in state.leader_state.reads)
        state.leader_state = LeaderState()
    state.member_state = MemberState.FOLLOWER
    if leader != state.leader:
        state.verified_index = 0
    state.leader = leader
    state.votes.clear()
    postpone_campaign(state, now)
    return effects


def postpone_campaign(state: ConsensusState, now: float) -> None:
    """Wait 1 to 2 election timeouts; the fraction differs by member, term and attempt."""
    fraction = stable_fraction(state.member, state.term, state.campaigns)
    has_had_leader = state.leader_contact_at != NEVER
    timeout_s = ELECTION_TIMEOUT_S if has_had_leader else FIRST_ELECTION_TIMEOUT_S
    state.campaign_at = now + timeout_s * (1 + fraction)


def has_majority(state: ConsensusState, supporters: set[str]) -> bool:
    """Tell whether these are more than half of the voters."""
    voters = state.members.voters()
    return 2 * len(supporters.intersection(voters)) > len(voters)
