"""Tests of the summary of the jobs of each queue, built from log lines."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from lentilmount.status import ExitStatus
from tests.test_diagnostic_logs import run_tool

LATE, EARLY, OPEN, OTHER = 'a' * 16, 'b' * 16, 'c' * 16, 'd' * 16


def make_line(second: float, message: str, **fields: Any) -> str:
    """Returns a log line in the format of the daemons."""
    stamp = f'2031-05-06T07:08:{second:09.6f}'
    return json.dumps({'time': stamp, 'message': message, **fields})


def write_logs(folder: pathlib.Path) -> list[str]:
    """Writes the logs of an accepting daemon and of an owner daemon."""
    accepting_lines = [
        make_line(1, 'Accepted.', job=LATE, queue='checks'),
        make_line(1, 'Accepted.', job=EARLY, queue='checks'),
        make_line(2, 'Accepted.', job=OPEN, queue='nightly'),
        make_line(3, 'Refused: the table does not answer.', kind='no-store'),
    ]
    owner_lines = [
        'Traceback (most recent call last):',
        make_line(
            1.1,
            'Starting.',
            starts=[[f'{OTHER}.0.0.0', 1, 'w'], [f'{EARLY}.0.0.0', 1, 'w']],
        ),
        make_line(4, 'Starting.', task=f'{LATE}.0.0.0', run=1),
        make_line(5, 'Starting.', starts=[[f'{LATE}.0.0.1', 1, 'w']]),
        make_line(6, 'Stopping: it stands still.', task=f'{LATE}.0.0.1'),
        make_line(6, 'Ended: stopped.', task=f'{LATE}.0.0.1'),
        make_line(7, 'Ended: lapsed.', task=f'{LATE}.0.0.0'),
        make_line(7, 'Stopping.', ready=False),
        *(
            make_line(9, 'Job is completed.', job=job, queue='checks', **fields)
            for job, fields in (
                (EARLY, {'took': 1.5, 'objective': 2.0}),
                (LATE, {'took': 8.0, 'objective': 2.0}),
                (LATE, {'took': 8.0, 'objective': 2.0}),
            )
        ),
    ]
    names = []
    for name, lines in (('front', accepting_lines), ('owner', owner_lines)):
        path = folder / f'{name}.log'
        path.write_text('\n'.join(lines), 'utf-8')
        names.append(str(path))
    return names


def test_report_shows_late_jobs_by_queue(tmp_path: pathlib.Path) -> None:
    """Guards against a report that hides which queue was late, and why."""
    status, out, _ = run_tool(
        'report', *write_logs(tmp_path), '--output', 'json'
    )
    assert status is ExitStatus.OK
    unknown, checks, nightly = json.loads(out)
    assert unknown['refused'] == {'no-store': 1}
    assert checks['accepted'] == 2
    assert checks['ended'] == {'completed': 2, 'late': 1}
    assert checks['first_start_p50'] == pytest.approx(1.55)
    assert checks['stopped'] == {'it stands still': 1}
    assert checks['ended_badly'] == {'lapsed': 1}
    assert (checks['open'], nightly['open']) == (0, 1)
    assert nightly['first_start_p50'] is None


def test_the_table_has_a_row_for_each_queue(tmp_path: pathlib.Path) -> None:
    status, out, _ = run_tool('report', *write_logs(tmp_path))
    assert status is ExitStatus.OK
    rows = [line.split()[0] for line in out.splitlines()]
    assert rows == ['QUEUE', '-', 'checks', 'nightly']


def test_files_without_jobs_are_an_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'empty.log'
    path.write_text('nothing here', 'utf-8')
    status, _, errors = run_tool('report', str(path))
    assert status is not ExitStatus.OK
    assert 'no line tells of a job' in errors
