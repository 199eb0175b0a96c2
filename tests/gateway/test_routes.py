from collections import Counter, UserString
from typing import Any

import pytest

from basilcove.environment.models import Environment
from basilcove.gateway.routes import RouteTable, pick_service
from tests.gateway.world import HOST, document

MAX_TARGET_BYTES = 16_384


def table_of(*prefixes: str) -> RouteTable:
    content = document()
    pattern = content['routes']['lookup']
    content['routes'] = {
        f'r{number}': {**pattern, 'path_prefix': each} for number, each in enumerate(prefixes)
    }
    return RouteTable.from_environment(Environment.model_validate(content))


class TestRouteTable:
    @pytest.mark.parametrize(
        ('path', 'prefix'),
        [
            ('/a/b/c', '/a/b/'),
            ('/a/b/', '/a/b/'),
            ('/a/b', '/a/'),
            ('/a/x/b/', '/a/'),
            ('/x', '/'),
            ('/', '/'),
        ],
    )
    def test_longest_prefix_wins(self, path: str, prefix: str) -> None:
        """Guards against a request that goes to the service of a shorter prefix."""
        named_route = table_of('/', '/a/', '/a/b/').find(HOST.upper(), path)
        assert named_route is not None
        assert named_route.route.path_prefix == prefix

    def test_no_route(self) -> None:
        """Guards against a match of a partial path segment, or of another host."""
        table = table_of('/a/')
        assert table.find(HOST, '/ab') is None
        assert table.find(HOST, '/') is None
        assert table.find(HOST, '') is None
        assert table.find('other.example', '/a/') is None


class CountedPath(UserString):
    """A path that counts the characters which are copied of it."""

    def __init__(self, path: str) -> None:
        super().__init__(path)
        self.copied = 0

    def __getitem__(self, key: Any) -> Any:
        """Count the part."""
        part = self.data[key]
        self.copied += len(part)
        return part


class TestWork:
    @pytest.mark.parametrize('pattern', ['/', './', 'a/', '%2f/', '&', '.', '%'])
    def test_odd_path_of_legal_size(self, pattern: str) -> None:
        """Guards against a path of slashes whose look-up keeps the gateway from answering all others."""
        table = table_of('/book/', '/look/', '/look/at/')
        path = CountedPath('/' + pattern * (MAX_TARGET_BYTES // len(pattern)))
        assert table.find(HOST, path) is None  # type: ignore[arg-type]
        assert path.copied <= len('/look/at/') + len('/look/')


class TestWeights:
    def test_services_get_their_share(self) -> None:
        """Guards against a split route that sends all requests to one service, or any to one of weight 0."""
        content = document(services={'desk': {}, 'new': {}, 'none': {}})
        content['routes']['lookup']['targets'] = [
            {'service': 'desk', 'weight': 90},
            {'service': 'new', 'weight': 10},
            {'service': 'none', 'weight': 0},
        ]
        route = Environment.model_validate(content).routes['lookup']  # type: ignore[index]
        counts = Counter(pick_service(route, f'request-{number}') for number in range(5000))
        assert counts['none'] == 0  # type: ignore[index]
        assert 350 < counts['new'] < 650  # type: ignore[index]
