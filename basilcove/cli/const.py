"""Constants of the operators' tool."""

import enum
from typing import Final

NODES_VARIABLE: Final = 'BASILCOVE_NODES'

# Each node is asked at most this often before the tool gives up.
ROUNDS: Final = 2

# An answer takes a commit at the control group; a drain takes up to 10 s.
CALL_TIMEOUT_S: Final = 15.0


class ExitStatus(enum.IntEnum):
    """Exit status of the tool."""

    OK = 0
    REFUSED = 1
    USAGE_OR_UNREACHABLE = 2
