"""Decides which entries an agent links to, where there are more upstreams than an entry watches."""

from dataclasses import dataclass

from basilcove.core.events import Peer
from basilcove.core.ids import Role, UpstreamName
from basilcove.environment.models import Environment
from basilcove.helpers.hashing import rendezvous
from basilcove.membership.models import AnnouncerState


@dataclass(frozen=True, slots=True)
class EntrySample:
    """Each entry draws this many upstreams of each kind of work in its availability zone."""

    announcer: AnnouncerState
    bound: int

    def is_wanted(self, peer: Peer) -> bool:
        """Tell whether an entry has drawn an upstream of this host; other roles are always linked.

        Until the document and the upstream are known, all entries are linked.
        """
        environment, local = self.announcer.environment, self.announcer.local
        if Role.ENTRY not in peer.roles or Role.CONTROL in peer.roles or environment is None or not local:
            return True
        return any(is_drawn(environment, name, peer, self.bound) for name in local)


def is_drawn(environment: Environment, upstream: UpstreamName, peer: Peer, bound: int) -> bool:
    """Tell whether an entry watches an upstream, as both compute it from the document.

    Only where upstreams of the same work exceed the bound does an entry leave some of them, and all
    of other availability zones, unwatched.
    """
    own = environment.upstreams.get(upstream)
    if own is None:
        return True
    work = {*own.models, *own.services}
    alike = [
        name
        for name, other in environment.upstreams.items()
        if other.zone == own.zone and not work.isdisjoint((*other.models, *other.services))
    ]
    if len(alike) <= bound:
        return True
    return peer.zone == own.zone and upstream in rendezvous(peer.node, alike, bound)
