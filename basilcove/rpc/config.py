"""Settings of the links between nodes."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, model_validator

from basilcove.rpc.const import MAX_SAMPLED_UPSTREAMS


class TlsConfig(BaseModel):
    """PEM files for mutual TLS; the common name in the certificate is ``roles:node``."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    certificate: Path
    key: Path
    authority: Path


class RpcConfig(BaseModel):
    """Where a node listens and which addresses it dials.

    ``max_sampled_upstreams`` limits the upstreams of the same work and availability zone that an entry
    watches; all agents of an availability zone must have the same limit.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    seeds: tuple[str, ...] = ()
    max_sampled_upstreams: int = Field(MAX_SAMPLED_UPSTREAMS, gt=0)
    tls: TlsConfig | None = None
    insecure: bool = False

    @model_validator(mode='after')
    def _check_security(self) -> 'RpcConfig':
        if self.tls is None and not self.insecure:
            raise ValueError('set tls, or insecure: true for plain text')
        if self.tls is not None and self.insecure:
            raise ValueError('tls and insecure exclude each other')
        return self
