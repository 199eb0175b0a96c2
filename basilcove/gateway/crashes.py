"""Reports crashes of upstreams with the requests that they had, and applies the quarantine that follows.

Guards against requests that crash each upstream that begins to answer them. Such a request is not sent on.
Once control hosts have found the part of its prompt that is to blame, no request with that part is sent.
"""

from collections.abc import Iterator

from basilcove.core.events import Effect, Log, Message, PeerFound, Received, Send, Tick
from basilcove.core.ids import Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.attempts import give_up
from basilcove.gateway.events import AnswerBegun, UpstreamChecked
from basilcove.gateway.models import GatewayState
from basilcove.gateway.results import retry_after_loss
from basilcove.quarantine.messages import CrashReport, LostRequest, QuarantinedParts, SoundPart, SoundParts


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
        )
        effects.append(Log('warning', 'upstream crashed with a request', fields))
        lost = LostRequest(check.parts, check.has_answer_head, check.digest)
        effects.extend(_send_to_hosts(state, CrashReport(check.instance, check.born_ms, lost)))
    req = state.requests.get(check.key)
    if req is None or req.number != check.number or req.instance is not None:
        return effects
    if event.has_ended and check.has_answer_head:
        # It may have crashed this upstream and would crash the next one.
        return [*effects, *give_up(state, req, ctx)]
    return [*effects, *retry_after_loss(state, req, ctx)]


@handles(AnswerBegun, GatewayState)
def _on_answer_begun(state: GatewayState, event: AnswerBegun, ctx: Context) -> list[Effect]:
    req = state.requests.get(event.key)
    if req is None:
        return []
    released = state.quarantine.note_answer(req.parts, ctx.now, req.digest)
    if not released:
        return []
    entries = tuple(SoundPart(part, 0) for part in released)
    log = Log('warning', 'part of prompts is answered again', (('parts', ' '.join(released)),))
    return [log, *_send_to_hosts(state, SoundParts(entries))]


@handles_message(QuarantinedParts, GatewayState)
def _on_quarantined_parts(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, QuarantinedParts)
    effects: list[Effect] = []
    sound = []
    for entry in msg.entries:
        if not state.quarantine.merge(entry, ctx.now):
            continue
        fields = (('part', entry.part), ('version', str(entry.version)), ('source', event.peer.node))
        effects.append(Log('warning', 'part of prompts is refused', fields))
        known = state.quarantine.sound_part(entry.part, ctx.now)
        if known is not None:
            sound.append(known)
    if sound:
        effects.extend(_send_to_hosts(state, SoundParts(tuple(sound))))
    return effects


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


def _send_to_hosts(state: GatewayState, msg: Message) -> Iterator[Effect]:
    for node in state.sharing.hosts:
        yield Send(node, msg)
