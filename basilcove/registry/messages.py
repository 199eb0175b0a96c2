"""Messages between control hosts and gateways about registered upstreams."""

import enum
from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import GroupName, InstanceId, Rank, ServiceName, Zone
from basilcove.helpers.codec import message
from basilcove.registry import registry_pb2 as pb

NO_GROUP = GroupName('')
FIRST_RANK = Rank(0)


class RegistrationState(enum.Enum):
    """State of an upstream according to itself."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@message('registry.registration', pb.Registration)
@dataclass(frozen=True, slots=True)
class Registration(Message):
    """Latest registration of one start of an upstream.

    An upstream calls a control host to register and to renew its registration. ``born_ms`` is the time of its
    start in milliseconds since the Unix epoch, and ``sequence`` grows with each call; together they order its
    calls. Ranks of a group state its name, its size, and its epoch, which changes whenever the group forms
    again. ``cold_s`` is the remaining time for which the upstream is slow after its start.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    zone: Zone
    born_ms: int
    sequence: int
    standing: RegistrationState
    slots: int = 1
    cold_s: float = 0
    is_group_open: bool = True
    group: GroupName = NO_GROUP
    epoch: int = 0
    rank: Rank = FIRST_RANK
    group_size: int = 0

    @property
    def departure(self) -> 'Departure':
        """Return the end of this start of the upstream."""
        return Departure(self.instance, self.born_ms)

    @property
    def age_key(self) -> tuple[int, int]:
        """Return the key by which the calls of an instance are ordered."""
        return self.born_ms, self.sequence


@message('registry.registrations', pb.Registrations)
@dataclass(frozen=True, slots=True)
class Registrations(Message):
    """Registrations that are new to the receiver; the instances in ``silent`` no longer renew theirs.

    ``gateways`` is the number of gateways linked to the sender; 0 if the sender doesn't count them.
    """

    registrations: tuple[Registration, ...]
    silent: tuple[InstanceId, ...] = ()
    gateways: int = 0


@dataclass(frozen=True, slots=True)
class Departure:
    """The end of one start of an upstream."""

    instance: InstanceId
    born_ms: int


@message('registry.departures_stored', pb.DeparturesStored)
@dataclass(frozen=True, slots=True)
class DeparturesStored(Message):
    """Departures that a control host was told by another one, and now passes on itself."""

    departures: tuple[Departure, ...]
