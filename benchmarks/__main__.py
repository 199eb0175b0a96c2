"""Runs benchmarks, prints their tables, writes JSON and a plot, checks bounds."""

import argparse
import dataclasses
import importlib
import json
import pkgutil
import sys
from pathlib import Path

import benchmarks
from benchmarks.fakes.fleet import OPTIONS
from benchmarks.registry import BENCHMARKS, Figure

_COLUMNS = '{:<58} {:>12} {:>12} {:>12} {:>6}  {}'


def main() -> int:
    """Run the chosen benchmarks; exit status 1 if a deterministic bound is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='benchmarks to run; all by default')
    parser.add_argument('--short', action='store_true', help='run the short form, as in CI')
    parser.add_argument(
        '--out', type=Path, default=Path('build/benchmarks'), help='folder for JSON and plots'
    )
    parser.add_argument(
        '--seed', type=int, default=OPTIONS.seed, help='seed of the loads of admission and routing'
    )
    parser.add_argument('--without', action='append', default=[], help='a benchmark to leave out')
    args = parser.parse_args()
    OPTIONS.seed = args.seed
    for module in pkgutil.iter_modules(benchmarks.__path__, 'benchmarks.'):
        if module.name.startswith('benchmarks.bench_'):
            importlib.import_module(module.name)
    failed = False
    tables: dict[str, list[Figure]] = {}
    for name in args.names or sorted(BENCHMARKS.keys() - set(args.without)):
        tables[name] = BENCHMARKS[name](args.short)
        failed |= not _print_table(name, tables[name])
    _write(tables, args.out)
    return int(failed)


def _print_table(name: str, figures: list[Figure]) -> bool:
    print(f'\n{name}')
    print(_COLUMNS.format('figure', 'measured', 'baseline', 'bound', 'unit', ''))
    met = True
    for figure in figures:
        met &= figure.is_met or not figure.deterministic
        print(_COLUMNS.format(figure.name, *_cells(figure)))
    return met


def _cells(figure: Figure) -> tuple[str, ...]:
    bound = '-'
    if figure.at_most is not None:
        bound = f'<= {figure.at_most:g}'
    elif figure.at_least is not None:
        bound = f'>= {figure.at_least:g}'
    verdict = 'ok' if figure.is_met else 'MISSED'
    if not figure.deterministic:
        verdict += ' (wall clock)'
    baseline = '-' if figure.baseline is None else f'{figure.baseline:.4g}'
    return f'{figure.measured:.4g}', baseline, bound, figure.unit, verdict


def _write(tables: dict[str, list[Figure]], out: Path) -> None:
    out.mkdir(parents=True, exist_ok=True)
    plain = {name: [dataclasses.asdict(figure) for figure in figures] for name, figures in tables.items()}
    (out / 'figures.json').write_text(json.dumps(plain, indent=2))
    _plot(tables, out / 'figures.png')


def _plot(tables: dict[str, list[Figure]], path: Path) -> None:
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot as plt

    rows = [(name, figure) for name, figures in tables.items() for figure in figures if _bound(figure)]
    if not rows:
        return
    fig, axes = plt.subplots(figsize=(10, 1 + 0.3 * len(rows)))
    labels = [f'{name}: {figure.name}' for name, figure in rows]
    axes.barh(labels, [figure.measured / _bound(figure) for _, figure in rows], height=0.4, label='measured')
    axes.barh(
        labels,
        [(figure.baseline or 0) / _bound(figure) for _, figure in rows],
        height=0.15,
        label='baseline',
    )
    axes.axvline(1, color='black', linewidth=1)
    axes.set_xlabel('share of the bound')
    axes.set_xscale('symlog')
    axes.legend()
    fig.tight_layout()
    fig.savefig(path)


def _bound(figure: Figure) -> float:
    return figure.at_most or figure.at_least or 0


if __name__ == '__main__':
    sys.exit(main())
