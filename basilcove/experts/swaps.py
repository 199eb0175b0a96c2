"""Incremental improvement of one layer by swaps and replicas."""

from collections.abc import Sequence
from typing import NamedTuple

from basilcove.experts.const import MAX_ESCAPES, SWAP_PARTNERS, TARGET_LAYER_SKEW
from basilcove.experts.models import Layer, Shares


class Candidate(NamedTuple):
    """Changes of slots as (rank, slot, expert); ``peak`` is the time of the slowest rank affected."""

    peak: float
    fetches: int
    changes: tuple[tuple[int, int, int], ...]


class LayerState:
    """Loads of the ranks in one layer; the mean over the ranks' capacity is 1.

    ``share`` is the load of an expert, ``unit`` that of each of its replicas; ``holders`` are its ranks.
    """

    def __init__(self, shares: Shares, placement: Layer, capacity: Sequence[float]) -> None:
        """Start from a placement, in which every expert must have a slot."""
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
        """Return the rank with the longest time."""
        times = [load / speed for load, speed in zip(self.load, self.capacity, strict=True)]
        return times.index(max(times))

    def replace(self, rank: int, slot: int, expert: int) -> None:
        """Put an expert into a slot and update the loads of all affected ranks."""
        former = self.slots[rank][slot]
        self.slots[rank][slot] = expert
        self.load[rank] -= self.unit[former]
        self.holders[former].remove(rank)
        self._update_replica_loads(former)
        self.holders[expert].append(rank)
        self.load[rank] += self.unit[expert]
        self._update_replica_loads(expert)

    def add(self, rank: int, expert: int) -> None:
        """Put an expert into a free slot."""
        self.slots[rank].append(expert)
        self.holders[expert].append(rank)
        self.load[rank] += self.unit[expert]
        self._update_replica_loads(expert)

    def drop(self, rank: int, expert: int) -> None:
        """Free the slot of an expert that another rank holds as well."""
        self.slots[rank].remove(expert)
        self.holders[expert].remove(rank)
        self.load[rank] -= self.unit[expert]
        self._update_replica_loads(expert)

    def find_best(self) -> Candidate | None:
        """Return the change with the largest gain per fetch, or None if there is no gain."""
        hot = self.hottest()
        ranked = sorted(range(len(self.load)), key=self.time)
        ranked.remove(hot)
        # All other ranks are tried only where the coolest ones offer no gain.
        return self._best_with(hot, ranked[:SWAP_PARTNERS]) or self._best_with(hot, ranked[SWAP_PARTNERS:])

    def find_escape(self) -> Candidate | None:
        """Return a change that adds a replica of the hottest expert on the slowest rank, at any peak.

        It escapes from a local optimum in which one expert has too much load for any exchange.
        """
        expert = max(self.slots[self.hottest()], key=self.unit.__getitem__)
        redundant = [
            (self._load_after_drop(other), other)
            for other, held in enumerate(self.holders)
            if len(held) > 1 and other != expert
        ]
        for load_after_drop, dropped in sorted(redundant):
            if load_after_drop >= self.unit[expert]:
                break
            targets = [rank for rank in self.holders[dropped] if rank not in self.holders[expert]]
            if not targets:
                continue
            target = min(targets, key=self.time)
            return Candidate(0, 1, ((target, self.slots[target].index(dropped), expert),))
        return None

    def time(self, rank: int) -> float:
        """Return the time of a rank over the mean."""
        return self.load[rank] / self.capacity[rank]

    def _load_after_drop(self, expert: int) -> float:
        """Return the load of each remaining replica after one is dropped."""
        return self.share[expert] / (len(self.holders[expert]) - 1)

    def _best_with(self, hot: int, partners: Sequence[int]) -> Candidate | None:
        peak = self.load[hot] / self.capacity[hot]
        best: Candidate | None = None
        best_gain = 1e-6
        for cool in partners:
            candidates = (
                self._best_swap(hot, cool, peak),
                self._best_replica(hot, cool, hot, peak),
                self._best_replica(hot, hot, cool, peak),
            )
            for candidate in candidates:
                if candidate is not None and (peak - candidate.peak) / candidate.fetches > best_gain:
                    best_gain = (peak - candidate.peak) / candidate.fetches
                    best = candidate
        return best

    def _update_replica_loads(self, expert: int) -> None:
        held = self.holders[expert]
        if not held:
            return
        unit = self.share[expert] / len(held)
        change = unit - self.unit[expert]
        self.unit[expert] = unit
        for rank in held:
            self.load[rank] += change

    def _best_swap(self, hot: int, cool: int, peak: float) -> Candidate | None:
        """Return the best exchange of two experts between the ranks, which takes two fetches."""
        speeds = self.capacity[hot], self.capacity[cool]
        # The times are equal if this much load moves between the ranks.
        load_to_move = (self.load[hot] * speeds[1] - self.load[cool] * speeds[0]) / sum(speeds)
        chosen = self._closest_pair(hot, cool, load_to_move)
        if chosen is None:
            return None
        hot_expert, cool_expert = self.slots[hot][chosen[0]], self.slots[cool][chosen[1]]
        load = self.unit[hot_expert] - self.unit[cool_expert]
        slowest = max((self.load[hot] - load) / speeds[0], (self.load[cool] + load) / speeds[1])
        changes = ((hot, chosen[0], cool_expert), (cool, chosen[1], hot_expert))
        return Candidate(slowest, 2, changes) if slowest < peak else None

    def _closest_pair(self, hot: int, cool: int, load_to_move: float) -> tuple[int, int] | None:
        """Find the slots whose exchange moves closest to this load."""
        least_error = load_to_move
        chosen = None
        hot_experts = set(self.slots[hot])
        candidates = [
            (self.unit[expert], slot)
            for slot, expert in enumerate(self.slots[cool])
            if expert not in hot_experts
        ]
        self.evaluated += len(hot_experts) * len(candidates)
        for hot_slot, moved in enumerate(self.slots[hot]):
            if cool in self.holders[moved]:
                continue
            offset = self.unit[moved] - load_to_move
            for weight, slot in candidates:
                error = abs(offset - weight)
                if error < least_error:
                    least_error = error
                    chosen = (hot_slot, slot)
        return chosen

    def _best_replica(self, hot: int, target: int, source: int, peak: float) -> Candidate | None:
        """Return the best replacement of a redundant replica on the target: one fetch.

        The new replica is one of an expert on the source.
        """
        best = None
        eligible = [expert for expert in self.slots[source] if target not in self.holders[expert]]
        for slot, dropped in enumerate(self.slots[target]):
            if len(self.holders[dropped]) == 1:
                continue
            load_after_drop = self._load_after_drop(dropped)
            # Only hotter experts get a replica, or else cold ones would use up the spare slots.
            hotter = [expert for expert in eligible if self.unit[expert] > load_after_drop]
            for replicated in hotter:
                slowest = self._peak_of_replica(hot, target, replicated, dropped)
                if slowest < peak:
                    peak = slowest
                    best = Candidate(slowest, 1, ((target, slot, replicated),))
        return best

    def _peak_of_replica(self, hot: int, target: int, expert: int, dropped: int) -> float:
        self.evaluated += 1
        unit = self.share[expert] / (len(self.holders[expert]) + 1)
        lowered = self.unit[expert] - unit
        raised = self._load_after_drop(dropped) - self.unit[dropped]
        slowest = (self.load[target] + unit - self.unit[dropped]) / self.capacity[target]
        for rank in (hot, *self.holders[dropped]):
            if rank == target:
                continue
            load = self.load[rank]
            if rank in self.holders[dropped]:
                load += raised
            if rank in self.holders[expert]:
                load -= lowered
            slowest = max(slowest, load / self.capacity[rank])
        return slowest


def improve(state: LayerState, fetch_cost: float, max_fetches: int) -> tuple[Layer, float]:
    """Improve a layer change by change; return the placement with the best net gain and its skew.

    ``fetch_cost`` is in units of skew. Changes after the best net gain, which cost
    more than they gain, are discarded.
    """
    best_net = 0.0
    best = (_freeze(state), state.skew)
    before = state.skew
    fetches = 0
    escapes = 0
    while fetches < max_fetches and state.skew > TARGET_LAYER_SKEW:
        candidate = state.find_best()
        if candidate is None and escapes < MAX_ESCAPES:
            escapes += 1
            candidate = state.find_escape()
        if candidate is None:
            break
        for rank, slot, expert in candidate.changes:
            state.replace(rank, slot, expert)
        fetches += candidate.fetches
        net = before - state.skew - fetches * fetch_cost
        if net > best_net:
            best_net = net
            best = (_freeze(state), state.skew)
    return best


def _freeze(state: LayerState) -> Layer:
    return tuple(tuple(experts) for experts in state.slots)
