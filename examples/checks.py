"""Checks of the demonstrations."""

import sys


def expect(met: bool) -> None:
    """End the demonstration with status 1 unless a result is the expected one."""
    if not met:
        sys.exit('the demonstration failed: the result above is not the expected one')
