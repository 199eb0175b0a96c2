import json
from collections import Counter

import pytest

from basilcove import environment
from basilcove.core.events import Peer
from basilcove.core.ids import Incarnation, NodeId, Role, UpstreamName, Zone
from basilcove.environment.models import Environment
from basilcove.helpers.hashing import rendezvous
from basilcove.membership.models import AnnouncerState
from basilcove.wiring.sampling import EntrySample, is_sampled
from tests.harness import documents
from tests.harness.cluster import ZONES, UpstreamSpec

ENTRIES = [f'entry-{number}' for number in range(50)]
ENGINES = tuple(
    UpstreamSpec(f'engine-{number}', '', ZONES[number % 2], models='rider-assistant') for number in range(16)
)


@pytest.fixture(scope='module')
def fleet() -> Environment:
    """Return a document with 8 engines of one model in each of two availability zones."""
    loaded = environment.load(json.dumps(documents.document(ENGINES)))
    assert isinstance(loaded, Environment)
    return loaded


def _entry(name: str, zone: str) -> Peer:
    return Peer(NodeId(name), (Role.ENTRY,), Incarnation(1), Zone(zone))


class TestRendezvous:
    def test_removed_name_changes_one_place_of_a_sample(self) -> None:
        """Guards against a new sample, with new links, whenever an engine is removed."""
        names = [spec.name for spec in ENGINES]
        for entry in ENTRIES:
            sample = rendezvous(entry, names, 3)
            for removed in names:
                reduced = rendezvous(entry, [name for name in names if name != removed], 3)
                assert len(sample - reduced) == int(removed in sample)

    def test_owners_draw_different_samples(self) -> None:
        """Guards against a hash that sends all entries to the same few engines."""
        names = [spec.name for spec in ENGINES[:8]]
        counts = Counter(name for entry in ENTRIES for name in rendezvous(entry, names, 2))
        assert set(counts) == set(names)
        # 12.5 on average; four standard deviations of 3.1 above that.
        assert max(counts.values()) <= 25


class TestDrawn:
    def test_an_entry_draws_the_bound_in_its_own_zone_alone(self, fleet: Environment) -> None:
        """Guards against an entry with more links than its budget holds, or without an engine of a model."""
        for name in ENTRIES:
            sample = [
                spec
                for spec in ENGINES
                if is_sampled(fleet, UpstreamName(spec.name), _entry(name, ZONES[0]), 2)
            ]
            assert [spec.zone for spec in sample] == [ZONES[0], ZONES[0]]

    def test_everything_is_linked_within_the_bound(self, fleet: Environment) -> None:
        """Guards against missing links at today's sizes, also between availability zones."""
        for zone in ZONES:
            assert all(
                is_sampled(fleet, UpstreamName(spec.name), _entry('entry-1', zone), 8) for spec in ENGINES
            )

    def test_control_hosts_are_always_linked(self, fleet: Environment) -> None:
        """Guards against an agent that loses its links to the control group."""
        announcer = AnnouncerState(NodeId('agent-engine-0'), Zone(ZONES[0]), Incarnation(1))
        announcer.environment = fleet
        sample = EntrySample(announcer, 1)
        for roles in ((Role.CONTROL,), (Role.CONTROL, Role.ENTRY)):
            assert sample.is_wanted(Peer(NodeId('host-1'), roles, Incarnation(1), Zone(ZONES[1])))
        # The upstream is not known yet, so all entries are linked.
        assert sample.is_wanted(_entry('entry-1', ZONES[1]))
