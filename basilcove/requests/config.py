"""Settings of requests at an entry."""

from pydantic import BaseModel, ConfigDict, Field

from basilcove.requests.const import MAX_WAIT_S, STOP_TIMEOUT_S


class RequestsConfig(BaseModel):
    """Limits in seconds: how long an attempt may wait at an agent, and how long a planned stop may take."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    max_wait_s: float = Field(default=MAX_WAIT_S, gt=0)
    stop_timeout_s: float = Field(default=STOP_TIMEOUT_S, gt=0)
