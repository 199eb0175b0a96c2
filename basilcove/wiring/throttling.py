"""Tells the book of leases which control hosts share the limits of upstreams."""

from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Tick
from basilcove.core.reducer import Context, handles
from basilcove.throttling.models import ThrottlingState


@handles(Tick, ThrottlingState)
def on_tick(state: ThrottlingState, event: Tick, ctx: Context) -> list[Effect]:
    """Pass on the voters; a removed host may never hear of its removal, but it stops hearing a leader."""
    if not ctx.node.has(ConsensusState):
        return []
    consensus = ctx.node.part(ConsensusState)
    _, members = consensus.committed_members()
    voters = frozenset(member.node for member in members.members if member.voter)
    state.book.update_voters(voters, ctx.now, is_in_contact=consensus.has_leader_contact(ctx.now))
    return []
