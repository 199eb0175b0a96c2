"""Settings of a control host."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, field_validator

from basilcove.consensus.const import KEPT_ENTRIES, MEMBER_COUNTS, SNAPSHOT_AFTER_ENTRIES
from basilcove.core.ids import NodeId


class ControlConfig(BaseModel):
    """First members of the control group and the folder of the durable state.

    A snapshot is taken after ``snapshot_after_entries`` log entries; ``kept_entries`` before it stay
    in memory for members that lag a little.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    bootstrap: tuple[NodeId, ...]
    data_folder: Path
    snapshot_after_entries: int = Field(SNAPSHOT_AFTER_ENTRIES, ge=1)
    kept_entries: int = Field(KEPT_ENTRIES, ge=0)

    @field_validator('bootstrap')
    @classmethod
    def _check_bootstrap(cls, bootstrap: tuple[NodeId, ...]) -> tuple[NodeId, ...]:
        if len(set(bootstrap)) != len(bootstrap) or len(bootstrap) not in MEMBER_COUNTS:
            raise ValueError('bootstrap must list 3, 5 or 7 different nodes')
        return bootstrap
