from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from tests.harness import documents
from tests.harness.cluster import ZONES, Cluster, UpstreamSpec
from tests.harness.processes import wait_for

_ENGINES = ('engine-1', 'engine-2')
_UPSTREAMS = tuple(
    UpstreamSpec(name, 'tests.standins.engine', zone, models='rider-assistant')
    for name, zone in zip(_ENGINES, ZONES, strict=False)
)


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Cluster]:
    """Return a running group of two engines, of which the first checks fencing tokens."""
    with Cluster(tmp_path, upstreams=_UPSTREAMS) as running:
        running.start_all(documents.write(tmp_path, _document()))
        running.behave('engine-1', checks_fencing=True)
        yield running


@pytest.fixture
def counted_group(tmp_path: Path) -> Iterator[Cluster]:
    """Return a running group of two engines whose counts are read every half second."""
    with Cluster(tmp_path, upstreams=_UPSTREAMS, agent_settings={'counts_interval_s': 0.5}) as running:
        running.start_all(documents.write(tmp_path, _document()))
        yield running


class TestExpertMaps:
    def test_frozen_coordinator_is_replaced_and_its_orders_have_no_effect(self, group: Cluster) -> None:
        """Guards against a coordinator that resumes and continues under its previous lease."""
        wait_for(lambda: _versions(group) == {1}, 'the first map at both engines')
        first = _fence(group, 'engine-1')
        coordinator, other = _find_coordinator(group)
        coordinator.freeze()
        wait_for(lambda: _fence(group, other) > first, 'another coordinator')
        coordinator.thaw()
        wait_for(lambda: min(_fence(group, name) for name in _ENGINES) > first, 'the newer token everywhere')
        assert _versions(group) == {1}
        for name in _ENGINES:
            fences = [order['fence'] for order in group.state_of(name)['orders']]
            assert fences == sorted(fences), f'{name} accepted an order with an older token'

    def test_restarted_engine_gets_a_map_together_with_its_group(self, group: Cluster) -> None:
        """Guards against a rank that restarts without a map and blocks its group forever."""
        wait_for(lambda: _versions(group) == {1}, 'the first map at both engines')
        group.processes['engine-2'].kill()
        group.start_standin('engine-2')
        wait_for(lambda: _versions(group) == {2}, 'the map to be activated again at both engines')
        assert len({_switch_step(group, name) for name in _ENGINES}) == 1

    def test_changed_document_gives_all_ranks_a_map_of_its_size(self, group: Cluster, tmp_path: Path) -> None:
        """Guards against a changed group whose engines never get a new map."""
        wait_for(lambda: _versions(group) == {1}, 'the first map at both engines')
        document = _document()
        document['groups']['riders']['expert_slots'] = 6
        path = documents.write(tmp_path, document, 'slots.yaml')
        group.cli('apply', str(path), '--expected-revision', '1', '--request-id', 'slots')
        wait_for(lambda: _versions(group) == {2}, 'a map with 6 slots at both engines')
        for name in _ENGINES:
            assert [[len(rank) for rank in layer] for layer in _last_layers(group, name)] == [[6, 6], [6, 6]]


class TestPlanning:
    def test_skewed_popularity_leads_to_a_second_map_on_all_ranks(self, counted_group: Cluster) -> None:
        """Guards against a group that keeps its even map, however uneven the load of its ranks is."""
        wait_for(lambda: _versions(counted_group) == {1}, 'the first map at both engines')
        # Experts 0 and 2 are both on the first rank of the even map.
        layer = [1000, 100, 1000, 100, 100, 100, 100, 100]
        for engine in _ENGINES:
            counted_group.behave(engine, selections=[layer, layer])
        wait_for(lambda: _versions(counted_group) == {2}, 'a second map at both engines')
        assert len({_switch_step(counted_group, name) for name in _ENGINES}) == 1
        prepared = [_last_layers(counted_group, name) for name in _ENGINES]
        assert prepared[0] == prepared[1]
        for layer in prepared[0]:
            assert [len({0, 2} & set(rank)) for rank in layer] == [1, 1]


def _document() -> dict[str, Any]:
    document = documents.document(_UPSTREAMS)
    for name in _ENGINES:
        document['upstreams'][name]['agent'] = f'agent-{name}'
    document['upstreams']['engine-1']['checks_fencing'] = True
    return document


def _last_layers(group: Cluster, name: str) -> list[list[list[int]]]:
    orders = [order for order in group.state_of(name)['orders'] if order['kind'] == 'prepare_map']
    return list(orders[-1]['layers'])


def _status(group: Cluster, name: str) -> dict[str, Any]:
    return dict(group.state_of(name)['status'])


def _versions(group: Cluster) -> set[int]:
    try:
        return {_status(group, name)['active'] for name in _ENGINES}
    except urllib3.exceptions.HTTPError:
        # The engine is starting.
        return set()


def _fence(group: Cluster, name: str) -> int:
    return int(group.state_of(name)['fence'])


def _find_coordinator(group: Cluster) -> tuple[Any, str]:
    """Return the agent that holds the lease, according to its metric, and the engine of the other agent."""
    for name, other in (_ENGINES, tuple(reversed(_ENGINES))):
        if 'basilcove_orders_lease_held 1.0' in group.get(f'agent-{name}', '/metrics').data.decode():
            return group.processes[f'agent-{name}'], other
    raise AssertionError('no agent holds the lease')


def _switch_step(group: Cluster, name: str) -> int:
    orders = [order for order in group.state_of(name)['orders'] if order['kind'] == 'arm_map']
    return int(orders[-1].get('step', 0))
