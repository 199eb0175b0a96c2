"""Sums the open attempts of all gateways on a control host, and sends each gateway the sum of the others."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from basilcove.core.events import Effect, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.messages import LongRequest, OpenAttempts, OtherAttempts
from basilcove.memory.notices import NoticeRate


@dataclass(slots=True)
class AttemptTotals:
    """The last report of each linked gateway, and the totals last sent to those that want them.

    ``notices`` bounds the rate at which long requests are passed on.
    """

    reported: dict[NodeId, OpenAttempts] = field(default_factory=dict)
    last_sent: dict[NodeId, OtherAttempts] = field(default_factory=dict)
    has_changed: bool = False
    notices: NoticeRate = field(default_factory=NoticeRate)

    def totals(self) -> Counter[str]:
        """Return the sum of the open attempts of all linked gateways by instance."""
        return _sum(report.counts for report in self.reported.values())

    def token_totals(self) -> Counter[str]:
        """Return the sum of the tokens that all linked gateways hold by instance."""
        return _sum(report.tokens for report in self.reported.values())


@handles_message(OpenAttempts, AttemptTotals)
def _on_open_attempts(state: AttemptTotals, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, OpenAttempts)
    state.reported[event.peer.node] = msg
    state.has_changed = True
    if not msg.wants_totals:
        state.last_sent.pop(event.peer.node, None)
    return []


@handles_message(LongRequest, AttemptTotals)
def _on_long_request(state: AttemptTotals, event: Received, ctx: Context) -> list[Effect]:
    """Count a long request, and pass it on to the other gateways if the rate allows it."""
    msg = event.message
    report = state.reported.get(event.peer.node)
    if report is None or not isinstance(msg, LongRequest):
        return []
    tokens = {**report.tokens, msg.instance: report.tokens.get(msg.instance, 0) + msg.tokens}
    state.reported[event.peer.node] = replace(report, tokens=tokens)
    state.has_changed = True
    wanting = {node for node, other in state.reported.items() if other.wants_totals}
    receivers = sorted(wanting - {event.peer.node})
    if not state.notices.spend(len(receivers), ctx.now):
        return []
    # The receivers add the request to the totals they have, so these are no longer the last ones sent.
    for node in receivers:
        state.last_sent.pop(node, None)
    return [Send(receiver, msg) for receiver in receivers]


@handles(PeerLost, AttemptTotals)
def _on_peer_lost(state: AttemptTotals, event: PeerLost, ctx: Context) -> list[Effect]:
    state.last_sent.pop(event.peer.node, None)
    if state.reported.pop(event.peer.node, None) is not None:
        state.has_changed = True
    return []


@handles(Tick, AttemptTotals)
def _on_tick(state: AttemptTotals, event: Tick, ctx: Context) -> list[Effect]:
    if not state.has_changed:
        return []
    state.has_changed = False
    totals, token_totals = state.totals(), state.token_totals()
    effects: list[Effect] = []
    for node, report in state.reported.items():
        if not report.wants_totals:
            continue
        others = OtherAttempts(
            _subtract_own(totals, report.counts), _subtract_own(token_totals, report.tokens)
        )
        if state.last_sent.get(node) != others:
            state.last_sent[node] = others
            effects.append(Send(node, others))
    return effects


def _sum(reported: Iterable[dict[str, int]]) -> Counter[str]:
    totals: Counter[str] = Counter()
    for each in reported:
        totals.update(each)
    return totals


def _subtract_own(totals: Counter[str], own: dict[str, int]) -> dict[str, int]:
    others = {instance: count - own.get(instance, 0) for instance, count in totals.items()}
    return {instance: count for instance, count in others.items() if count > 0}
