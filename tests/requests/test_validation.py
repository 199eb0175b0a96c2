import dataclasses

import pytest

from basilcove.requests.events import Refusal
from basilcove.requests.validation import choose_priority, choose_timeout, is_repeatable, validate_request
from tests.requests.samples import make_environment, make_request


class TestChoosePriority:
    @pytest.mark.parametrize(
        ('requested', 'expected'), [(None, 'batch'), ('batch', 'batch'), ('urgent', 403), ('no-such', 400)]
    )
    def test_priority_is_limited_by_the_team(self, requested: str | None, expected: str | int) -> None:
        """Guards against a caller that requests a priority which its team may not use."""
        environment = make_environment(priorities=['batch'])
        choice = choose_priority(environment, 'kiosk', requested)
        outcome = choice.status if isinstance(choice, Refusal) else choice
        assert outcome == expected


class TestChooseTimeout:
    @pytest.mark.parametrize(
        ('requested', 'expected'),
        [(None, 60), ('3', 3), ('9e9', 600), ('nan', None), ('-1', None), ('x', None)],
    )
    def test_timeout_is_bounded(self, requested: str | None, expected: float | None) -> None:
        """Guards against a request without a deadline."""
        choice = choose_timeout(make_environment(), requested)
        outcome = None if isinstance(choice, Refusal) else choice
        assert outcome == expected


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
    def test_only_the_listed_paths_are_repeatable(self, path: str, expected: bool) -> None:
        """Guards against a booking that runs twice because its path is written like that of a lookup."""
        req = dataclasses.replace(make_request('r', 'lookup'), path=path)
        assert is_repeatable(make_environment(), req) is expected


class TestValidateRequest:
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
        """Guards against a request that was accepted under a document that is no longer in effect."""
        refusal = validate_request(make_environment(), dataclasses.replace(make_request('r'), **change))
        assert (refusal and refusal.status) == status
