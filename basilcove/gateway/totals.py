"""Adds up, on control hosts, the attempts that gateways have open, and tells each of the others' part."""

from collections import Counter
from dataclasses import dataclass, field

from basilcove.core.events import Effect, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.messages import OpenAttempts, OtherAttempts


@dataclass(slots=True)
class AttemptTotals:
    """The last word of each linked gateway, and what was told last to those that want totals."""

    reported: dict[NodeId, OpenAttempts] = field(default_factory=dict)
    told: dict[NodeId, dict[str, int]] = field(default_factory=dict)
    has_changed: bool = False

    def totals(self) -> Counter[str]:
        """Return the open attempts of all linked gateways by instance."""
        added: Counter[str] = Counter()
        for report in self.reported.values():
            added.update(report.counts)
        return added


@handles_message(OpenAttempts, AttemptTotals)
def _on_open_attempts(state: AttemptTotals, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, OpenAttempts)
    state.reported[event.peer.node] = msg
    state.has_changed = True
    if not msg.wants_totals:
        state.told.pop(event.peer.node, None)
    return []


@handles(PeerLost, AttemptTotals)
def _on_peer_lost(state: AttemptTotals, event: PeerLost, ctx: Context) -> list[Effect]:
    state.told.pop(event.peer.node, None)
    if state.reported.pop(event.peer.node, None) is not None:
        state.has_changed = True
    return []


@handles(Tick, AttemptTotals)
def _on_tick(state: AttemptTotals, event: Tick, ctx: Context) -> list[Effect]:
    if not state.has_changed:
        return []
    state.has_changed = False
    totals = state.totals()
    effects: list[Effect] = []
    for node, report in state.reported.items():
        if not report.wants_totals:
            continue
        others = _without(totals, report.counts)
        if state.told.get(node) != others:
            state.told[node] = others
            effects.append(Send(node, OtherAttempts(others)))
    return effects


def _without(totals: Counter[str], own: dict[str, int]) -> dict[str, int]:
    others = {instance: count - own.get(instance, 0) for instance, count in totals.items()}
    return {instance: count for instance, count in others.items() if count > 0}
