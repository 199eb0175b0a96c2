"""Constants of the operators' tool."""

import enum
from typing import Final

NODES_VARIABLE: Final = 'BASILCOVE_NODES'

# Number of attempts at each node before the tool gives up.
ROUNDS: Final = 2

# An answer needs a commit of the control group; a drain takes up to 10 s.
CALL_TIMEOUT_S: Final = 15.0


class ExitStatus(enum.IntEnum):
    """Exit status of the tool."""

    OK = 0
    REFUSED = 1
    USAGE_OR_UNREACHABLE = 2
