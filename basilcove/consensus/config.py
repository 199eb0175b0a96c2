"""Settings of a control host."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, field_validator

from basilcove.consensus.const import FAULT_TOLERANCE, KEPT_ENTRIES, MEMBER_COUNTS, SNAPSHOT_AFTER_ENTRIES
from basilcove.core.ids import NodeId


class ControlConfig(BaseModel):
    """First members of the control group and the folder of the durable state.

    A host without first members joins the group of the hosts that it is linked with.
    With ``admits_unknown`` the group admits every control host that asks to join, and removes lost members.
    It keeps a voter that is only silent as long as ``fault_tolerance`` hosts, disks included, may be lost at
    once: a group of 2 x ``fault_tolerance`` + 1 voters bears that, a smaller one half of its other members.
    Not stated or null stands for ``FAULT_TOLERANCE``; above 3 it has no further effect.

    A snapshot is taken after ``snapshot_after_entries`` log entries; the last ``kept_entries`` that it
    covers stay in memory for members that lag slightly.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    bootstrap: tuple[NodeId, ...]
    data_folder: Path
    admits_unknown: bool = False
    fault_tolerance: int = Field(FAULT_TOLERANCE, ge=0)
    snapshot_after_entries: int = Field(SNAPSHOT_AFTER_ENTRIES, ge=1)
    kept_entries: int = Field(KEPT_ENTRIES, ge=0)

    @field_validator('fault_tolerance', mode='before')
    @classmethod
    def _default_tolerance(cls, tolerance: object) -> object:
        return FAULT_TOLERANCE if tolerance is None else tolerance

    @field_validator('bootstrap')
    @classmethod
    def _check_bootstrap(cls, bootstrap: tuple[NodeId, ...]) -> tuple[NodeId, ...]:
        if len(set(bootstrap)) != len(bootstrap) or len(bootstrap) not in MEMBER_COUNTS:
            raise ValueError('bootstrap must list 1, 3, 5 or 7 different nodes, or none')
        return bootstrap
