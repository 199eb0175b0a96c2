"""Placement of a layer from scratch: replicas, greedy packing, node then rank."""

import heapq
from collections.abc import Sequence

from basilcove.experts.models import Layer, MutableLayer, Shares


def replicate(shares: Shares, slots: int, ranks: int) -> list[int]:
    """Return the replicas of each expert, at most one per rank, that minimize the load of the hottest."""
    replicas = [1 for _ in shares]
    heap = [(-share, expert) for expert, share in enumerate(shares)]
    heapq.heapify(heap)
    for _ in range(slots - len(shares)):
        expert = heap[0][1]
        replicas[expert] += 1
        if replicas[expert] == ranks:
            heapq.heappop(heap)
            continue
        heapq.heapreplace(heap, (-shares[expert] / replicas[expert], expert))
    return replicas


def greedy(shares: Shares, capacity: Sequence[float], slots_per_rank: int) -> Layer:
    """Pack replicas, hottest first, each on the least loaded rank with a free slot."""
    replicas = replicate(shares, slots_per_rank * len(capacity), len(capacity))
    return _pack(_replica_loads(shares, replicas), capacity, slots_per_rank)


def hierarchical(
    shares: Shares,
    capacity: Sequence[float],
    slots_per_rank: int,
    ranks_per_node: int,
) -> Layer:
    """Pack replicas on nodes first and then on the ranks of each node."""
    nodes = len(capacity) // ranks_per_node
    replicas = replicate(shares, slots_per_rank * len(capacity), len(capacity))
    node_capacity = [
        sum(capacity[node * ranks_per_node : (node + 1) * ranks_per_node]) for node in range(nodes)
    ]
    by_node = _pack(
        _replica_loads(shares, replicas),
        node_capacity,
        slots_per_rank * ranks_per_node,
        copies=ranks_per_node,
    )
    placed: list[tuple[int, ...]] = []
    for node, experts in enumerate(by_node):
        replica_loads = sorted(
            ((shares[expert] / replicas[expert], expert) for expert in experts), reverse=True
        )
        first = node * ranks_per_node
        placed.extend(_pack(replica_loads, capacity[first : first + ranks_per_node], slots_per_rank))
    return tuple(placed)


def _replica_loads(shares: Shares, replicas: Sequence[int]) -> list[tuple[float, int]]:
    replica_loads: list[tuple[float, int]] = []
    for expert, count in enumerate(replicas):
        replica_loads.extend((shares[expert] / count, expert) for _ in range(count))
    replica_loads.sort(reverse=True)
    return replica_loads


def _pack(
    replica_loads: Sequence[tuple[float, int]],
    capacity: Sequence[float],
    slots: int,
    copies: int = 1,
) -> Layer:
    bins: MutableLayer = [[] for _ in capacity]
    heap = [(0.0, index) for index in range(len(capacity))]
    for load, expert in replica_loads:
        skipped: list[tuple[float, int]] = []
        while heap and bins[heap[0][1]].count(expert) >= copies:
            skipped.append(heapq.heappop(heap))
        if heap:
            used, index = heapq.heappop(heap)
            bins[index].append(expert)
            if len(bins[index]) < slots:
                heapq.heappush(heap, (used + load / capacity[index], index))
        else:
            _exchange(bins, expert, slots, copies)
        for entry in skipped:
            heapq.heappush(heap, entry)
    return tuple(tuple(experts) for experts in bins)


def _exchange(bins: MutableLayer, expert: int, slots: int, copies: int) -> None:
    """Place an expert that all bins with free slots hold already: move another expert there instead."""
    free = next(index for index, held in enumerate(bins) if len(held) < slots)
    for held in bins:
        if held.count(expert) >= copies:
            continue
        for slot in range(len(held) - 1, -1, -1):
            if bins[free].count(held[slot]) < copies:
                bins[free].append(held[slot])
                held[slot] = expert
                return
    # No legal exchange exists: the second copy wastes a slot but keeps the map complete.
    bins[free].append(expert)
