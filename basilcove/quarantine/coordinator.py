"""Collects reports of crashes on a control host, and tells gateways which parts of prompts to refuse."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace

from basilcove.core.events import Count, Effect, Log, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId, PartId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.helpers.hashing import stable_hash
from basilcove.quarantine.const import EVIDENCE_LIFETIME_S, TRIAL_STAGE_S
from basilcove.quarantine.messages import CrashReport, QuarantinedPart, QuarantinedParts, SoundParts
from basilcove.quarantine.models import QuarantineState


@handles(PeerFound, QuarantineState)
def _on_peer_found(state: QuarantineState, event: PeerFound, ctx: Context) -> list[Effect]:
    node = event.peer.node
    if Role.GATEWAY not in event.peer.roles:
        return []
    state.gateways.add(node)
    entries = tuple(
        _delay(entry, _trial_order(state, entry).index(node)) for entry in state.current_entries(ctx.now)
    )
    return [Send(node, QuarantinedParts(entries))] if entries else []


@handles(PeerLost, QuarantineState)
def _on_peer_lost(state: QuarantineState, event: PeerLost, ctx: Context) -> list[Effect]:
    state.gateways.discard(event.peer.node)
    return []


@handles_message(CrashReport, QuarantineState)
def _on_crash_report(state: QuarantineState, event: Received, ctx: Context) -> list[Effect]:
    report = event.message
    assert isinstance(report, CrashReport)
    blamed = state.add_crash(report, ctx.now)
    fields = (
        ('instance', report.instance),
        ('parts', ' '.join(report.request.parts)),
        ('digest', report.request.digest),
        ('has_answer_head', str(report.request.has_answer_head)),
        ('has_event', str(report.request.has_event)),
        ('reach_s', f'{report.request.reach_s:.3f}'),
        ('source', event.peer.node),
    )
    return [Log('warning', 'crash reported', fields), *_announce(state, blamed, ctx.now)]


@handles_message(SoundParts, QuarantineState)
def _on_sound_parts(state: QuarantineState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, SoundParts)
    changed: list[PartId] = []
    for entry in msg.entries:
        age_s = min(EVIDENCE_LIFETIME_S, max(0, entry.age_s))
        changed.extend(state.add_answer(entry.part, ctx.now - age_s, ctx.now, entry.reach_s))
    return _announce(state, changed, ctx.now)


@handles_message(QuarantinedParts, QuarantineState)
def _on_quarantined_parts(state: QuarantineState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, QuarantinedParts)
    adopted = [entry.part for entry in msg.entries if state.adopt(entry, ctx.now)]
    return _announce(state, adopted, ctx.now)


@handles(Tick, QuarantineState)
def _on_tick(state: QuarantineState, event: Tick, ctx: Context) -> list[Effect]:
    state.drop_expired(ctx.now)
    return []


def _announce(state: QuarantineState, parts: Iterable[PartId], now: float) -> list[Effect]:
    entries = [state.records[part].to_entry(part, now) for part in parts]
    if not entries:
        return []
    effects: list[Effect] = []
    for entry in entries:
        fields = (
            ('part', entry.part),
            ('version', str(entry.version)),
            ('remaining_s', f'{entry.remaining_s:.1f}'),
        )
        text = 'part of prompts released' if entry.is_released else 'part of prompts quarantined'
        effects.extend((Log('warning', text, fields), Count('quarantine_changes')))
    delayed: dict[NodeId, list[QuarantinedPart]] = defaultdict(list)
    for entry in entries:
        for position, node in enumerate(_trial_order(state, entry)):
            delayed[node].append(_delay(entry, position))
    for node, node_entries in delayed.items():
        effects.append(Send(node, QuarantinedParts(tuple(node_entries))))
    return effects


def _trial_order(state: QuarantineState, entry: QuarantinedPart) -> list[NodeId]:
    """Return the gateways in the order in which they try a part; it differs for each part and crash."""
    return sorted(state.gateways, key=lambda node: stable_hash(entry.part, entry.version, node))


def _delay(entry: QuarantinedPart, position: int) -> QuarantinedPart:
    """Return the entry for the gateway at a position of the trial order, which refuses the part for longer.

    Stage 0 has one gateway, stage 1 has two, stage 2 has four.
    """
    stage = (position + 1).bit_length() - 1
    return replace(entry, remaining_s=entry.remaining_s + stage * TRIAL_STAGE_S)
