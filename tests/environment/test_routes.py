from typing import Any

import pytest

from basilcove.environment.faults import DocumentFaults
from basilcove.environment.loading import load_content
from basilcove.environment.models import Environment
from tests.gateway.world import document


def changed(**changes: Any) -> dict[str, Any]:
    content = document()
    content['routes']['lookup'].update(changes)
    return content


class TestRoutes:
    def test_valid_routes(self) -> None:
        """Guards against a check that refuses routes which gateways can use."""
        assert isinstance(load_content(document()), Environment)

    @pytest.mark.parametrize(
        ('changes', 'path'),
        [
            ({'targets': [{'service': 'unknown'}]}, 'routes.lookup.targets'),
            ({'targets': [{'service': 'desk', 'weight': 0}]}, 'routes.lookup.targets'),
            ({'targets': []}, 'routes.lookup.targets'),
            ({'targets': [{'service': 'desk', 'weight': -1}]}, 'routes.lookup.targets.0.weight'),
            ({'timeout_s': 0}, 'routes.lookup.timeout_s'),
            ({'max_upstreams': 0}, 'routes.lookup.max_upstreams'),
            ({'path_prefix': 'lookup/'}, 'routes.lookup.path_prefix'),
            ({'path_prefix': '/lookup'}, 'routes.lookup.path_prefix'),
            ({'priority': 'unknown'}, 'routes.lookup.priority'),
        ],
    )
    def test_faults_are_listed(self, changes: dict[str, Any], path: str) -> None:
        """Guards against a document with routes that no gateway could use."""
        faults = load_content(changed(**changes))
        assert isinstance(faults, DocumentFaults)
        assert path in {fault.path for fault in faults.faults}

    def test_two_routes_with_the_same_host_and_prefix(self) -> None:
        """Guards against a request that matches two routes whose hosts differ in case only."""
        content = changed(path_prefix='/book/', host='DESK.example')
        faults = load_content(content)
        assert isinstance(faults, DocumentFaults)
        assert [fault.path for fault in faults.faults] == ['routes.book.path_prefix']
