"""Calls to the ranks of a remote group: each is sent again until it is answered."""

from collections.abc import Iterable, Iterator

from basilcove.core.events import Effect, Log
from basilcove.core.ids import Rank
from basilcove.experts.remote.const import RESEND_S
from basilcove.experts.remote.events import CallRank
from basilcove.experts.remote.models import GroupChange, Phase, Sent
from basilcove.experts.remote.orders import Order, Question

Steps = Iterator[Effect]


def is_agreed(change: GroupChange) -> bool:
    """Tell whether all ranks that the phase asks have agreed."""
    return bool(change.calls) and change.done >= change.calls.keys()


def enter(change: GroupChange, phase: Phase, now: float) -> Steps:
    """Go on to another phase, which has asked nothing yet."""
    change.phase = phase
    change.since = now
    change.calls.clear()
    change.waiting.clear()
    change.done.clear()
    change.refused.clear()
    yield Log('debug', 'phase of a remote group', fields_of(change))


def ask_all(change: GroupChange, call: Order | Question, now: float) -> Steps:
    """Ask all ranks."""
    yield from ask(change, sorted(change.ranks), call, now)


def ask(change: GroupChange, ranks: Iterable[Rank], call: Order | Question, now: float) -> Steps:
    """Ask these ranks, in place of what was asked before."""
    change.asked_at = now
    change.waiting.clear()
    change.done.clear()
    change.refused.clear()
    change.calls = dict.fromkeys(ranks, call)
    for rank in change.calls:
        yield _call(change, rank, now)


def send_due(change: GroupChange, now: float) -> Steps:
    """Send calls again that have no answer."""
    for rank, sent in tuple(change.waiting.items()):
        if now - sent.sent_at >= RESEND_S:
            change.has_lost_order |= isinstance(change.calls[rank], Order)
            yield _call(change, rank, now)


def _call(change: GroupChange, rank: Rank, now: float) -> Effect:
    change.number += 1
    change.waiting[rank] = Sent(change.number, now)
    place, identity = change.ranks[rank], change.identity
    return CallRank(
        identity.name,
        rank,
        change.number,
        place.instance,
        place.address,
        identity.epoch,
        change.token,
        change.calls[rank],
    )


def fields_of(change: GroupChange) -> tuple[tuple[str, str], ...]:
    """Return the log fields of a change."""
    numbers = {
        'epoch': change.identity.epoch,
        'token': change.token,
        'version': change.version,
        'target_version': change.target_version,
        'step': change.step,
    }
    texts = [(name, str(number)) for name, number in numbers.items()]
    return ('group', change.identity.name), ('phase', change.phase.value), *texts
