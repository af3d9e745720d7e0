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
"""Each is a module here with `measure(quick: bool) -> Report`."""


def main() -> int:
    """Runs what is named, or everything."""
    parser = argparse.ArgumentParser(prog='benchmarks', description=__doc__)
    parser.add_argument('names', nargs='*', choices=[*BENCHMARKS, []])
    parser.add_argument(
        '--quick', action='store_true', help='short runs, to try things out'
    )
    args = parser.parse_args()
    broken = 0
    for name in args.names or BENCHMARKS:
        module = importlib.import_module(f'benchmarks.{name}')
        report: Report = module.measure(args.quick)
        report.write()
        for figure in report.figures:
            mark = '' if figure.is_kept else '  BEYOND ITS BOUND'
            print(f'{figure.name}: {figure.value:.4g} {figure.unit}{mark}')
        broken += len(report.list_broken())
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
