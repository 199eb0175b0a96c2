"""The command line of the daemon."""

import argparse
import asyncio
import importlib
import sys
from pathlib import Path

from basilcove.rpc.polling import poll_without_pool
from basilcove.settings import SettingsError, load_settings

_EXIT_SETTINGS = 2


def main() -> int:
    """Run the daemon until it is stopped; return exit status 2 if the settings can't be used."""
    parser = argparse.ArgumentParser(prog='basilcoved', description='Runs the roles of one basilcove node.')
    parser.add_argument('--settings', type=Path, required=True, help='YAML file with the settings')
    parser.add_argument('--check', action='store_true', help='validate the settings and exit')
    args = parser.parse_args()
    return run(args.settings, only_check=args.check)


def run(path: Path, *, only_check: bool = False) -> int:
    """Run the daemon with a settings file, or only check the file; return the exit status."""
    try:
        settings = load_settings(path)
    except SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        return _EXIT_SETTINGS
    if only_check:
        return 0
    poll_without_pool()
    daemon = importlib.import_module('basilcove.daemon')
    status: int = asyncio.run(daemon.Daemon.from_config(settings, path).run())
    return status
