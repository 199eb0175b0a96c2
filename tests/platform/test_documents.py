import base64
import json
import zlib
from typing import Any

import pytest
from adapter.configuration import Configuration, ConfigurationError
from adapter.documents import SOURCE, read_source, source_of, write_document
from adapter.upgrades import upgrade_document

from basilcove.environment.exceptions import DocumentError
from basilcove.environment.loading import load_accepted
from basilcove.environment.models import Environment, RouteKind


def configuration(**changes: Any) -> dict[str, Any]:
    route = {
        'name': 'r-1',
        'hostname': 'Desk.example',
        'path_prefix': '/a/',
        'type': 'streaming',
        'timeout_ms': 8000,
        'target_latency_ms': 402,
        'priority': 0,
        'backends': [{'service': 's-1', 'weight': 90}, {'service': 's-2', 'weight': 10}],
        'max_attempts': 2,
        'public': False,
        'resumable': True,
    }
    other = {**route, 'name': 'r-2', 'path_prefix': '/b/', 'type': 'unsafe', 'priority': 2, 'service': 's-2'}
    del other['backends']
    content = {
        'version': 7,
        'routes': [route, other],
        'services': [{'name': 's-1', 'max_connections': 408}, {'name': 's-2'}],
        'limits': {'max_header_bytes': 16384, 'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': 't-1', 'api_keys': ['k-1', 'k-2'], 'priority': 1}],
        'unknown': {'to': 'us'},
    }
    return {**content, **changes}


def translate(content: Any) -> str:
    return translate_body(json.dumps(content).encode())


def translate_body(body: bytes) -> str:
    return write_document('production', Configuration.from_body(body), body)


def place(content: dict[str, Any], path: tuple[Any, ...], text: Any) -> dict[str, Any]:
    """Replace the text at a path of a configuration."""
    *parents, last = path
    target: Any = content
    for step in parents:
        target = target[step]
    target[last] = text
    return content


class TestUnreadableText:
    @pytest.mark.parametrize(
        'path',
        [
            ('routes', 0, 'hostname'),
            ('routes', 0, 'name'),
            ('routes', 0, 'path_prefix'),
            ('routes', 0, 'unknown'),
            ('routes', 0, 'desk\ud83d'),
            ('services', 0, 'name'),
            ('services', 0, 'protocol'),
            ('tenants', 0, 'name'),
            ('tenants', 0, 'api_keys', 0),
            ('unknown', 'to'),
        ],
    )
    def test_half_of_a_character_is_refused(self, path: tuple[Any, ...]) -> None:
        """Guards against an acknowledged configuration that no host can read or obey."""
        body = json.dumps(place(configuration(), path, 'desk\ud83d.example')).encode()
        with pytest.raises(ConfigurationError):
            translate_body(body)

    @pytest.mark.parametrize('number', ['NaN', 'Infinity', '1e400', '9' * 5000])
    def test_number_that_not_every_reader_takes_is_refused(self, number: str) -> None:
        """Guards against a configuration that is acknowledged and can't be read back by its operator."""
        body = json.dumps(configuration(unknown='N')).replace('"N"', number).encode()
        with pytest.raises(ConfigurationError):
            translate_body(body)

    def test_whole_character_is_accepted(self) -> None:
        """Guards against the refusal of a character that is written as two escapes."""
        body = json.dumps(place(configuration(), ('routes', 0, 'hostname'), 'desk😀.example')).encode()
        assert read_source(translate_body(body)).encode() == body

    def test_source_of_a_document_that_this_version_can_not_read(self) -> None:
        """Guards against 500 at an operator who reads back what another build has stored."""
        stored = json.loads(translate(configuration()))
        text = json.dumps({**stored, 'added': {'by': 'another build'}})
        assert json.loads(read_source(text)) == configuration()


class TestConfiguration:
    def test_cold_upstreams(self) -> None:
        """Guards against a limit for cold engines that is lost, or one for services that state none."""
        service = {'name': 's-1', 'cold_per_s': 26, 'cold_start_s': 6.5}
        others = [{**service, 'name': 's-2', 'cold_per_s': 0}, {'name': 's-3'}]
        environment = load_accepted(translate(configuration(services=[service, *others])))
        limits = [(each.cold_limit_per_s, each.cold_time_s) for each in environment.services.values()]
        assert limits == [(26, 6.5), (None, None), (None, None)]

    def test_memory_of_engines(self) -> None:
        """Guards against engines whose memory is lost, and a service without engines that gets one."""
        service = {'name': 's-1', 'engine': {'kv_capacity': 116666}}
        others = [{'name': 's-2', 'engine': {'kv_capacity': 0}}, {'name': 's-3'}]
        environment = load_accepted(translate(configuration(services=[service, *others])))
        assert [each.memory_tokens for each in environment.services.values()] == [116666, None, None]

    def test_meaning_is_kept(self) -> None:
        """Guards against a route, limit, team or key whose meaning the translation changes."""
        environment = load_accepted(translate(configuration()))
        route = environment.routes['r-1']  # type: ignore[index]
        assert (route.host, route.kind, route.timeout_s) == ('Desk.example', RouteKind.STREAM, 8)
        assert [(target.service, target.weight) for target in route.targets] == [('s-1', 90), ('s-2', 10)]
        assert environment.priorities[route.priority].level == 1
        other = environment.routes['r-2']  # type: ignore[index]
        assert (other.kind, environment.priorities[other.priority].level) == (RouteKind.UNSAFE, 3)
        assert environment.limits.header_timeout_s == 3
        team = environment.teams['t-1']  # type: ignore[index]
        assert len(team.key_digests) == 2
        assert environment.priorities[team.priorities[0]].level == 2

    def test_pause_target_of_streaming_routes(self) -> None:
        """Guards against a limit where no route states a target, and against a target in milliseconds."""
        content = configuration()
        for route in content['routes']:
            route['target_itl_ms'] = 150
        environment = load_accepted(translate(content))
        assert isinstance(environment, Environment)
        targets = {name: named.target_pause_s for name, named in environment.routes.items()}
        assert targets == {'r-1': 0.15, 'r-2': None}
        plain = load_accepted(translate(configuration()))
        assert plain.routes['r-1'].target_pause_s is None  # type: ignore[index]

    def test_source_is_read_back_unchanged(self) -> None:
        """Guards against a configuration that is read back without the keys that the product doesn't know."""
        content = configuration()
        assert json.loads(source_of(load_accepted(translate(content)))) == content

    def test_without_teams_no_key_is_required(self) -> None:
        """Guards against 401 where there are no keys."""
        content = configuration()
        del content['tenants']
        environment = load_accepted(translate(content))
        assert {route.is_public for route in environment.routes.values()} == {True}

    @pytest.mark.parametrize(
        'tenants',
        [[], [{'name': 't-1', 'api_keys': []}], [{'name': 't-1'}], [{'name': 't-1', 'api_keys': None}]],
    )
    def test_without_keys_routes_stay_closed(self, tenants: list[Any]) -> None:
        """Guards against routes that open to everybody when the last team or its last key is removed."""
        content = configuration(tenants=tenants)
        content['routes'][1]['public'] = True
        environment = load_accepted(translate(content))
        assert [route.is_public for route in environment.routes.values()] == [False, True]
        assert not environment.team_by_digest

    @pytest.mark.parametrize(
        'change',
        [
            {'routes': [{**configuration()['routes'][1], 'service': 'unknown'}]},
            {'routes': [configuration()['routes'][0], {**configuration()['routes'][0], 'name': 'r-3'}]},
            {'routes': [{**configuration()['routes'][0], 'backends': [{'service': 's-1', 'weight': 0}]}]},
            {'routes': [{**configuration()['routes'][0], 'timeout_ms': 0}]},
            {'routes': [{**configuration()['routes'][0], 'timeout_ms': '8'}]},
            {'routes': [{**configuration()['routes'][0], 'type': 'other'}]},
            {'routes': None},
            {'services': None},
            {'tenants': [{'name': 't', 'api_keys': ['k']}, {'name': 'u', 'api_keys': ['k']}]},
            *({'tenants': tenants} for tenants in (None, {}, '', 0, False, 'abc', ['t'], {'t': 1})),
            *(
                {'tenants': [{'name': 't', 'api_keys': keys}]}
                for keys in ('abc', {'k': 1}, [''], [5], [None], 7)
            ),
            *({'limits': {'max_body_bytes': limit}} for limit in (0, True, '8', -1, 0.5)),
            {'limits': {'idle_timeout_ms': 0}},
            {'services': [{'name': 's-1', 'max_connections': 0}, {'name': 's-2'}]},
        ],
    )
    def test_invalid_configuration_is_refused(self, change: dict[str, Any]) -> None:
        """Guards against the acknowledgement of a configuration that no gateway could use."""
        with pytest.raises(ConfigurationError):
            translate(configuration(**change))

    @pytest.mark.parametrize(
        ('field', 'content'),
        [
            *(('public', content) for content in ('false', 'true', ['no'], 1, 0, {})),
            ('resumable', 'false'),
            ('timeout_ms', True),
            ('timeout_ms', None),
            ('max_attempts', 0),
            ('max_attempts', True),
            ('max_attempts', 1.5),
            ('priority', '1'),
            ('priority', True),
            ('backends', []),
            ('backends', {}),
            ('backends', [{'service': 's-1', 'weight': None}]),
            ('backends', [{'service': 's-1', 'weight': True}]),
            ('hostname', None),
        ],
    )
    def test_field_of_another_type_is_refused(self, field: str, content: Any) -> None:
        """Guards against an empty or odd field that is taken for a missing one, or opens a route."""
        changed = configuration()
        changed['routes'][0][field] = content
        with pytest.raises(ConfigurationError):
            translate(changed)

    def test_optional_field_that_is_null_is_missing(self) -> None:
        """Guards against the refusal of a configuration that states fields without content."""
        content = configuration(limits=None)
        for field in (
            'priority',
            'max_attempts',
            'target_latency_ms',
            'target_itl_ms',
            'public',
            'resumable',
        ):
            content['routes'][0][field] = None
        route = load_accepted(translate(content)).routes['r-1']  # type: ignore[index]
        assert (route.max_upstreams, route.is_public, route.is_resumable) == (1, False, False)
        assert (route.priority, route.target_first_byte_s, route.target_pause_s) == ('p0', 1, None)

    def test_whole_number_with_a_point(self) -> None:
        """Guards against the refusal of 2.0, which is the same number as 2 in JSON."""
        content = configuration()
        content['routes'][0]['max_attempts'] = 2.0
        assert load_accepted(translate(content)).routes['r-1'].max_upstreams == 2  # type: ignore[index]

    @pytest.mark.parametrize('name', [None, 5, 1.5, True, ['r'], {}])
    @pytest.mark.parametrize('section', ['routes', 'services', 'tenants'])
    def test_name_that_is_no_text_is_refused(self, section: str, name: Any) -> None:
        """Guards against 500, which makes the operator ask each host in turn, instead of a refusal."""
        content = configuration()
        content[section][0]['name'] = name
        with pytest.raises(ConfigurationError):
            translate(content)

    @pytest.mark.parametrize('content', [None, [], 'text', {}, {'routes': 1, 'services': []}])
    def test_malformed_configuration_is_refused(self, content: Any) -> None:
        """Guards against an exception that a configuration of another shape causes."""
        with pytest.raises(ConfigurationError):
            translate(content)


def stored_by_an_earlier_build(open_routes: bool = True, **changes: Any) -> Environment:
    """Return a document whose source has these changes, and which earlier builds translated otherwise."""
    stored = load_accepted(translate(configuration()))
    packed = base64.b64encode(zlib.compress(json.dumps(configuration(**changes)).encode())).decode()
    routes = {
        name: route.model_copy(update={'is_public': open_routes}) for name, route in stored.routes.items()
    }
    return stored.model_copy(update={'routes': routes, 'annotations': {SOURCE: packed}})


class TestUpgrade:
    @pytest.mark.parametrize('tenants', [[], {}, '', 0, False, None])
    def test_routes_that_an_earlier_build_opened_are_closed(self, tenants: Any) -> None:
        """Guards against routes that stay open until the next configuration."""
        upgraded = upgrade_document(stored_by_an_earlier_build(tenants=tenants))
        assert {route.is_public for route in upgraded.routes.values()} == {False}

    def test_route_that_is_public_by_its_source_stays_open(self) -> None:
        """Guards against 401 on a public route, and on all routes where the source has no tenants."""
        content = configuration()
        content['routes'][0]['public'] = True
        content['routes'][1]['public'] = 'false'
        upgraded = upgrade_document(stored_by_an_earlier_build(routes=content['routes']))
        assert [route.is_public for route in upgraded.routes.values()] == [True, False]
        del content['tenants']
        open_document = load_accepted(translate(content | {'routes': configuration()['routes']}))
        assert upgrade_document(open_document) == open_document

    def test_letters_of_a_text_are_no_keys(self) -> None:
        """Guards against a key of one letter that an earlier build made of a text."""
        stored = stored_by_an_earlier_build(tenants=[{'name': 't-1', 'api_keys': 'abc'}])
        assert stored.team_by_digest
        assert not upgrade_document(stored).team_by_digest

    def test_sound_document_is_kept(self) -> None:
        """Guards against an upgrade that changes what this build has stored, or another source."""
        stored = load_accepted(translate(configuration()))
        assert upgrade_document(stored) == stored
        plain = stored.model_copy(update={'annotations': {}})
        assert upgrade_document(plain) is plain

    @pytest.mark.parametrize('source', ['', 'text', 'eJwDAAAAAAE='])
    def test_source_that_can_not_be_read(self, source: str) -> None:
        """Guards against an exception that ends the handler of a document."""
        stored = load_accepted(translate(configuration()))
        with pytest.raises(DocumentError):
            upgrade_document(stored.model_copy(update={'annotations': {SOURCE: source}}))
