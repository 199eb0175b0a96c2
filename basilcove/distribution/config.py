"""Settings of the distribution of documents."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from basilcove.core.ids import EnvironmentName, NodeId, Stage


class DistributionConfig(BaseModel):
    """Environment and stage that a node serves, and the node ids of the control group.

    Without ``deltas``, only whole copies are sent, which is cheaper if each revision changes much of the
    document. After a document was stored, the next one is requested ``min_interval_s`` later at the earliest.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    environment: EnvironmentName
    stage: Stage = Stage.PRODUCTION
    control_nodes: Annotated[tuple[NodeId, ...], Field(min_length=1)]
    deltas: bool = True
    min_interval_s: float = Field(default=0, ge=0)
