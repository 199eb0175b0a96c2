"""Starts the daemon: ``basilcoved --settings FILE``."""

import importlib
import signal
import sys
from pathlib import Path


def main() -> int:
    """Run the daemon by its command line; return the exit status."""
    _ignore_reload()
    status: int = importlib.import_module('basilcove.command').main()
    return status


def run(path: Path) -> int:
    """Run the daemon of a settings file; return the exit status."""
    _ignore_reload()
    status: int = importlib.import_module('basilcove.command').run(path)
    return status


def _ignore_reload() -> None:
    # By default SIGHUP ends a process. The imports take about a second, and the daemon handles it only after
    # them; it reads its settings then anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == '__main__':
    sys.exit(main())
