"""Entry point of the soak: parses arguments, plays, checks and reports."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import shutil
import tempfile

from lentilmount.context import Environment
from lentilmount.status import ExitStatus
from soak.checks import check, make_record
from soak.definition import make_parser
from soak.events import read_events
from soak.plan import Plan, Size, make_plan
from soak.report import format_report
from soak.site import play


def main(args: list[str], env: Environment | None = None) -> ExitStatus:
    """Plays the plan of a seed.

    Args:
      args: Command-line arguments, without the program name.
      env: Standard streams and variables; by default those of the process.

    Returns:
      The exit status of the process: ERROR if a promise was broken.
    """
    env = env or Environment()
    try:
        return _run(make_parser().parse_args(args), env)
    except SystemExit as end:
        return ExitStatus(int(end.code or 0))
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED


def _run(options: argparse.Namespace, env: Environment) -> ExitStatus:
    size = Size(
        options.seconds,
        options.daemons,
        options.workers,
        options.faults_per_second,
    )
    plan = make_plan(options.seed, size).omit(options.omit)
    print(plan.encode(), file=env.stdout, flush=True)
    folder = options.folder or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    status = _play(plan, options.code.resolve(), folder, env)
    if status is ExitStatus.OK and options.folder is None:
        shutil.rmtree(folder)
    return status


def _play(
    plan: Plan, code: pathlib.Path, folder: pathlib.Path, env: Environment
) -> ExitStatus:
    (folder / 'plan.jsonl').write_text(plan.encode(), 'utf-8')
    calls = asyncio.run(play(plan, code, folder))
    files = set(folder.glob('*.jsonl')) - {folder / 'plan.jsonl'}
    record = make_record(read_events(sorted(files)), plan.jobs)
    violations = check(record)
    report = format_report(plan, folder, record, calls, violations)
    (folder / 'report.txt').write_text(f'{report}\n', 'utf-8')
    print(report, file=env.stdout)
    return ExitStatus.ERROR if violations else ExitStatus.OK
