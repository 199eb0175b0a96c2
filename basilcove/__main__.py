"""Starts the daemon: ``basilcoved --settings FILE``."""

import importlib
import signal
import sys
from pathlib import Path


def main() -> int:
    """Run the daemon with the arguments of the command line; return the exit status."""
    _ignore_reload()
    status: int = importlib.import_module('basilcove.command').main()
    return status


def run(path: Path) -> int:
    """Run the daemon with a settings file; return the exit status."""
    _ignore_reload()
    status: int = importlib.import_module('basilcove.command').run(path)
    return status


def _ignore_reload() -> None:
    # SIGHUP ends a process by default, and the daemon installs its handler only after the imports, which take
    # about a second. Until then SIGHUP can be ignored, since the settings are read after the imports anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == '__main__':
    sys.exit(main())
