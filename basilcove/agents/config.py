"""Settings of attempts at an agent."""

from pydantic import BaseModel, ConfigDict, Field

from basilcove.agents.const import PROGRESS_TIMEOUT_S, STOP_TIMEOUT_S


class AgentsConfig(BaseModel):
    """Limits in seconds: how long a call may make no progress, and how long a planned stop may take."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    progress_timeout_s: float = Field(default=PROGRESS_TIMEOUT_S, gt=0)
    stop_timeout_s: float = Field(default=STOP_TIMEOUT_S, gt=0)
