"""Runs benchmarks: `python -m benchmarks [NAME ...]`."""

import argparse
import importlib
import sys

from benchmarks.report import Report

BENCHMARKS = (
    'routing',
    'propagation',
    'placement',
    'policy',
    'capacity',
    'recovery',
    'fullsize',
    'overload',
)
"""Modules of this package that define `measure(quick: bool) -> Report`."""


def main() -> int:
    """Runs the named benchmarks, or all of them.

    Returns:
      Exit status: 1 if a figure is outside its regression bounds.
    """
    parser = argparse.ArgumentParser(prog='benchmarks', description=__doc__)
    parser.add_argument('names', nargs='*', choices=[*BENCHMARKS, []])
    parser.add_argument(
        '--quick', action='store_true', help='short runs, to try things out'
    )
    args = parser.parse_args()
    violations = 0
    for name in args.names or BENCHMARKS:
        module = importlib.import_module(f'benchmarks.{name}')
        report: Report = module.measure(args.quick)
        report.write()
        for figure in report.figures:
            mark = '' if figure.is_within_bounds else '  BEYOND ITS BOUND'
            print(f'{figure.name}: {figure.value:.4g} {figure.unit}{mark}')
        violations += len(report.list_violations())
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
