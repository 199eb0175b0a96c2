import json
from http import HTTPStatus
from typing import Any

import pytest
from adapter.ranks import EngineDialect

from basilcove.experts.remote.orders import OrderResult, RankReport, ReadReport, Reply


def report(**changes: Any) -> dict[str, Any]:
    content = {
        'group': {'name': 'g', 'epoch': 2, 'rank': 1, 'state': 'open'},
        'step': 7,
        'mapping': 3,
        'preloaded': 4,
        'enabled': {'version': 4, 'step': 9},
        'held': 9,
        'pace': 5.0,
    }
    return {**content, **changes}


def decode(content: Any) -> Reply:
    return EngineDialect().decode(ReadReport(), HTTPStatus.OK, json.dumps(content).encode())


class TestReports:
    def test_fields(self) -> None:
        """Guards against fields of a rank's report that are mixed up."""
        assert decode(report()) == RankReport(2, 7, 3, 4, (4, 9), 9, slowness=5)

    def test_pace_may_be_missing(self) -> None:
        """Guards against maps that are never changed where ranks don't state their speed."""
        content = report()
        content.pop('pace')
        assert decode(content) == RankReport(2, 7, 3, 4, (4, 9), 9)

    @pytest.mark.parametrize('pace', ['fast', float('nan'), float('inf'), None, []])
    def test_pace_that_is_no_number(self, pace: Any) -> None:
        """Guards against plans with a speed that can't be compared."""
        assert decode(report(pace=pace)) is OrderResult.UNKNOWN
