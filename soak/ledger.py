"""Records of each request at its caller and at the engines."""

import time
from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Arrival:
    """A request at an engine; times are monotonic seconds, ``ended_at`` is None while it runs."""

    instance: str
    at: float
    has_run: bool
    ended_at: float | None = None


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


@dataclass(slots=True)
class Ledger:
    """Arrivals and requests by request id, answers by signature, and faults detected during the run."""

    arrivals: defaultdict[str, list[Arrival]] = field(default_factory=lambda: defaultdict(list))
    signed: dict[str, SignedAnswer] = field(default_factory=dict)
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def record_fault(self, text: str) -> None:
        """Record a failed check with the time since the start."""
        self.faults.append(f'{time.monotonic() - self.started_at:.2f} s: {text}')

    def count_runs(self, request_id: str) -> int:
        """Return how many times a request ran."""
        return sum(arrival.has_run for arrival in self.arrivals.get(request_id, ()))
