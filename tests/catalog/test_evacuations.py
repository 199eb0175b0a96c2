from dataclasses import replace

import pytest

from basilcove.catalog import catalog_pb2 as pb
from basilcove.catalog.apply import apply
from basilcove.catalog.commands import EvacuateZone, RestoreZone
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import CommandRefused, ZoneChanged, ZoneConflict
from basilcove.catalog.snapshot import decode_state, encode_state
from basilcove.core.ids import RequestId, Zone
from basilcove.zones.const import MAX_EVACUATED_ZONES, MAX_ZONE_LENGTH
from basilcove.zones.models import Evacuation, Evacuations

FAR = Zone('zone/with ünusual name')


def evacuate(zone: str = FAR, request: str = '') -> EvacuateZone:
    return EvacuateZone(Zone(zone), 'operator', RequestId(request))


def restore(zone: str = FAR, request: str = '') -> RestoreZone:
    return RestoreZone(Zone(zone), 'other', RequestId(request))


class TestChanges:
    def test_only_effective_changes_have_a_version(self) -> None:
        """Guards against a resent call that is refused, or that counts as another change."""
        state = CatalogState()
        commands = (restore(), evacuate(), evacuate(), evacuate('b'), restore(), restore(), evacuate())
        versions = [apply(state, command, time) for time, command in enumerate(commands, 1)]
        assert versions == [ZoneChanged(version) for version in (0, 1, 1, 2, 3, 3, 4)]
        assert state.evacuations.rows == (
            Evacuation(Zone('b'), 4, 'operator'),
            Evacuation(FAR, 7, 'operator'),
        )

    def test_late_resend_with_an_id_changes_nothing(self) -> None:
        """Guards against a zone that is evacuated again by a resend that arrives after its restore."""
        state = CatalogState()
        outcomes = [
            apply(state, command, 1)
            for command in (evacuate(request='1'), restore(request='2'), evacuate(request='1'))
        ]
        assert outcomes == [ZoneChanged(1), ZoneChanged(2), ZoneChanged(1)]
        assert not state.evacuations.zones
        assert isinstance(apply(state, evacuate('b', request='1'), 1), CommandRefused)

    @pytest.mark.parametrize('request_id', ['', '1'])
    def test_late_change_of_an_older_version(self, request_id: str) -> None:
        """Guards against a restore that waited in a link, and takes back the evacuation of after it."""
        state = CatalogState()
        for command in (evacuate(), restore(), evacuate()):
            apply(state, command, 1)
        late = replace(restore(request=request_id), seen_version=1)
        assert apply(state, late, 1) == ZoneConflict(3)
        assert state.evacuations.zones == {FAR}
        # The same call is carried out for the present version.
        assert apply(state, replace(late, seen_version=3), 1) == ZoneChanged(4)
        # A late evacuation has no effect either.
        assert apply(state, replace(evacuate(), seen_version=2), 1) == ZoneConflict(4)
        assert apply(state, replace(restore(), seen_version=2), 1) == ZoneChanged(4)

    def test_number_and_names_are_bounded(self) -> None:
        """Guards against offers that grow without limit."""
        state = CatalogState()
        for zone in ('', 'x' * (MAX_ZONE_LENGTH + 1)):
            assert isinstance(apply(state, evacuate(zone), 1), CommandRefused)
        for number in range(MAX_EVACUATED_ZONES):
            apply(state, evacuate(f'zone-{number}'), 1)
        assert isinstance(apply(state, evacuate('one more'), 1), CommandRefused)
        assert apply(state, evacuate('zone-0'), 1) == ZoneChanged(MAX_EVACUATED_ZONES)


class TestSnapshot:
    def test_zones_and_version_survive(self) -> None:
        """Guards against an evacuation that ends when a replica starts from a snapshot."""
        state = CatalogState()
        for command in (evacuate(), evacuate('b'), restore('b')):
            apply(state, command, 5)
        restored = decode_state(encode_state(state))
        assert restored == state
        assert restored.evacuations == Evacuations(3, (Evacuation(FAR, 5, 'operator'),), 5, 'other')

    def test_former_snapshot_has_no_zones(self) -> None:
        """Guards against a host that can't start from a snapshot of the build before."""
        former = pb.CatalogSnapshot(time=3).SerializeToString()
        assert decode_state(former).evacuations == Evacuations()
