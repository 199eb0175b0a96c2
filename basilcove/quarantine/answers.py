"""How far answers with a part of a prompt got, which speaks for the part."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from basilcove.core.ids import PartId

# Reach of an answer that is complete, which is further than any crash within an answer.
WHOLE: Final = math.inf
# Bound of the answers that are kept of one part; each of them got less far than an older one.
MAX_ANSWERS_PER_PART: Final = 16


@dataclass(frozen=True, slots=True)
class SoundAnswer:
    """An answer that went on for ``reach_s`` after its first event; ``at`` is in monotonic seconds."""

    at: float
    reach_s: float

    def covers(self, other: 'SoundAnswer') -> bool:
        """Return whether another answer tells nothing more."""
        return self.at >= other.at and self.reach_s >= other.reach_s


@dataclass(slots=True)
class SoundAnswers:
    """The latest answers with each part; an older one is kept while it got further than all newer ones.

    Parts are in the order of their latest notes; memory grows with the number of parts.
    """

    max_parts: int
    # How often anything has changed.
    changes: int = 0
    _by_part: dict[PartId, tuple[SoundAnswer, ...]] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._by_part)

    def note(self, part: PartId, answer: SoundAnswer) -> None:
        """Note an answer with a part, and forget the part with the oldest note if there are too many."""
        self.changes += 1
        known = self._by_part.pop(part, ())
        if not any(other.covers(answer) for other in known):
            kept = (other for other in known if not answer.covers(other))
            known = tuple(sorted((*kept, answer), key=_time_of)[-MAX_ANSWERS_PER_PART:])
        self._by_part[part] = known
        while len(self._by_part) > self.max_parts:
            del self._by_part[next(iter(self._by_part))]

    def of(self, part: PartId) -> tuple[SoundAnswer, ...]:
        """Return the answers with a part, oldest first."""
        return self._by_part.get(part, ())

    def last_at(self, part: PartId, reach_s: float) -> float | None:
        """Return when an answer with a part last got so far; None if none has."""
        times = [answer.at for answer in self.of(part) if answer.reach_s >= reach_s]
        return max(times, default=None)

    def drop_before(self, oldest: float) -> None:
        """Forget the answers that were seen before a time."""
        for part, answers in tuple(self._by_part.items()):
            kept = _since(answers, oldest)
            self.changes += len(kept) < len(answers)
            if kept:
                self._by_part[part] = kept
            else:
                del self._by_part[part]


def _since(answers: Iterable[SoundAnswer], oldest: float) -> tuple[SoundAnswer, ...]:
    return tuple(answer for answer in answers if answer.at >= oldest)


def _time_of(answer: SoundAnswer) -> float:
    return answer.at
