"""Messages by which peers distribute documents."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import EnvironmentName, NodeId, Revision, Stage
from basilcove.distribution import distribution_pb2 as pb
from basilcove.helpers.codec import message
from basilcove.zones.models import Evacuations


@message('distribution.offer', pb.Offer)
@dataclass(frozen=True, slots=True)
class Offer(Message):
    """States the newest document that the sender has; revision 0 for none.

    ``ask`` requests an offer in reply. ``voters_index`` is a log index at which the newest voters
    that the sender knows were in effect. A control replica that has caught up adds the list in
    ``voters`` for a peer with an older one. ``evacuations_version`` is that of the evacuated zones that
    the sender has; ``evacuations`` holds them for a peer that isn't known to have that version.
    ``unreadable_revision`` is the newest accepted revision that a control replica has and can't read.
    """

    environment: EnvironmentName
    stage: Stage
    revision: Revision
    digest: bytes
    ask: bool
    caught_up: bool
    voters_index: int = 0
    voters: tuple[NodeId, ...] = ()
    evacuations_version: int = 0
    evacuations: Evacuations | None = None
    unreadable_revision: Revision = Revision(0)


@message('distribution.want', pb.Want)
@dataclass(frozen=True, slots=True)
class Want(Message):
    """Requests a newer document than the base."""

    environment: EnvironmentName
    stage: Stage
    base_revision: Revision
    base_digest: bytes
    whole: bool
    digest: bytes
    missing: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Step:
    """One change, as the JSON Patch that leads to a revision and digest."""

    revision: Revision
    digest: bytes
    patch: str


@message('distribution.delta', pb.Delta)
@dataclass(frozen=True, slots=True)
class Delta(Message):
    """Changes from a base to the sender's newest document."""

    environment: EnvironmentName
    stage: Stage
    base_revision: Revision
    base_digest: bytes
    steps: tuple[Step, ...]


@message('distribution.chunk', pb.Chunk)
@dataclass(frozen=True, slots=True)
class Chunk(Message):
    """Part of a compressed whole document."""

    environment: EnvironmentName
    stage: Stage
    revision: Revision
    digest: bytes
    index: int
    total: int
    body: bytes
