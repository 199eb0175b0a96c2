"""Evidence of a control host against parts of prompts, and the parts that it has quarantined."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from basilcove.core.ids import NO_PART, InstanceId, NodeId, PartId
from basilcove.quarantine.const import (
    CONFIRMING_WEIGHT,
    EVIDENCE_LIFETIME_S,
    FIRST_QUARANTINE_S,
    HEAD_WEIGHT,
    INCIDENT_S,
    MAX_CRASHES,
    MAX_PARTS,
    MAX_QUARANTINE_S,
    MAX_REQUESTS_PER_CRASH,
    NO_HEAD_WEIGHT,
    QUARANTINE_FACTOR,
    RECORD_LIFETIME_S,
)
from basilcove.quarantine.messages import CrashReport, LostRequest, QuarantinedPart

CrashKey = tuple[InstanceId, int]


@dataclass(slots=True)
class Crash:
    """One crash with the requests that gateways lost in it; ``crashed_at`` is in monotonic seconds."""

    crashed_at: float
    incident: int
    requests: list[LostRequest] = field(default_factory=list)

    @property
    def suspects(self) -> list[LostRequest]:
        """Return the requests whose answer had begun, or all if there is none."""
        return [req for req in self.requests if req.has_answer_head] or self.requests


@dataclass(slots=True)
class PartRecord:
    """A part that was blamed for crashes; times are monotonic seconds."""

    version: int = 0
    blamed_at: float = 0
    refused_until: float = 0
    is_released: bool = False
    # The last crash that it was blamed for; None if another control host blamed it.
    crash: Crash | None = None

    def to_entry(self, part: PartId, now: float) -> QuarantinedPart:
        """Return what a gateway is told."""
        remaining_s = max(0, self.refused_until - now)
        return QuarantinedPart(part, self.version, remaining_s, self.is_released)


@dataclass(slots=True)
class QuarantineState:
    """Crashes, parts with answers and quarantined parts, as one control host knows them."""

    gateways: set[NodeId] = field(default_factory=set)
    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    sound_at: dict[PartId, float] = field(default_factory=dict)
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
        return self._blame_for(crash, now)

    def add_answer(self, part: PartId, answered_at: float, now: float) -> list[PartId]:
        """Note that an answer began with a part; return the parts that are newly released or blamed."""
        self.sound_at[part] = max(answered_at, self.sound_at.get(part, answered_at))
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
                del self.crashes[key]
        for part, answered_at in tuple(self.sound_at.items()):
            if answered_at < oldest:
                del self.sound_at[part]
        for name, record in tuple(self.records.items()):
            if record.refused_until + RECORD_LIFETIME_S < now:
                del self.records[name]

    def _open_crash(self, key: CrashKey, now: float) -> Crash:
        if self.incident_at is None or now - self.incident_at > INCIDENT_S:
            self.incidents += 1
            self.incident_at = now
        if len(self.crashes) >= MAX_CRASHES:
            del self.crashes[next(iter(self.crashes))]
        crash = Crash(now, self.incidents)
        self.crashes[key] = crash
        return crash

    def _blame_for(self, crash: Crash, now: float) -> list[PartId]:
        blamed = []
        for req in crash.suspects:
            for part in self._find_causes(req):
                if self._blame(part, crash, now):
                    blamed.append(part)
        return blamed

    def _is_to_blame(self, part: PartId, record: PartRecord) -> bool:
        """Return whether a part stays blamed although answers with it are known."""
        return self.sound_at[part] <= record.blamed_at and self._weigh(part) >= CONFIRMING_WEIGHT

    def _find_causes(self, req: LostRequest) -> Iterator[PartId]:
        """Yield the digest of a request that crashed an upstream, and the part that others may crash with.

        An answer to another request with a shared part tells nothing about this request.
        """
        if req.has_answer_head and req.digest != NO_PART:
            yield req.digest
        part = self._find_part(req)
        if part is not None:
            yield part

    def _find_part(self, req: LostRequest) -> PartId | None:
        """Return the part of a lost request that is to blame; None if nothing tells.

        Where the evidence is the same, the last part is blamed: the parts before it are in more requests.
        """
        weights = {part: self._weigh(part) for part in req.parts}
        confirmed = [part for part in req.parts if weights[part] >= CONFIRMING_WEIGHT]
        if confirmed:
            heaviest = max(weights[part] for part in confirmed)
            return [part for part in confirmed if weights[part] == heaviest][-1]
        unknown = [part for part in req.parts if part not in self.sound_at]
        return unknown[-1] if unknown and req.has_answer_head else None

    def _weigh(self, part: PartId) -> int:
        """Return the weight of the incidents since the last answer with a part.

        Crashes with one and the same request say nothing about the parts that it shares with others, so each
        request counts once.
        """
        sound_at = self.sound_at.get(part)
        weights: dict[int, int] = {}
        counted: set[PartId] = set()
        for crash in self.crashes.values():
            if sound_at is not None and crash.crashed_at <= sound_at:
                continue
            weight = _weigh_crash(crash, part, counted)
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
        record.version += 1
        record.blamed_at = now
        record.is_released = False
        duration_s = FIRST_QUARANTINE_S * QUARANTINE_FACTOR ** (record.version - 1)
        record.refused_until = now + min(MAX_QUARANTINE_S, duration_s)
        return True


def _weigh_crash(crash: Crash, part: PartId, counted: set[PartId]) -> int:
    """Return the weight of a crash against a part; adds the digests of its requests to the counted ones."""
    weight = 0
    for req in crash.suspects:
        if not req.has(part) or req.digest in counted:
            continue
        weight = max(weight, HEAD_WEIGHT if req.has_answer_head else NO_HEAD_WEIGHT)
        if req.digest not in {NO_PART, part}:
            counted.add(req.digest)
    return weight
