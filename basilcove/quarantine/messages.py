"""Messages between gateways and control hosts about parts of prompts that crash upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import NO_PART, InstanceId, PartId
from basilcove.helpers.codec import message
from basilcove.quarantine import quarantine_pb2 as pb


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that an upstream had when it crashed, and of whose answer the caller got nothing.

    ``parts`` are the shared parts of its prompt, in order; ``digest`` is equal for identical requests only.
    With ``has_answer_head``, the upstream crashed between the head of the answer and its first event.
    """

    parts: tuple[PartId, ...]
    has_answer_head: bool
    digest: PartId = NO_PART

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
    ``version`` grows with each crash that the part is blamed for; a release counts for its version.
    """

    part: PartId
    version: int
    remaining_s: float
    is_released: bool = False


@message('quarantine.quarantined_parts', pb.QuarantinedParts)
@dataclass(frozen=True, slots=True)
class QuarantinedParts(Message):
    """Quarantined parts, sent by control hosts to gateways, and by a gateway to a host that links to it."""

    entries: tuple[QuarantinedPart, ...]


@dataclass(frozen=True, slots=True)
class SoundPart:
    """A part with which an answer began, ``age_s`` seconds ago."""

    part: PartId
    age_s: float


@message('quarantine.sound_parts', pb.SoundParts)
@dataclass(frozen=True, slots=True)
class SoundParts(Message):
    """Quarantined parts that a gateway knows from answers; sent to all control hosts."""

    entries: tuple[SoundPart, ...]
