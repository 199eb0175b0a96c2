"""Messages between gateways and control hosts about parts of prompts that crash upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import NO_PART, InstanceId, PartId
from basilcove.helpers.codec import message
from basilcove.quarantine import quarantine_pb2 as pb
from basilcove.quarantine.const import SOUND_MARGIN_S, YOUNG_ANSWER_S


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that an upstream had when it crashed.

    ``parts`` are the shared parts of its prompt, in order; ``digest`` is equal for identical requests only.
    With ``has_answer_head``, the upstream crashed after the head of the answer, and with ``has_event`` after
    its first event, for ``reach_s`` seconds of which the answer went on.
    """

    parts: tuple[PartId, ...]
    has_answer_head: bool
    digest: PartId = NO_PART
    has_event: bool = False
    reach_s: float = 0

    @property
    def names(self) -> frozenset[PartId]:
        """Return its parts and its digest, if it has one."""
        return frozenset(self.parts if self.digest == NO_PART else (*self.parts, self.digest))

    @property
    def is_fresh(self) -> bool:
        """Return whether the upstream crashed when it began to answer the request."""
        return self.has_answer_head and (not self.has_event or self.reach_s <= YOUNG_ANSWER_S)

    @property
    def sound_reach_s(self) -> float:
        """Return how far an answer has to get, in seconds after its first event, to get past this crash."""
        return self.reach_s + SOUND_MARGIN_S if self.has_event else 0

    def has(self, part: PartId) -> bool:
        """Return whether the request has a part of a prompt, or is the one with this digest."""
        return part in self.parts or (part == self.digest and part != NO_PART)


@message('quarantine.crash_report', pb.CrashReport)
@dataclass(frozen=True, slots=True)
class CrashReport(Message):
    """One start of an upstream crashed with this request; sent by a gateway to all control hosts."""

    instance: InstanceId
    born_ms: int
    request: LostRequest


@dataclass(frozen=True, slots=True)
class QuarantinedPart:
    """A part of prompts, or the digest of a request, that is refused for ``remaining_s``.

    It is then tried with one request at a time.
    ``version`` grows with each crash that the part is blamed for; a release counts for its version. An answer
    releases the part once it has gone on for ``release_reach_s`` after its first event.
    """

    part: PartId
    version: int
    remaining_s: float
    is_released: bool = False
    release_reach_s: float = 0


@message('quarantine.quarantined_parts', pb.QuarantinedParts)
@dataclass(frozen=True, slots=True)
class QuarantinedParts(Message):
    """Quarantined parts, sent by control hosts to gateways, and by a gateway to a host that links to it."""

    entries: tuple[QuarantinedPart, ...]


@dataclass(frozen=True, slots=True)
class SoundPart:
    """A part with which an answer went on for ``reach_s`` after its first event, ``age_s`` seconds ago."""

    part: PartId
    age_s: float
    reach_s: float = 0


@message('quarantine.sound_parts', pb.SoundParts)
@dataclass(frozen=True, slots=True)
class SoundParts(Message):
    """Quarantined parts that a gateway knows from answers; sent to all control hosts."""

    entries: tuple[SoundPart, ...]
