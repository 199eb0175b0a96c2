"""Whether the caller of a change without a number still waits for it, so that the change may be begun."""

import time
from collections.abc import Callable

from basilcove.core.pauses import PauseState
from basilcove.core.runtime import Runtime
from basilcove.http1.connection import CallerConnection
from basilcove.http1.liveness import has_peer_closed

IsCurrent = Callable[[], bool]


class CurrentCalls:
    """Tells which calls are current; others are refused, and a caller that still waits sends them again."""

    def __init__(self, runtime: Runtime) -> None:
        """Look at the pauses of a process."""
        self._node = runtime.node

    def is_current(self, conn: CallerConnection) -> bool:
        """Tell whether a caller is connected and its call can't have waited through a pause."""
        pauses = self._node.part(PauseState)
        if conn.transport is None or pauses.reads_late(time.monotonic(), time.time()):
            return False
        return not has_peer_closed(conn.transport)
