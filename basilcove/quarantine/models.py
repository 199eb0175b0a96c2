"""Evidence of a control host against parts of prompts, and the parts that it has quarantined."""

import functools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from basilcove.core.ids import NO_PART, InstanceId, NodeId, PartId
from basilcove.quarantine.answers import SoundAnswer, SoundAnswers
from basilcove.quarantine.const import (
    CONFIRMING_WEIGHT,
    EVIDENCE_LIFETIME_S,
    FIRST_QUARANTINE_S,
    FRESH_WEIGHT,
    INCIDENT_S,
    MAX_CRASHES,
    MAX_PARTS,
    MAX_QUARANTINE_S,
    MAX_REQUESTS_PER_CRASH,
    OTHER_WEIGHT,
    QUARANTINE_FACTOR,
    RECORD_LIFETIME_S,
    SUSPICION_WEIGHT,
)
from basilcove.quarantine.messages import CrashReport, LostRequest, QuarantinedPart

CrashKey = tuple[InstanceId, int]
Weigh = Callable[[PartId], int]


@dataclass(slots=True)
class Crash:
    """One crash with the requests that gateways lost in it; ``crashed_at`` is in monotonic seconds."""

    crashed_at: float
    incident: int
    requests: list[LostRequest] = field(default_factory=list)
    # The requests that may be to blame, and the evidence by which they were found.
    suspects: list[LostRequest] = field(default_factory=list)
    evidence: tuple[int, int] = (0, 0)

    def sound_reach_s(self, part: PartId) -> float:
        """Return how far an answer with a part has to get, in seconds, to be past this crash."""
        return max((req.sound_reach_s for req in self.requests if req.has(part)), default=0)


@dataclass(slots=True)
class PartRecord:
    """A part that was blamed for crashes; times are monotonic seconds."""

    version: int = 0
    blamed_at: float = 0
    refused_until: float = 0
    is_released: bool = False
    # The last crash that it was blamed for; None if another control host blamed it.
    crash: Crash | None = None
    # How far an answer has to get to release it, in seconds after its first event.
    release_reach_s: float = 0

    def to_entry(self, part: PartId, now: float) -> QuarantinedPart:
        """Return what a gateway is told."""
        remaining_s = max(0, self.refused_until - now)
        return QuarantinedPart(part, self.version, remaining_s, self.is_released, self.release_reach_s)


@dataclass(slots=True)
class QuarantineState:
    """Crashes, parts with answers and quarantined parts, as one control host knows them."""

    gateways: set[NodeId] = field(default_factory=set)
    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    # Crashes by the parts and digests of the requests that were lost in them, oldest first.
    crash_keys: dict[PartId, dict[CrashKey, None]] = field(default_factory=dict)
    answers: SoundAnswers = field(default_factory=lambda: SoundAnswers(MAX_PARTS))
    records: dict[PartId, PartRecord] = field(default_factory=dict)
    incidents: int = 0
    incident_at: float | None = None

    def add_crash(self, report: CrashReport, now: float) -> list[PartId]:
        """Add a lost request to its crash; return the parts that are newly blamed."""
        key = (report.instance, report.born_ms)
        crash = self.crashes.get(key)
        if crash is None:
            crash = self._open_crash(key, now)
        if len(crash.requests) < MAX_REQUESTS_PER_CRASH:
            crash.requests.append(report.request)
            for name in report.request.names:
                self.crash_keys.setdefault(name, {})[key] = None
        return self._blame_for(crash, now)

    def add_answer(self, part: PartId, answered_at: float, now: float, reach_s: float = 0) -> list[PartId]:
        """Note how far an answer with a part had got; return the parts that are newly released or blamed."""
        self.answers.note(part, SoundAnswer(answered_at, reach_s))
        record = self.records.get(part)
        if record is None or record.is_released or self._is_to_blame(part, record):
            return []
        record.is_released = True
        return [part, *(self._blame_for(record.crash, now) if record.crash else ())]

    def adopt(self, entry: QuarantinedPart, now: float) -> bool:
        """Take over what a gateway knows from another control host; return whether it was new."""
        record = self.records.setdefault(entry.part, PartRecord())
        if entry.version <= record.version:
            return False
        record.version = entry.version
        record.blamed_at = now
        record.refused_until = now + min(MAX_QUARANTINE_S, entry.remaining_s)
        record.is_released = entry.is_released
        record.release_reach_s = entry.release_reach_s
        return True

    def current_entries(self, now: float) -> Iterator[QuarantinedPart]:
        """Yield the parts that gateways have to know."""
        for part, record in self.records.items():
            yield record.to_entry(part, now)

    def drop_expired(self, now: float) -> None:
        """Forget old evidence, and parts whose trial is over at all gateways."""
        oldest = now - EVIDENCE_LIFETIME_S
        for key, crash in tuple(self.crashes.items()):
            if crash.crashed_at < oldest:
                self._forget_crash(key)
        self.answers.drop_before(oldest)
        for name, record in tuple(self.records.items()):
            if record.refused_until + RECORD_LIFETIME_S < now:
                del self.records[name]

    def _open_crash(self, key: CrashKey, now: float) -> Crash:
        if self.incident_at is None or now - self.incident_at > INCIDENT_S:
            self.incidents += 1
            self.incident_at = now
        if len(self.crashes) >= MAX_CRASHES:
            self._forget_crash(next(iter(self.crashes)))
        crash = Crash(now, self.incidents)
        self.crashes[key] = crash
        return crash

    def _forget_crash(self, key: CrashKey) -> None:
        for req in self.crashes.pop(key).requests:
            for name in req.names:
                keys = self.crash_keys.get(name, {})
                keys.pop(key, None)
                if not keys:
                    self.crash_keys.pop(name, None)

    def _crashes_with(self, part: PartId) -> Iterator[Crash]:
        """Yield the crashes in which a request with a part, or with this digest, was lost."""
        for key in self.crash_keys.get(part, ()):
            yield self.crashes[key]

    def _blame_for(self, crash: Crash, now: float) -> list[PartId]:
        blamed = []
        # Requests share parts, and the weight of a part takes a look at all crashes.
        weigh = functools.cache(self._weigh)
        for req in self._find_suspects(crash):
            for part in self._find_causes(req, weigh):
                if self._blame(part, crash, now):
                    blamed.append(part)
        return blamed

    def _is_to_blame(self, part: PartId, record: PartRecord) -> bool:
        """Return whether a part stays blamed although answers with it are known."""
        answered_at = self.answers.last_at(part, record.release_reach_s)
        if answered_at is None:
            return True
        return answered_at <= record.blamed_at and self._weigh(part) >= CONFIRMING_WEIGHT

    def _find_suspects(self, crash: Crash) -> list[LostRequest]:
        """Return the requests whose answer had just begun; all if none of them may have crashed the upstream.

        A request may have crashed it unless answers with all of its parts have got past the crash.
        """
        evidence = (len(crash.requests), self.answers.changes)
        if crash.evidence != evidence:
            crash.evidence = evidence
            fresh = [req for req in crash.requests if req.is_fresh and self._find_unknown(req)]
            crash.suspects = fresh or list(crash.requests)
        return crash.suspects

    def _find_unknown(self, req: LostRequest) -> list[PartId]:
        """Return the parts of a lost request that no answer has got past the crash with."""
        return [part for part in req.parts if self.answers.last_at(part, req.sound_reach_s) is None]

    def _find_causes(self, req: LostRequest, weigh: Weigh) -> Iterator[PartId]:
        """Yield the digest of a request that crashed an upstream, and the part that others may crash with.

        An answer to another request with a shared part tells nothing about this request.
        """
        is_identified = req.has_answer_head and req.digest != NO_PART
        if is_identified and weigh(req.digest) >= SUSPICION_WEIGHT:
            yield req.digest
        part = self._find_part(req, weigh)
        if part is not None:
            yield part

    def _find_part(self, req: LostRequest, weigh: Weigh) -> PartId | None:
        """Return the part of a lost request that is to blame; None if nothing tells.

        Where the evidence is the same, the last part is blamed: the parts before it are in more requests.
        """
        weights = {part: weigh(part) for part in req.parts}
        confirmed = [part for part in req.parts if weights[part] >= CONFIRMING_WEIGHT]
        if confirmed:
            heaviest = max(weights[part] for part in confirmed)
            return [part for part in confirmed if weights[part] == heaviest][-1]
        if not req.has_answer_head:
            return None
        unknown = [part for part in self._find_unknown(req) if weights[part] >= SUSPICION_WEIGHT]
        return unknown[-1] if unknown else None

    def _weigh(self, part: PartId) -> int:
        """Return the weight of the incidents that no later answer with a part has got past.

        Crashes with one and the same request say nothing about the parts that it shares with others, so each
        request counts once.
        """
        weights: dict[int, int] = {}
        counted: set[PartId] = set()
        for crash in self._crashes_with(part):
            sound_at = self.answers.last_at(part, crash.sound_reach_s(part))
            if sound_at is not None and crash.crashed_at <= sound_at:
                continue
            weight = _weigh_requests(self._find_suspects(crash), part, counted)
            weights[crash.incident] = max(weight, weights.get(crash.incident, 0))
        return sum(weights.values())

    def _blame(self, part: PartId, crash: Crash, now: float) -> bool:
        record = self.records.get(part)
        if record is None:
            if len(self.records) >= MAX_PARTS:
                return False
            record = PartRecord()
            self.records[part] = record
        if record.crash is not None and record.crash.incident == crash.incident:
            return False
        record.crash = crash
        record.release_reach_s = max(record.release_reach_s, crash.sound_reach_s(part))
        record.version += 1
        record.blamed_at = now
        record.is_released = False
        duration_s = FIRST_QUARANTINE_S * QUARANTINE_FACTOR ** (record.version - 1)
        record.refused_until = now + min(MAX_QUARANTINE_S, duration_s)
        return True


def _weigh_requests(suspects: list[LostRequest], part: PartId, counted: set[PartId]) -> int:
    """Return the weight of a crash against a part; adds the digests of its requests to the counted ones."""
    weight = 0
    for req in suspects:
        if not req.has(part) or req.digest in counted:
            continue
        weight = max(weight, FRESH_WEIGHT if req.is_fresh else OTHER_WEIGHT)
        if req.digest not in {NO_PART, part}:
            counted.add(req.digest)
    return weight
