import dataclasses

import pytest

from basilcove.requests.events import Refusal
from basilcove.requests.validation import choose_priority, choose_timeout, find_fault, is_repeatable
from tests.requests.samples import make_environment, make_request


class TestChoosePriority:
    @pytest.mark.parametrize(
        ('wanted', 'chosen'), [(None, 'batch'), ('batch', 'batch'), ('urgent', 403), ('no-such', 400)]
    )
    def test_priority_is_bounded_by_the_team(self, wanted: str | None, chosen: str | int) -> None:
        """Guards against a caller who names a priority that its team has not been given."""
        environment = make_environment(priorities=['batch'])
        found = choose_priority(environment, 'kiosk', wanted)
        outcome = found.status if isinstance(found, Refusal) else found
        assert outcome == chosen


class TestChooseTimeout:
    @pytest.mark.parametrize(
        ('wanted', 'chosen'), [(None, 60), ('3', 3), ('9e9', 600), ('nan', None), ('-1', None), ('x', None)]
    )
    def test_timeout_is_bounded(self, wanted: str | None, chosen: float | None) -> None:
        """Guards against a request without a deadline."""
        found = choose_timeout(make_environment(), wanted)
        outcome = None if isinstance(found, Refusal) else found
        assert outcome == chosen


class TestIsRepeatable:
    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/stock', True),
            ('/stock/1?unit=m', True),
            ('/stockade', False),
            ('/book', False),
            ('/stock/../book', False),
            ('/stock/%2e%2e/book', False),
            ('/stock//../book', False),
            ('/stock/%2f..%2fbook', False),
            ('/stock/%252e%252e/book', False),
            ('/stock/..;/book', False),
            ('/stock/%41', True),
        ],
    )
    def test_only_the_described_paths_are_repeatable(self, path: str, expected: bool) -> None:
        """Guards against a booking that runs twice because its path is written like a lookup's."""
        req = dataclasses.replace(make_request('r', 'lookup'), path=path)
        assert is_repeatable(make_environment(), req) is expected


class TestFindFault:
    @pytest.mark.parametrize(
        ('change', 'status'),
        [
            ({}, None),
            ({'team': 'no-such'}, 401),
            ({'priority': 'no-such'}, 400),
            ({'model': 'no-such'}, 404),
            ({'model': None, 'service': 'no-such'}, 404),
        ],
    )
    def test_unknown_names_are_refused(self, change: dict[str, str | None], status: int | None) -> None:
        """Guards against a request that was accepted under a document that no longer holds."""
        fault = find_fault(make_environment(), dataclasses.replace(make_request('r'), **change))
        assert (fault and fault.status) == status
