"""Settings of requests at an entry."""

from pydantic import BaseModel, ConfigDict, Field

from basilcove.requests.const import MAX_WAIT_S, STOP_TIMEOUT_S


class RequestsConfig(BaseModel):
    """How long attempts may wait and a planned stop may take, in seconds."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    max_wait_s: float = Field(default=MAX_WAIT_S, gt=0)
    stop_timeout_s: float = Field(default=STOP_TIMEOUT_S, gt=0)
