"""Settings of a control host."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, field_validator

from basilcove.consensus.const import MEMBER_COUNTS
from basilcove.core.ids import NodeId


class ControlConfig(BaseModel):
    """First members of the control group and the folder of the durable state."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    bootstrap: tuple[NodeId, ...]
    data_folder: Path

    @field_validator('bootstrap')
    @classmethod
    def _check_bootstrap(cls, bootstrap: tuple[NodeId, ...]) -> tuple[NodeId, ...]:
        if len(set(bootstrap)) != len(bootstrap) or len(bootstrap) not in MEMBER_COUNTS:
            raise ValueError('bootstrap must list 3, 5 or 7 different nodes')
        return bootstrap
