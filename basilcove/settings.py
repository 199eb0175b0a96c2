"""Settings of one process, read from YAML."""

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from basilcove.consensus.config import ControlConfig
from basilcove.const import MAX_RECEIVE_BYTES, MIN_RECEIVE_BYTES
from basilcove.core.ids import EnvironmentName, NodeId, Role, Stage, Zone
from basilcove.exceptions import BasilcoveError
from basilcove.gateway.config import GatewayConfig
from basilcove.helpers.traces import TraceConfig
from basilcove.http.config import AnnounceConfig, HttpConfig, StatusConfig
from basilcove.http1.config import ReceiveConfig
from basilcove.rpc.config import RpcConfig


class SettingsError(BasilcoveError):
    """The settings file can't be used; the text names every fault with its line."""


class AddressConfig(BaseModel):
    """Control hosts known by their IP addresses only, whose node ids are these addresses.

    Replaces ``control_nodes``, ``rpc.seeds`` and ``control.bootstrap``. The ports of the addresses in
    ``control`` belong to another interface; links use ``port``. With ``first_start`` these hosts form
    a new control group.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    control: tuple[str, ...] = Field(min_length=1)
    port: int = Field(gt=0, le=65535)
    first_start: bool = False

    @property
    def nodes(self) -> tuple[NodeId, ...]:
        """Return the node ids of the hosts."""
        return tuple(NodeId(address.partition(':')[0]) for address in self.control)


class DocumentConfig(BaseModel):
    """Distribution of documents to this node; see ``DistributionConfig``.

    ``upgrade_module`` names a module whose ``upgrade_document(environment)`` returns what a document that an
    earlier build stored means to this one.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    deltas: bool = True
    min_interval_s: float = Field(default=0, ge=0)
    upgrade_module: str = ''


class AdapterConfig(BaseModel):
    """A module that serves a foreign interface to operators and upstreams, and its listen address.

    The module has a function ``build(assembly, listen)``. ``receive`` bounds its connections.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    module: str
    listen: str
    receive: ReceiveConfig = ReceiveConfig()


class Settings(BaseModel):
    """Settings of one process; ``stop_timeout_s`` bounds a graceful stop."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    node: NodeId = Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')
    zone: Zone
    roles: tuple[Role, ...] = Field(min_length=1)
    environment: EnvironmentName
    stage: Stage
    rpc: RpcConfig
    control: ControlConfig | None = None
    http: HttpConfig | None = None
    agent: AnnounceConfig | None = None
    gateway: GatewayConfig | None = None
    adapter: AdapterConfig | None = None
    addresses: AddressConfig | None = None
    documents: DocumentConfig = DocumentConfig()
    status: StatusConfig | None = None
    traces: TraceConfig = TraceConfig()
    log_level: str = Field('INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$')
    stop_timeout_s: float = Field(600, gt=0)
    max_receive_bytes: int = Field(MAX_RECEIVE_BYTES, ge=MIN_RECEIVE_BYTES)
    control_nodes: tuple[NodeId, ...] = Field(min_length=1)

    @model_validator(mode='before')
    @classmethod
    def _derive_from_addresses(cls, content: Any) -> Any:
        if not isinstance(content, dict) or content.get('addresses') is None:
            return content
        cfg = AddressConfig.model_validate(content['addresses'])
        derived = {**content, 'control_nodes': cfg.nodes}
        derived['rpc'] = {**content.get('rpc', {}), 'seeds': [f'{node}:{cfg.port}' for node in cfg.nodes]}
        if content.get('control') is not None:
            derived['control'] = {**content['control'], 'bootstrap': cfg.nodes if cfg.first_start else ()}
        return derived

    @model_validator(mode='after')
    def _check_roles(self) -> 'Settings':
        sections = {
            Role.CONTROL: self.control,
            Role.ENTRY: self.http,
            Role.AGENT: self.agent,
            Role.GATEWAY: self.gateway,
        }
        names = {Role.CONTROL: 'control', Role.ENTRY: 'http', Role.AGENT: 'agent', Role.GATEWAY: 'gateway'}
        for role in self.roles:
            if role not in sections:
                raise ValueError(f'{role.value} is no role of a daemon')
            if sections[role] is None:
                raise ValueError(f'role {role.value} needs the section {names[role]}')
        if self.http is not None and self.max_receive_bytes < 2 * self.http.max_body_bytes:
            # A body is complete in the account while it is copied for its call.
            raise ValueError('max_receive_bytes must be at least twice http.max_body_bytes')
        return self


@dataclass(frozen=True)
class _Lines:
    by_path: dict[tuple[Any, ...], int]

    def find(self, path: tuple[Any, ...]) -> int:
        """Return the line of a path or of its nearest parent."""
        while path and path not in self.by_path:
            path = path[:-1]
        return self.by_path.get(path, 1)


def load_settings(path: Path) -> Settings:
    """Read and validate settings; SettingsError lists every fault as ``line: path: fault``."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}') from exc
    try:
        content = yaml.safe_load(text)
        lines = _Lines(_collect_lines(yaml.compose(text, yaml.SafeLoader)))
    except yaml.YAMLError as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    try:
        return Settings.model_validate(content)
    except ValidationError as exc:
        raise SettingsError(_describe(path, exc, lines)) from exc


def new_incarnation() -> int:
    """Return the incarnation of this process start, in microseconds since the epoch."""
    return time.time_ns() // 1000


def _describe(path: Path, exc: ValidationError, lines: _Lines) -> str:
    faults = []
    for fault in exc.errors():
        location = fault['loc']
        key = '.'.join(str(part) for part in location) or 'settings'
        faults.append(f'{path}:{lines.find(location)}: {key}: {fault["msg"]}')
    return '\n'.join(faults)


def _collect_lines(node: yaml.Node | None, path: tuple[Any, ...] = ()) -> dict[tuple[Any, ...], int]:
    line_numbers: dict[tuple[Any, ...], int] = {}
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            child_path = (*path, key.value)
            line_numbers[child_path] = key.start_mark.line + 1
            line_numbers.update(_collect_lines(child, child_path))
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            child_path = (*path, index)
            line_numbers[child_path] = child.start_mark.line + 1
            line_numbers.update(_collect_lines(child, child_path))
    return line_numbers
