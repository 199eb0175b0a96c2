from pathlib import Path

import pytest
from pydantic import ValidationError

from basilcove.consensus.config import ControlConfig
from basilcove.consensus.const import FAULT_TOLERANCE


def _tolerance(stated: object) -> int:
    return ControlConfig.model_validate(
        {'bootstrap': (), 'data_folder': Path(), 'fault_tolerance': stated}
    ).fault_tolerance


class TestFaultTolerance:
    def test_stated_number(self) -> None:
        assert _tolerance(1) == 1

    def test_null(self) -> None:
        """Guards against a host that doesn't start where the platform states no number."""
        assert _tolerance(None) == FAULT_TOLERANCE

    def test_negative_number(self) -> None:
        with pytest.raises(ValidationError):
            _tolerance(-1)
