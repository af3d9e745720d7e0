"""Definition of the options, and the argument parser."""

from __future__ import annotations

import argparse
import pathlib

from soak.plan import DEFAULT_FAULTS_PER_SECOND, FaultKind
from soak.work import WorkKind

CODE = pathlib.Path(__file__).resolve().parent.parent
"""The checkout that this module belongs to."""


def make_parser() -> argparse.ArgumentParser:
    """Builds the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='soak',
        description='Plays faults on real processes and checks what ran.',
    )
    parser.add_argument('--seed', type=int, default=1, help='seed of the plan')
    parser.add_argument(
        '--seconds',
        type=float,
        default=30.0,
        help='time in which jobs are submitted and faults happen (default: 30)',
    )
    parser.add_argument(
        '--daemons', type=int, default=4, help='number of daemons (default: 4)'
    )
    parser.add_argument(
        '--workers',
        type=int,
        default=10,
        help='number of workers (default: 10)',
    )
    parser.add_argument(
        '--faults-per-second',
        type=float,
        default=DEFAULT_FAULTS_PER_SECOND,
        help='mean number of faults per second (default: 5)',
    )
    parser.add_argument(
        '--omit',
        choices=[kind.value for kind in (*FaultKind, *WorkKind)],
        action='append',
        default=[],
        metavar='KIND',
        help='leave out a kind of faults, or the jobs with a kind of work; '
        'may be given several times',
    )
    parser.add_argument(
        '--code',
        type=pathlib.Path,
        default=CODE,
        metavar='DIR',
        help='checkout whose daemons are started (default: this one)',
    )
    parser.add_argument(
        '--folder',
        type=pathlib.Path,
        metavar='DIR',
        help='folder for logs and records (default: a temporary one, kept only '
        'if a promise was broken)',
    )
    return parser
