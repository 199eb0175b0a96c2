"""Incremental improvement of one layer by swaps and replicas."""

from collections.abc import Sequence
from typing import NamedTuple

from basilcove.experts.const import DIVISIONS, LAYER_SKEW_WANTED, PARTNERS
from basilcove.experts.models import Layer, Shares


class Trial(NamedTuple):
    """A candidate change of slots and the slowest rank among those that it touches."""

    peak: float
    fetches: int
    changes: tuple[tuple[int, int, int], ...]


class LayerState:
    """Loads of the ranks in one layer; the mean over the ranks' capacity is 1."""

    def __init__(self, shares: Shares, placement: Layer, capacity: Sequence[float]) -> None:
        """Take over a placement; every expert has to have a slot."""
        scale = sum(capacity) / sum(shares)
        self.slots = [list(experts) for experts in placement]
        self.capacity = capacity
        self.share = [share * scale for share in shares]
        self.holders: list[list[int]] = [[] for _ in shares]
        for rank, experts in enumerate(self.slots):
            for expert in experts:
                self.holders[expert].append(rank)
        self.unit = [share / len(held) for share, held in zip(self.share, self.holders, strict=True)]
        self.load = [sum(map(self.unit.__getitem__, held)) for held in self.slots]
        self.evaluated = 0

    @property
    def skew(self) -> float:
        """Time of the slowest rank over the mean."""
        return max(load / speed for load, speed in zip(self.load, self.capacity, strict=True))

    def hottest(self) -> int:
        """Return the slowest rank."""
        times = [load / speed for load, speed in zip(self.load, self.capacity, strict=True)]
        return times.index(max(times))

    def replace(self, rank: int, slot: int, expert: int) -> None:
        """Put an expert into a slot and update the loads of all ranks concerned."""
        former = self.slots[rank][slot]
        self.slots[rank][slot] = expert
        self.load[rank] -= self.unit[former]
        self.holders[former].remove(rank)
        self._spread(former)
        self.holders[expert].append(rank)
        self.load[rank] += self.unit[expert]
        self._spread(expert)

    def add(self, rank: int, expert: int) -> None:
        """Put an expert into a slot that was free."""
        self.slots[rank].append(expert)
        self.holders[expert].append(rank)
        self.load[rank] += self.unit[expert]
        self._spread(expert)

    def drop(self, rank: int, expert: int) -> None:
        """Free the slot of an expert that another rank holds, too."""
        self.slots[rank].remove(expert)
        self.holders[expert].remove(rank)
        self.load[rank] -= self.unit[expert]
        self._spread(expert)

    def best(self) -> Trial | None:
        """Return the change with the largest gain for each fetch, or None if none gains."""
        hot = self.hottest()
        ranked = sorted(range(len(self.load)), key=self.time)
        ranked.remove(hot)
        # All other ranks are tried only where the coolest ones offer no gain.
        return self._best_with(hot, ranked[:PARTNERS]) or self._best_with(hot, ranked[PARTNERS:])

    def divide(self) -> Trial | None:
        """Give the largest expert of the hottest rank one more replica, whatever the peak becomes.

        This leaves a local optimum in which one expert is too large for any exchange.
        """
        expert = max(self.slots[self.hottest()], key=self.unit.__getitem__)
        spare = [
            (self._merged(other), other)
            for other, held in enumerate(self.holders)
            if len(held) > 1 and other != expert
        ]
        for merged, given_up in sorted(spare):
            if merged >= self.unit[expert]:
                break
            targets = [rank for rank in self.holders[given_up] if rank not in self.holders[expert]]
            if not targets:
                continue
            target = min(targets, key=self.time)
            return Trial(0, 1, ((target, self.slots[target].index(given_up), expert),))
        return None

    def time(self, rank: int) -> float:
        """Return the time of a rank over the mean."""
        return self.load[rank] / self.capacity[rank]

    def _merged(self, expert: int) -> float:
        """Return the load of each replica after one is given up."""
        return self.share[expert] / (len(self.holders[expert]) - 1)

    def _best_with(self, hot: int, partners: Sequence[int]) -> Trial | None:
        peak = self.load[hot] / self.capacity[hot]
        found: Trial | None = None
        score = 1e-6
        for cool in partners:
            trials = (
                self._best_swap(hot, cool, peak),
                self._best_replica(hot, cool, hot, peak),
                self._best_replica(hot, hot, cool, peak),
            )
            for trial in trials:
                if trial is not None and (peak - trial.peak) / trial.fetches > score:
                    score = (peak - trial.peak) / trial.fetches
                    found = trial
        return found

    def _spread(self, expert: int) -> None:
        held = self.holders[expert]
        if not held:
            return
        unit = self.share[expert] / len(held)
        change = unit - self.unit[expert]
        self.unit[expert] = unit
        for rank in held:
            self.load[rank] += change

    def _best_swap(self, hot: int, cool: int, peak: float) -> Trial | None:
        """Exchange two experts between the ranks: two fetches."""
        speeds = self.capacity[hot], self.capacity[cool]
        # The times are equal where this much load changes ranks.
        wanted = (self.load[hot] * speeds[1] - self.load[cool] * speeds[0]) / sum(speeds)
        chosen = self._closest_pair(hot, cool, wanted)
        if chosen is None:
            return None
        given, taken = self.slots[hot][chosen[0]], self.slots[cool][chosen[1]]
        load = self.unit[given] - self.unit[taken]
        slowest = max((self.load[hot] - load) / speeds[0], (self.load[cool] + load) / speeds[1])
        changes = ((hot, chosen[0], taken), (cool, chosen[1], given))
        return Trial(slowest, 2, changes) if slowest < peak else None

    def _closest_pair(self, hot: int, cool: int, wanted: float) -> tuple[int, int] | None:
        """Find the slots whose exchange moves the load closest to the wanted one."""
        best_miss = wanted
        chosen = None
        taken = set(self.slots[hot])
        light = [
            (self.unit[expert], slot) for slot, expert in enumerate(self.slots[cool]) if expert not in taken
        ]
        self.evaluated += len(taken) * len(light)
        for hot_slot, moved in enumerate(self.slots[hot]):
            if cool in self.holders[moved]:
                continue
            offset = self.unit[moved] - wanted
            for weight, slot in light:
                miss = abs(offset - weight)
                if miss < best_miss:
                    best_miss = miss
                    chosen = (hot_slot, slot)
        return chosen

    def _best_replica(self, hot: int, target: int, source: int, peak: float) -> Trial | None:
        """Give up a redundant replica on the target for one of an expert of the source: one fetch."""
        found = None
        wanted = [expert for expert in self.slots[source] if target not in self.holders[expert]]
        for slot, given_up in enumerate(self.slots[target]):
            if len(self.holders[given_up]) == 1:
                continue
            merged = self._merged(given_up)
            # A replica goes to a hotter expert only, or else cold experts use up the spare slots.
            hotter = [expert for expert in wanted if self.unit[expert] > merged]
            for candidate in hotter:
                slowest = self._peak_of_replica(hot, target, candidate, given_up)
                if slowest < peak:
                    peak = slowest
                    found = Trial(slowest, 1, ((target, slot, candidate),))
        return found

    def _peak_of_replica(self, hot: int, target: int, expert: int, given_up: int) -> float:
        self.evaluated += 1
        unit = self.share[expert] / (len(self.holders[expert]) + 1)
        lowered = self.unit[expert] - unit
        raised = self._merged(given_up) - self.unit[given_up]
        slowest = (self.load[target] + unit - self.unit[given_up]) / self.capacity[target]
        for rank in (hot, *self.holders[given_up]):
            if rank == target:
                continue
            load = self.load[rank]
            if rank in self.holders[given_up]:
                load += raised
            if rank in self.holders[expert]:
                load -= lowered
            slowest = max(slowest, load / self.capacity[rank])
        return slowest


def improve(state: LayerState, fetch_cost: float, max_fetches: int) -> tuple[Layer, float]:
    """Improve a layer step by step; return the placement with the best net gain and its skew.

    ``fetch_cost`` is in units of skew. The path is cut where further fetches
    cost more than they gain.
    """
    best_net = 0.0
    best = (_freeze(state), state.skew)
    before = state.skew
    fetches = 0
    divisions = 0
    while fetches < max_fetches and state.skew > LAYER_SKEW_WANTED:
        trial = state.best()
        if trial is None and divisions < DIVISIONS:
            divisions += 1
            trial = state.divide()
        if trial is None:
            break
        for rank, slot, expert in trial.changes:
            state.replace(rank, slot, expert)
        fetches += trial.fetches
        net = before - state.skew - fetches * fetch_cost
        if net > best_net:
            best_net = net
            best = (_freeze(state), state.skew)
    return best


def _freeze(state: LayerState) -> Layer:
    return tuple(tuple(experts) for experts in state.slots)
