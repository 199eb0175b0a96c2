"""Settings of the distribution of documents."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from basilcove.core.ids import EnvironmentName, NodeId, Stage


class DistributionConfig(BaseModel):
    """Environment and stage that a node serves, and the node ids of the control group."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    environment: EnvironmentName
    stage: Stage = Stage.PRODUCTION
    control_nodes: Annotated[tuple[NodeId, ...], Field(min_length=1)]
