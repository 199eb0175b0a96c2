"""Checks of the demonstrations."""

import sys


def expect(is_met: bool) -> None:
    """Exit with status 1 unless the condition is met."""
    if not is_met:
        sys.exit('the demonstration failed: the result above is not as expected')
