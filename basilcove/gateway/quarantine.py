"""Parts of prompts that a gateway refuses because they crash upstreams, and parts that were answered."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from basilcove.core.ids import NO_PART, PartId
from basilcove.gateway.const import MAX_SOUND_PARTS
from basilcove.quarantine.answers import SoundAnswer, SoundAnswers
from basilcove.quarantine.const import EVIDENCE_LIFETIME_S, MAX_PARTS, MAX_QUARANTINE_S, TRIAL_S
from basilcove.quarantine.messages import QuarantinedPart, SoundPart


@dataclass(slots=True)
class ListedPart:
    """A part that control hosts have blamed; it is refused until ``refused_until``, in monotonic seconds."""

    version: int
    refused_until: float
    is_released: bool
    release_reach_s: float


@dataclass(slots=True)
class Quarantine:
    """Listed parts, and how far answers got with each part that this gateway has seen."""

    listed: dict[PartId, ListedPart] = field(default_factory=dict)
    answers: SoundAnswers = field(default_factory=lambda: SoundAnswers(MAX_SOUND_PARTS))

    def merge(self, entry: QuarantinedPart, now: float) -> bool:
        """Apply what a control host says; return whether a part is blamed that wasn't for this version.

        The same version may come from several hosts: a release holds, whichever comes first.
        """
        former = self.listed.get(entry.part)
        if former is not None and former.version == entry.version:
            former.is_released = former.is_released or entry.is_released
            return False
        if former is not None and former.version > entry.version:
            return False
        if former is None and len(self.listed) >= MAX_PARTS:
            return False
        refused_until = now + min(MAX_QUARANTINE_S, max(0, entry.remaining_s))
        self.listed[entry.part] = ListedPart(
            entry.version, refused_until, entry.is_released, entry.release_reach_s
        )
        return not entry.is_released

    def note_answer(
        self, parts: Iterable[PartId], now: float, digest: PartId = NO_PART, reach_s: float = 0
    ) -> list[PartId]:
        """Note how far an answer has got, in seconds; return the listed parts that it releases."""
        for part in parts:
            self.answers.note(part, SoundAnswer(now, reach_s))
        return [released for released in (*parts, digest) if self._release(released, reach_s)]

    def _release(self, part: PartId, reach_s: float) -> bool:
        listed = self.listed.get(part)
        if listed is None or listed.is_released or reach_s < listed.release_reach_s:
            return False
        listed.is_released = True
        return True

    def sound_parts(self, part: PartId, now: float) -> Iterator[SoundPart]:
        """Yield what answers of late tell of a part."""
        for answer in self.answers.of(part):
            age_s = now - answer.at
            if age_s < EVIDENCE_LIFETIME_S:
                yield SoundPart(part, age_s, answer.reach_s)

    def find_listed(self, parts: Iterable[PartId], now: float) -> Iterator[PartId]:
        """Yield the parts that are refused or on trial."""
        for part in parts:
            listed = self.listed.get(part)
            if listed is not None and not listed.is_released and now < listed.refused_until + TRIAL_S:
                yield part

    def is_refused(self, part: PartId, now: float) -> bool:
        """Return whether all requests with a listed part are refused."""
        return now < self.listed[part].refused_until

    def to_entries(self, now: float) -> tuple[QuarantinedPart, ...]:
        """Return what a control host is told that has just been linked."""
        return tuple(
            QuarantinedPart(
                part,
                listed.version,
                max(0, listed.refused_until - now),
                listed.is_released,
                listed.release_reach_s,
            )
            for part, listed in self.listed.items()
        )

    def drop_expired(self, now: float) -> None:
        """Forget the parts whose trial is over."""
        for part, listed in tuple(self.listed.items()):
            if listed.refused_until + TRIAL_S < now:
                del self.listed[part]
