"""Reports crashes of upstreams with the requests that they had, and applies the quarantine that follows.

Guards against requests that crash each upstream that begins to answer them. Such a request is not sent on.
Once control hosts have found the part of its prompt that is to blame, no request with that part is sent.
"""

from basilcove.core.events import Effect, Log, PeerFound, Received, Send, Tick
from basilcove.core.ids import Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.attempts import give_up
from basilcove.gateway.events import UpstreamChecked
from basilcove.gateway.models import GatewayState
from basilcove.gateway.results import retry_after_loss
from basilcove.gateway.sharing import send_to_hosts
from basilcove.gateway.soundness import report_sound_parts
from basilcove.quarantine.messages import CrashReport, QuarantinedParts


@handles(UpstreamChecked, GatewayState)
def _on_checked(state: GatewayState, event: UpstreamChecked, ctx: Context) -> list[Effect]:
    check = event.check
    effects: list[Effect] = []
    if event.has_ended:
        fields = (
            ('instance', check.instance),
            ('parts', ' '.join(check.parts)),
            ('digest', check.digest),
            ('has_answer_head', str(check.has_answer_head)),
            ('has_event', str(check.has_event)),
            ('reach_s', f'{check.reach_s:.3f}'),
        )
        effects.append(Log('warning', 'upstream crashed with a request', fields))
        # Control hosts know what speaks for the parts before they weigh the crash.
        effects.extend(report_sound_parts(state, check.parts, ctx.now))
        effects.extend(send_to_hosts(state, CrashReport(check.instance, check.born_ms, check.lost)))
    req = state.requests.get(check.key)
    if req is None or not check.is_awaited or req.number != check.number or req.instance is not None:
        return effects
    if event.has_ended and check.lost.is_fresh:
        # It may have crashed this upstream and would crash the next one.
        return [*effects, *give_up(state, req, ctx)]
    return [*effects, *retry_after_loss(state, req, ctx)]


@handles_message(QuarantinedParts, GatewayState)
def _on_quarantined_parts(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, QuarantinedParts)
    effects: list[Effect] = []
    blamed = []
    for entry in msg.entries:
        if not state.quarantine.merge(entry, ctx.now):
            continue
        fields = (('part', entry.part), ('version', str(entry.version)), ('source', event.peer.node))
        effects.append(Log('warning', 'part of prompts is refused', fields))
        blamed.append(entry.part)
    return [*effects, *report_sound_parts(state, tuple(blamed), ctx.now)]


@handles(PeerFound, GatewayState)
def _on_peer_found(state: GatewayState, event: PeerFound, ctx: Context) -> list[Effect]:
    entries = state.quarantine.to_entries(ctx.now)
    if Role.CONTROL not in event.peer.roles or not entries:
        return []
    return [Send(event.peer.node, QuarantinedParts(entries))]


@handles(Tick, GatewayState)
def _on_tick(state: GatewayState, event: Tick, ctx: Context) -> list[Effect]:
    state.quarantine.drop_expired(ctx.now)
    return []
