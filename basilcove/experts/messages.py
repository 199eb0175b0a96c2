"""Messages by which the agents of a group share the popularity of experts."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import GroupName, Incarnation, UpstreamName
from basilcove.experts import experts_pb2 as pb
from basilcove.helpers.codec import message


@message('experts.popularity_report', pb.PopularityReport)
@dataclass(frozen=True, slots=True)
class PopularityReport(Message):
    """Selections of each expert in one interval, summed over an engine's ranks.

    ``changes`` is encoded by ``CountReporter``; ``incarnation`` is that of the agent.
    """

    group: GroupName
    upstream: UpstreamName
    incarnation: Incarnation
    sequence: int
    full: bool
    changes: bytes


@message('experts.popularity_answer', pb.PopularityAnswer)
@dataclass(frozen=True, slots=True)
class PopularityAnswer(Message):
    """The answer to the report of this sequence; unless ``accepted``, it requests a full report."""

    group: GroupName
    upstream: UpstreamName
    incarnation: Incarnation
    sequence: int
    accepted: bool
