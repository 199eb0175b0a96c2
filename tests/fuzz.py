"""Runs the state machines of the tests with consecutive seeds for a time; see ``script/fuzz --help``."""

import argparse
import importlib
import sys
import time
import traceback
from collections.abc import Iterator
from pathlib import Path

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

_ROOT = Path(__file__).parent.parent
_EXAMPLES_PER_ROUND = 50
_STEPS = 50


def find_machines() -> dict[str, type[RuleBasedStateMachine]]:
    """Return the state machines of all modules named ``test_*fuzz.py``, by name."""
    for path in sorted(_ROOT.glob('tests/**/test_*fuzz.py')):
        importlib.import_module('.'.join(path.relative_to(_ROOT).with_suffix('').parts))
    return {machine.__name__: machine for machine in _leaves(RuleBasedStateMachine)}


def run_round(machine: type[RuleBasedStateMachine], number: int) -> None:
    """Run one state machine with a seed; raise the exceptions of its checks."""
    seeded = seed(number)(type(machine.__name__, (machine,), {}))
    run_state_machine_as_test(
        seeded,
        settings=settings(
            max_examples=_EXAMPLES_PER_ROUND,
            stateful_step_count=_STEPS,
            deadline=None,
            database=None,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


def main(argv: list[str] | None = None) -> int:
    """Run rounds until the time is over; return 1 after the first failure."""
    parser = argparse.ArgumentParser(prog='script/fuzz', description=__doc__)
    parser.add_argument('--seconds', type=float, default=60, help='start no new round after this time')
    parser.add_argument(
        '--seed', type=int, default=1, help='seed of the first round; each later round adds 1'
    )
    parser.add_argument('machines', nargs='*', help='names of state machines; all by default')
    args = parser.parse_args(argv)
    machines = find_machines()
    unknown = sorted(set(args.machines) - set(machines))
    if unknown:
        parser.error(f'unknown state machines: {", ".join(unknown)}; known: {", ".join(sorted(machines))}')
    chosen = args.machines or sorted(machines)
    end = time.monotonic() + args.seconds
    number = args.seed
    while number == args.seed or time.monotonic() < end:
        for name in chosen:
            try:
                run_round(machines[name], number)
            except Exception:
                sys.stdout.write(traceback.format_exc())
                sys.stdout.write(f'reproduce: script/fuzz --seconds 0 --seed {number} {name}\n')
                return 1
            sys.stdout.write(f'{name} seed {number}: {_EXAMPLES_PER_ROUND} examples passed\n')
            sys.stdout.flush()
        number += 1
    return 0


def _leaves(base: type[RuleBasedStateMachine]) -> Iterator[type[RuleBasedStateMachine]]:
    for cls in base.__subclasses__():
        if cls.__subclasses__():
            yield from _leaves(cls)
            continue
        if cls.__module__.startswith('tests.'):
            yield cls


if __name__ == '__main__':
    sys.exit(main())
