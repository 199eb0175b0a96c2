"""Starts the operators' tool: ``python -m basilcove.cli COMMAND``."""

import os
import sys
from typing import Final

import fire
from fire.core import FireExit
from fire.parser import DefaultParseValue

from basilcove.cli import rendering
from basilcove.cli.const import ExitStatus
from basilcove.cli.exceptions import RefusedError, UnreachableError, UsageError
from basilcove.cli.tool import Tool

# Fire would take the argument after a bare flag as its value.
_SWITCHES: Final = ('--json', '--insecure')


def main(arguments: list[str]) -> int:
    """Run one command; return the exit status."""
    command = [_quote(argument) for argument in arguments]
    wants_json = '--json=True' in command
    # Help goes to the terminal directly instead of through a pager.
    os.environ.setdefault('PAGER', 'cat')
    try:
        fire.Fire(Tool, command=command or ['--help'], name='basilcove')
    except RefusedError as refusal:
        _report(refusal.reasons, 'refused', refusal.reply if wants_json else None, as_json=wants_json)
        return ExitStatus.REFUSED
    except (UsageError, UnreachableError) as exc:
        _report((str(exc),), 'error', None, as_json=wants_json)
        return ExitStatus.USAGE_OR_UNREACHABLE
    except FireExit as exit_request:
        return int(exit_request.code)
    return ExitStatus.OK


def _quote(argument: str) -> str:
    """Quote an argument for fire, so that every value stays text."""
    if argument in _SWITCHES:
        return f'{argument}=True'
    flag, equals, text = argument.partition('=') if argument.startswith('--') else ('', '', argument)
    if flag in _SWITCHES or DefaultParseValue(text) == text:
        return argument
    return f'{flag}{equals}{text!r}'


def _report(reasons: tuple[str, ...], label: str, reply: object, *, as_json: bool) -> None:
    if as_json:
        source = {'accepted': False} if reply is None else reply
        sys.stdout.write(rendering.to_json(source, reasons=reasons) + '\n')
        return
    for reason in reasons:
        sys.stderr.write(f'{label}: {reason}\n')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
