"""Decides which entries an agent links to if there are more upstreams than an entry watches."""

from dataclasses import dataclass

from basilcove.core.events import Peer
from basilcove.core.ids import Role, UpstreamName
from basilcove.environment.models import Environment
from basilcove.helpers.hashing import rendezvous
from basilcove.membership.models import AnnouncerState


@dataclass(frozen=True, slots=True)
class EntrySample:
    """Selection of entries by their samples: ``bound`` upstreams of the same work in the entry's zone."""

    announcer: AnnouncerState
    bound: int

    def is_wanted(self, peer: Peer) -> bool:
        """Tell whether an entry watches an upstream of this host; other roles are always linked.

        Until the document and the upstream are known, all entries are linked.
        """
        environment, local = self.announcer.environment, self.announcer.local
        if Role.ENTRY not in peer.roles or Role.CONTROL in peer.roles or environment is None or not local:
            return True
        return any(is_sampled(environment, name, peer, self.bound) for name in local)


def is_sampled(environment: Environment, upstream: UpstreamName, peer: Peer, bound: int) -> bool:
    """Tell whether an entry watches an upstream, as agent and entry both compute it from the document.

    If there are no more upstreams of the same work in a zone than the bound, every entry watches them.
    Otherwise only entries of that availability zone do, and each of them watches a sample.
    """
    own = environment.upstreams.get(upstream)
    if own is None:
        return True
    work = {*own.models, *own.services}
    candidates = [
        name
        for name, other in environment.upstreams.items()
        if other.zone == own.zone and not work.isdisjoint((*other.models, *other.services))
    ]
    if len(candidates) <= bound:
        return True
    return peer.zone == own.zone and upstream in rendezvous(peer.node, candidates, bound)
