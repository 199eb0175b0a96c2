"""Plans the next expert map of a remote group in the steps that its ranks allow."""

from collections.abc import Sequence
from dataclasses import dataclass

from basilcove.experts.const import DIVISIONS
from basilcove.experts.models import Layer, Shares
from basilcove.experts.remote.const import RELIEF_SPEED, SKEW_WANTED
from basilcove.experts.swaps import LayerState, Trial

# Speed of each rank, 1 being usual.
Speeds = Sequence[float]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A better map, with the mean over the layers of the slowest rank's time over the mean."""

    layers: tuple[Layer, ...]
    skew_before: float
    skew_after: float


@dataclass(frozen=True, slots=True)
class RankBounds:
    """Experts of a layer that a rank may hold, and how many of them may be new to it."""

    slots: int
    max_new: int


def first_layers(layers: int, experts: int, ranks: int) -> tuple[Layer, ...]:
    """Return the map with which a group begins: experts are assigned to ranks in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


def propose(
    shares: Sequence[Shares], current: tuple[Layer, ...], bounds: RankBounds, speeds: Speeds
) -> Proposal:
    """Return a better map within the bounds of the ranks."""
    pairs = list(zip(shares, current, strict=True))
    layers = [_improve(popularity, layer, bounds, speeds) for popularity, layer in pairs]
    before = [skew_of(popularity, layer, speeds) for popularity, layer in pairs]
    after = [skew_of(popularity, layer, speeds) for popularity, layer in zip(shares, layers, strict=True)]
    return Proposal(tuple(layers), sum(before) / len(before), sum(after) / len(after))


def skew_of(shares: Shares, layer: Layer, speeds: Speeds) -> float:
    """Return the time of the slowest rank over the mean."""
    return LayerState(shares, layer, speeds).skew


def _improve(shares: Shares, layer: Layer, bounds: RankBounds, speeds: Speeds) -> Layer:
    state = LayerState(shares, layer, speeds)
    room = _Room(state, layer, bounds)
    _relieve(state, room)
    _fill(state, room)
    best, best_skew = _frozen(state), state.skew
    divisions = 0
    while state.skew > SKEW_WANTED:
        trial = state.best()
        if trial is None and divisions < DIVISIONS:
            divisions += 1
            trial = state.divide()
        if trial is None or not room.allows(trial):
            break
        _carry_out(state, trial)
        if state.skew < best_skew:
            best, best_skew = _frozen(state), state.skew
    return best


@dataclass(frozen=True, slots=True)
class _Room:
    """What each rank may still take in, beside what it holds under the present map."""

    state: LayerState
    present: Layer
    bounds: RankBounds

    def allows(self, trial: Trial) -> bool:
        """Tell whether the ranks can carry out a change of slots."""
        held = {rank: list(self.state.slots[rank]) for rank, _, _ in trial.changes}
        for rank, slot, expert in trial.changes:
            held[rank][slot] = expert
        for rank, experts in held.items():
            if self._new_to(rank, experts) > self.bounds.max_new or len(set(experts)) < len(experts):
                return False
        return True

    def ranks_for(self, expert: int) -> list[int]:
        """Return the usual ranks that can take an expert in, those with the shortest time first."""
        found = []
        for rank, experts in enumerate(self.state.slots):
            if self.state.capacity[rank] < RELIEF_SPEED or expert in experts:
                continue
            is_free = len(experts) < self.bounds.slots
            if is_free and self._new_to(rank, (*experts, expert)) <= self.bounds.max_new:
                found.append(rank)
        return sorted(found, key=self.state.time)

    def _new_to(self, rank: int, experts: Sequence[int]) -> int:
        return len(set(experts).difference(self.present[rank]))


def _relieve(state: LayerState, room: _Room) -> None:
    """Take experts from ranks that are slow until their time is the mean; the last one stays."""
    for rank, speed in enumerate(state.capacity):
        if speed < RELIEF_SPEED:
            _relieve_rank(state, room, rank)


def _relieve_rank(state: LayerState, room: _Room, rank: int) -> None:
    for expert in sorted(state.slots[rank], key=state.unit.__getitem__, reverse=True):
        if state.time(rank) <= 1 or len(state.slots[rank]) == 1:
            return
        if len(state.holders[expert]) > 1 or _give_away(state, room, expert):
            state.drop(rank, expert)


def _give_away(state: LayerState, room: _Room, expert: int) -> bool:
    """Let the usual rank with the shortest time hold an expert, too; False if none can take it in."""
    takers = room.ranks_for(expert) or _make_room(state, room, expert)
    if takers:
        state.add(takers[0], expert)
    return bool(takers)


def _make_room(state: LayerState, room: _Room, expert: int) -> list[int]:
    """Give up the replica with the least load on a usual rank, so that it can take an expert in."""
    spare = [
        (state.unit[other], rank, other)
        for other, held in enumerate(state.holders)
        if len(held) > 1 and other != expert
        for rank in held
        if state.capacity[rank] >= RELIEF_SPEED and expert not in state.slots[rank]
    ]
    for _, rank, given_up in sorted(spare):
        state.drop(rank, given_up)
        if rank in room.ranks_for(expert):
            return [rank]
        state.add(rank, given_up)
    return []


def _carry_out(state: LayerState, trial: Trial) -> None:
    for rank, slot, expert in trial.changes:
        state.replace(rank, slot, expert)


def _fill(state: LayerState, room: _Room) -> None:
    """Use free slots for replicas of the hottest experts, on the ranks with the shortest time."""
    while True:
        hottest = sorted(range(len(state.unit)), key=state.unit.__getitem__, reverse=True)
        for expert in hottest:
            ranks = room.ranks_for(expert)
            if ranks:
                state.add(ranks[0], expert)
                break
        else:
            return


def _frozen(state: LayerState) -> Layer:
    return tuple(tuple(experts) for experts in state.slots)
