"""Settings of a gateway."""

from pydantic import BaseModel, ConfigDict, Field

from basilcove.http1.config import ReceiveConfig


class HeaderNames(BaseModel):
    """Names of the headers that a gateway reads or sets; they are case-insensitive."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    request_id: str = 'Basilcove-Request-Id'
    timeout_ms: str = 'Basilcove-Timeout-Ms'
    expected_instance: str = 'Basilcove-Expected-Instance'
    team: str = 'Basilcove-Team'
    priority: str = 'Basilcove-Priority'
    not_run: str = 'Basilcove-Not-Run'
    load: str = 'Basilcove-Load'
    leaving: str = 'Basilcove-Leaving'
    limit: str = 'Basilcove-Limit'
    prompt_parts: str = 'Basilcove-Prompt-Parts'
    token_usage: str = 'Basilcove-Token-Usage'


class RetryConfig(BaseModel):
    """The retry budget of each service, shared by all gateways.

    In any window of ``window_s`` seconds, the number of retries is at most ``ratio`` times the number of
    requests plus ``base``.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    ratio: float = Field(default=0.1, ge=0)
    base: float = Field(default=20, ge=0)
    window_s: float = Field(default=10, gt=0)


class GatewayConfig(BaseModel):
    """Address on which a gateway listens for callers, and its settings for keys, headers and retries.

    ``receive`` bounds what the connections of callers take together.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    key_scheme: str = 'Bearer'
    headers: HeaderNames = HeaderNames()
    retries: RetryConfig = RetryConfig()
    receive: ReceiveConfig = ReceiveConfig()
