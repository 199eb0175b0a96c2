"""Notes how far answers got, and tells control hosts of the parts of prompts that this releases."""

from collections.abc import Iterator

from basilcove.core.events import Effect, Log
from basilcove.core.ids import PartId
from basilcove.core.reducer import Context, handles
from basilcove.gateway.events import AnswerAdvanced, AnswerBegun
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.gateway.sharing import send_to_hosts
from basilcove.quarantine.messages import SoundPart, SoundParts


@handles(AnswerBegun, GatewayState)
def _on_answer_begun(state: GatewayState, event: AnswerBegun, ctx: Context) -> list[Effect]:
    return _note_open(state, event.key, 0, ctx)


@handles(AnswerAdvanced, GatewayState)
def _on_answer_advanced(state: GatewayState, event: AnswerAdvanced, ctx: Context) -> list[Effect]:
    return _note_open(state, event.key, event.reach_s, ctx)


def note_answer(state: GatewayState, req: OpenRequest, reach_s: float, ctx: Context) -> list[Effect]:
    """Note that the answer to a request went on for ``reach_s`` seconds after its first event."""
    released = state.quarantine.note_answer(req.parts, ctx.now, req.digest, reach_s)
    if not released:
        return []
    entries = tuple(SoundPart(part, 0, reach_s) for part in released)
    log = Log('warning', 'part of prompts is answered again', (('parts', ' '.join(released)),))
    return [log, *send_to_hosts(state, SoundParts(entries))]


def report_sound_parts(state: GatewayState, parts: tuple[PartId, ...], now: float) -> Iterator[Effect]:
    """Tell control hosts what is known of parts from answers."""
    entries = tuple(sound for part in parts for sound in state.quarantine.sound_parts(part, now))
    if entries:
        yield from send_to_hosts(state, SoundParts(entries))


def _note_open(state: GatewayState, key: int, reach_s: float, ctx: Context) -> list[Effect]:
    req = state.requests.get(key)
    return [] if req is None else note_answer(state, req, reach_s, ctx)
