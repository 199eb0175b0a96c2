"""Records of each request at its caller and at the engines."""

import math
import time
from collections import defaultdict
from dataclasses import dataclass, field

from soak.const import ZONE_OF


@dataclass(slots=True)
class Arrival:
    """A request at an engine; times are monotonic seconds, ``ended_at`` is None while it runs.

    The instance is named after the engine's address.
    """

    instance: str
    at: float
    has_run: bool
    ended_at: float | None = None

    @property
    def address(self) -> str:
        """Return the address of the engine."""
        return self.instance.split('-')[1]

    @property
    def zone(self) -> str:
        """Return the availability zone of the engine."""
        return ZONE_OF[self.address]


@dataclass(slots=True)
class SignedAnswer:
    """An answer that an engine sent under one signature."""

    request_id: str
    status: int
    body: bytes


@dataclass(slots=True)
class RequestRecord:
    """A request as seen by its caller; ``status`` is 0 without an answer, times are monotonic seconds."""

    request_id: str
    kind: str
    sent_at: float
    status: int = 0
    is_whole: bool = False
    left_at: float | None = None
    ended_at: float = 0
    # Nothing was sent: no connection could be opened.
    is_unsent: bool = False
    gateway: str = ''


@dataclass(slots=True)
class Period:
    """When a zone is evacuated or an instance is cold.

    Times are monotonic seconds. ``acknowledged_at`` is when a control host acknowledged the begin, infinite
    until then.
    """

    subject: str
    acknowledged_at: float = math.inf
    ended_at: float = math.inf


@dataclass(slots=True)
class Ledger:
    """Arrivals and requests by request id, answers by signature, and faults detected during the run.

    ``evacuations`` are the periods of zones, ``cold`` those of instances.
    """

    arrivals: defaultdict[str, list[Arrival]] = field(default_factory=lambda: defaultdict(list))
    signed: dict[str, SignedAnswer] = field(default_factory=dict)
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    evacuations: list[Period] = field(default_factory=list)
    cold: list[Period] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def record_fault(self, text: str) -> None:
        """Record a failed check with the time since the start."""
        self.faults.append(f'{time.monotonic() - self.started_at:.2f} s: {text}')

    def count_runs(self, request_id: str) -> int:
        """Return how many times a request ran."""
        return sum(arrival.has_run for arrival in self.arrivals.get(request_id, ()))
