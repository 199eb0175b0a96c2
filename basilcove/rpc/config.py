"""Settings of the links between nodes."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, model_validator


class TlsConfig(BaseModel):
    """Files in PEM form for mutual TLS; the common name is ``roles:node``."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    certificate: Path
    key: Path
    authority: Path


class RpcConfig(BaseModel):
    """Where a node listens and which addresses it dials."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    listen: str
    seeds: tuple[str, ...] = ()
    tls: TlsConfig | None = None
    insecure: bool = False

    @model_validator(mode='after')
    def _check_security(self) -> 'RpcConfig':
        if self.tls is None and not self.insecure:
            raise ValueError('set tls, or insecure: true for plain text')
        if self.tls is not None and self.insecure:
            raise ValueError('tls and insecure exclude each other')
        return self
