"""Events and effects of remote groups."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import GroupName, InstanceId, Rank
from basilcove.experts.remote.orders import Order, RankQuery, Reply


@dataclass(frozen=True, slots=True)
class CallRank(Effect):
    """Calls a rank; ``number`` identifies the call within its group."""

    group: GroupName
    rank: Rank
    number: int
    instance: InstanceId
    address: str
    epoch: int
    token: int
    call: Order | RankQuery


@dataclass(frozen=True, slots=True)
class RankAnswered(Event):
    """A call to a rank ended; the fields are those of ``CallRank``."""

    group: GroupName
    rank: Rank
    number: int
    epoch: int
    token: int
    call: Order | RankQuery
    reply: Reply
