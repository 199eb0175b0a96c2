"""How gRPC waits for its sockets."""

import os
from typing import Final

_VARIABLE: Final = 'GRPC_EXPERIMENTS'
# gRPC's event engine hands each read and write to a pool with a thread for each core, and all of its
# idle threads wake up: a third of the CPU time of an entry with 60 links. Without the engine, the thread
# that serves the completion queue polls the sockets itself.
_WITHOUT_ENGINE: Final = '-event_engine_client,-event_engine_listener'


def poll_without_pool() -> None:
    """Keep gRPC from a thread pool of its own; only before grpc is imported.

    A value that is set in the environment stays.
    """
    os.environ.setdefault(_VARIABLE, _WITHOUT_ENGINE)
