from pathlib import Path
from typing import Any

import pytest
import yaml

from basilcove.environment import loading
from basilcove.environment.faults import DocumentFaults
from basilcove.environment.models import Environment

EXAMPLES = Path(__file__).parents[2] / 'examples'


def read(name: str) -> dict[str, Any]:
    return yaml.safe_load((EXAMPLES / name).read_text(encoding='utf-8'))


class TestExamples:
    @pytest.mark.parametrize('name', ['shire.yaml', 'fundacion.yaml'])
    def test_example_documents_are_valid_and_of_the_users_size(self, name: str) -> None:
        """Guards against examples that a change of the document's schema makes invalid."""
        environment = loading.load((EXAMPLES / name).read_text(encoding='utf-8'))
        assert isinstance(environment, Environment), environment
        kinds = [upstream.kind.value for upstream in environment.upstreams.values()]
        assert (kinds.count('engine'), kinds.count('service'), len(environment.teams)) == (12, 3, 10)
        assert len({upstream.zone for upstream in environment.upstreams.values()}) == 3
        assert len(environment.priorities) == 3


class TestFaults:
    def test_every_fault_is_listed_by_path(self) -> None:
        """Guards against a run that stops at the first fault, or lists no cross references after another."""
        content = read('shire.yaml')
        content['colour'] = 'green'
        content['priorities']['booking']['floor'] = 2
        content['teams']['hire-desk']['priorities'] = ['sometime']
        content['teams']['newsletter']['key_digests'] = ['secret']
        content['groups']['riders']['upstreams'].append('rider-99')
        content['models']['rider-assistant']['group'] = 'walkers'
        content['services']['hire']['calls'][0]['path'] = '/stock/../bookings'
        del content['upstreams']['hire-1']['zone']
        content['upstreams']['hire-2']['services'] = ['repairs']
        faults = loading.load(yaml.safe_dump(content))
        assert isinstance(faults, DocumentFaults)
        paths = {fault.path for fault in faults.faults}
        expected = {
            'colour',
            'priorities.booking.floor',
            'teams.hire-desk.priorities',
            'teams.newsletter.key_digests.0',
            'groups.riders.upstreams',
            'models.rider-assistant.group',
            'services.hire.calls.0.path',
            'upstreams.hire-1.zone',
            'upstreams.hire-2.services',
        }
        assert expected <= paths, expected - paths
        assert all(fault.line for fault in faults.faults)

    @pytest.mark.parametrize('slots', [2, 65])
    def test_slots_that_do_not_fit_the_experts_are_refused(self, slots: int) -> None:
        """Guards against a map that omits an expert, or places one twice on a rank."""
        content = read('shire.yaml')
        content['groups']['riders']['expert_slots'] = slots
        faults = loading.load(yaml.safe_dump(content))
        assert isinstance(faults, DocumentFaults)
        assert [fault.path for fault in faults.faults] == ['groups.riders.expert_slots']

    def test_a_fault_names_its_line(self) -> None:
        """Guards against operators who must search a document of 2,000 teams for a fault."""
        faults = loading.load(
            'name: shire\npriorities:\n  urgent: {level: 0, target_first_token_s: 1}\nteams: {}\n'
        )
        assert isinstance(faults, DocumentFaults)
        assert str(faults.faults[0]).startswith('line 3, priorities.urgent.level: ')
