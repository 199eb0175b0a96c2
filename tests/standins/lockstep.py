"""Ranks of a fake engine: expert maps, armed steps and optional checks of fencing tokens."""

from dataclasses import dataclass, field
from typing import Any

Layers = list[list[list[int]]]


@dataclass
class Lockstep:
    """State of the ranks of one engine; ``schedule`` has tuples (first step, version, layers)."""

    checks_fencing: bool = False
    fence: int = 0
    step: int = 0
    schedule: list[tuple[int, int, Layers]] = field(default_factory=list)
    prepared: tuple[int, Layers] = (0, [])
    armed: int = 0
    armed_step: int = 0
    decided: int = 0
    # Selections of each expert since the start, by layer; one rank counts all of them.
    counts: list[list[int]] = field(default_factory=list)
    started: int = 0

    def take(self, order: dict[str, Any]) -> str:
        """Execute an order; return the reason for a refusal, or an empty string."""
        if self.checks_fencing and order['fence'] < self.fence:
            return f'stale token {order["fence"]}, {self.fence} is newer'
        self.fence = max(self.fence, order['fence'])
        handlers = {'prepare_map': self._prepare, 'arm_map': self._arm, 'decide_map': self._decide}
        handler = handlers.get(order['kind'])
        return handler(order) if handler else ''

    def version_at(self, step: int) -> int:
        """Return the map version that is active in a step; 0 if none."""
        versions = [version for first, version, _ in self.schedule if first <= step]
        return versions[-1] if versions else 0

    @property
    def may_run(self) -> bool:
        """Return whether the ranks may start their next step."""
        return self.version_at(self.step) > 0 and not self.is_held

    @property
    def is_held(self) -> bool:
        """Return whether the ranks wait at an armed step for the decision."""
        return self.armed > 0 and self.step >= self.armed_step

    def select(self, selections: list[list[int]]) -> None:
        """Add selections of experts, by layer, to the counts."""
        if not selections:
            return
        previous = self.counts or [[0 for _ in layer] for layer in selections]
        pairs = zip(previous, selections, strict=True)
        self.counts = [list(map(int.__add__, *pair)) for pair in pairs]

    def read_counts(self, rank: int) -> dict[str, Any]:
        """Return the counts as a report of one rank."""
        ranks = [{'rank': rank, 'started': self.started, 'counts': self.counts}]
        return {'ranks': ranks if self.counts else []}

    def status(self, wants_layers: bool = False) -> dict[str, Any]:
        """Return the map versions and the next step."""
        _, active, layers = self.schedule[-1] if self.schedule else (0, 0, [])
        return {
            'active': active,
            'prepared': self.prepared[0],
            'armed': self.armed,
            'armed_step': self.armed_step,
            'decided': self.decided,
            'step': self.step,
            'layers': layers if wants_layers else [],
        }

    def _prepare(self, order: dict[str, Any]) -> str:
        version = order['map_version']
        if version <= self.decided or self.armed:
            return f'version {max(self.decided, self.armed)} is decided or armed'
        self.prepared = (version, order['layers'])
        return ''

    def _arm(self, order: dict[str, Any]) -> str:
        version, step = order['map_version'], order.get('step', 0)
        if (self.armed, self.armed_step) == (version, step):
            return ''
        if version <= self.decided or self.armed or self.prepared[0] != version:
            return f'version {version} is not prepared'
        if self.schedule and self.step > step:
            return f'step {step} has begun'
        self.armed, self.armed_step = version, step
        return ''

    def _decide(self, order: dict[str, Any]) -> str:
        version = order.get('map_version', 0)
        self.decided = max(self.decided, version)
        if not self.armed or version < self.armed:
            return ''
        if order.get('accepted') and version == self.armed:
            # A switch that was decided earlier for a later step has not happened yet and is replaced.
            self.schedule = [entry for entry in self.schedule if entry[0] < self.armed_step]
            if not self.schedule:
                self.step = self.armed_step
            self.schedule.append((self.armed_step, version, self.prepared[1]))
        self.armed = 0
        self.armed_step = 0
        return ''
