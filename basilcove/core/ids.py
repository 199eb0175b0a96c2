"""Identifiers and states that all subsystems share."""

import enum
from typing import NewType

NodeId = NewType('NodeId', str)
Zone = NewType('Zone', str)
TeamName = NewType('TeamName', str)
UpstreamName = NewType('UpstreamName', str)
ModelName = NewType('ModelName', str)
GroupName = NewType('GroupName', str)
ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
InstanceId = NewType('InstanceId', str)
PartId = NewType('PartId', str)
NO_PART = PartId('')
PriorityName = NewType('PriorityName', str)
EnvironmentName = NewType('EnvironmentName', str)
RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', str)
Incarnation = NewType('Incarnation', int)
Revision = NewType('Revision', int)
FencingNumber = NewType('FencingNumber', int)
Rank = NewType('Rank', int)
Step = NewType('Step', int)


class Role(enum.Enum):
    """Role that a node runs."""

    CONTROL = 'control'
    ENTRY = 'entry'
    GATEWAY = 'gateway'
    AGENT = 'agent'
    OPERATOR = 'operator'


class Stage(enum.Enum):
    """Stage of an environment's document."""

    TRIAL = 'trial'
    PRODUCTION = 'production'


class Outcome(enum.Enum):
    """Whether a request without a complete answer has run."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
