"""Tests of the summary of jobs by queue, size and zone, from log lines.

Load pattern: a burst fills the workers, so that the large jobs of a queue, or
the callers of one zone, are late or refused while the queue as a whole is not.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

import attrs
import pytest

from lentilmount.cli.report import GroupReport, build_reports
from lentilmount.cli.time_shares import TimeShares
from lentilmount.resources import Room
from lentilmount.status import ExitStatus
from stand_ins.rowstore import Fault
from tests.helpers import run
from tests.platform_fixtures import open_platform
from tests.scheduling_fixtures import make_job, make_step
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


Line = dict[str, Any]


def parse(*lines: str) -> list[Line]:
    """Returns the objects of log lines."""
    return [json.loads(line) for line in lines]


def accept(second: float, job: str, **fields: Any) -> str:
    """Returns the line of a job's acceptance."""
    return make_line(second, 'Accepted.', job=job, queue='checks', **fields)


def end(second: float, job: str, took: float, objective: float = 2.0) -> str:
    """Returns the line of a job's completion."""
    return make_line(
        second,
        'Job is completed.',
        **{'job': job, 'queue': 'checks'},
        **{'took': took, 'objective': objective},
    )


def refuse(second: float, job: str, **fields: Any) -> str:
    """Returns the line of a refused submission."""
    path = f'/checks/{job}'
    return make_line(
        second,
        'Refused: full.',
        path=path,
        method='POST',
        kind='full',
        **fields,
    )


def by_labels(reports: list[GroupReport]) -> dict[tuple[str, ...], GroupReport]:
    """Returns the reports by the values of their labels."""
    return {tuple(found.labels.values()): found for found in reports}


def list_sized_jobs() -> list[str]:
    """Lists lines of twenty jobs, of which only the two largest are late."""
    lines = []
    for number in range(20):
        job = f'{number:016x}'
        took = 9.0 if number >= 18 else 1.0
        lines.append(accept(1, job, core_seconds=10.0 + number))
        lines.append(end(20, job, took))
    return lines


def test_late_large_jobs_are_told_apart() -> None:
    """Guards against a queue that looks well while its large jobs are late."""
    reports = by_labels(build_reports(parse(*list_sized_jobs()), 'size'))
    assert {
        size: (found.accepted, found.ended['late'])
        for (_, size), found in reports.items()
    } == {'largest-tenth': (2, 2), 'next-fifth': (4, 0), 'rest': (14, 0)}


@pytest.mark.parametrize('declared', [{}, {'core_seconds': 0.0}])
def test_jobs_without_declared_work_are_sized_by_tasks(declared: Line) -> None:
    """Guards against sizes by job id where daemons log no size."""
    lines = []
    for number in range(10):
        job = f'{number:016x}'
        tasks = 5 if number == 3 else 1
        starts = [[f'{job}.0.0.{n}', 1, 'w'] for n in range(tasks)]
        lines.append(accept(1, job, **declared))
        lines.append(make_line(2, 'Starting.', starts=starts))
        lines.append(end(9, job, 8.0 if number == 3 else 1.0))
    reports = by_labels(build_reports(parse(*lines), 'size'))
    largest = reports['checks', 'largest-tenth']
    assert (largest.accepted, largest.ended['late']) == (1, 1)


def test_a_refused_job_that_returns_is_not_lost() -> None:
    """Guards against counting callers as lost who were served after a retry."""
    lines = parse(
        refuse(1, EARLY),
        refuse(2, EARLY),
        accept(3, EARLY, zone='a'),
        refuse(2, LATE, queue='checks', zone='b'),
        refuse(3, LATE, queue='checks', zone='b'),
    )
    (checks,) = build_reports(lines)
    assert checks.refused == {'full': 4}
    assert checks.make_document()['refused_submissions'] == {'full': 4}
    assert checks.make_row()[-1] == 'full 4'
    assert checks.refused_jobs == {LATE}
    assert checks.accepted == 1


def test_a_refused_question_loses_no_job() -> None:
    """Guards against taking repeated questions for refused jobs."""
    lines = parse(refuse(1, OPEN, queue='checks'), refuse(1, LATE))
    lines[0]['method'] = 'GET'
    checks = by_labels(build_reports(lines))['checks',]
    assert (checks.refused.total(), checks.refused_jobs) == (1, set())
    document = checks.make_document()
    assert document['refused'] == {'full': 1}
    assert document['refused_submissions'] == {}
    assert checks.make_row()[-1] == ''


def test_a_refusal_without_a_job_is_no_submission() -> None:
    """Guards against a lost job without an id."""
    line = make_line(1, 'Refused: no queue.', kind='not-found', path='/x')
    (unknown,) = build_reports(parse(line))
    assert unknown.refused == {'not-found': 1}
    assert unknown.refused_submissions.total() == 0
    assert unknown.refused_jobs == set()


def test_zones_are_those_of_the_daemons_that_callers_reached() -> None:
    """Guards against a report that hides that one zone's callers pay."""
    lines = parse(
        accept(1, EARLY, zone='a'),
        end(3, EARLY, 1.0),
        accept(1, LATE, zone='b'),
        end(9, LATE, 8.0),
        refuse(2, OPEN, queue='checks', zone='b'),
    )
    reports = by_labels(build_reports(lines, 'zone'))
    assert {
        labels: (found.ended['late'], found.refused.total())
        for labels, found in reports.items()
    } == {('a', 'checks'): (0, 0), ('b', 'checks'): (1, 1)}


def test_zones_of_earlier_logs_are_those_of_their_files(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against logs of the version before that name no zone."""
    names = []
    for zone, job in (('a', EARLY), ('b', LATE)):
        path = tmp_path / f'{zone}.log'
        started = make_line(0, 'Started.', zone=zone)
        path.write_text(f'{started}\n{accept(1, job)}', 'utf-8')
        names.append(str(path))
    status, out, _ = run_tool(
        'report', *names, '--by', 'zone', '--output', 'json'
    )
    assert status is ExitStatus.OK
    assert [found['zone'] for found in json.loads(out)] == ['a', 'b']


def list_late_job() -> list[str]:
    """Lists lines of a late job: its second step is stopped and run again."""
    first, second = f'{LATE}.0.0.0', f'{LATE}.0.1.0'

    def free(time: float, task: str, run: int, reason: str) -> str:
        change = [task, run, 'w', 'freed', reason, 'running']
        return make_line(time, 'Placements changed.', changes=[change])

    return [
        accept(10, LATE),
        make_line(12, 'Starting.', starts=[[first, 1, 'w']]),
        free(15, first, 1, 'done'),
        make_line(16, 'Starting.', starts=[[second, 1, 'w']]),
        free(18, second, 1, 'stopped'),
        make_line(18.5, 'Starting.', starts=[[second, 2, 'w']]),
        free(22, second, 2, 'done'),
        end(22, LATE, 12.0),
    ]


def test_the_time_of_a_late_job_is_divided() -> None:
    """Guards against blaming the wait where stopped runs made a job late."""
    (checks,) = build_reports(parse(*list_late_job()))
    assert checks.late_shares == [
        TimeShares(first_wait=2.0, later_wait=1.5, running=6.5, lost=2.0)
    ]
    assert checks.lost_run_seconds == pytest.approx(2.0)


def list_parallel_task(start: float) -> list[str]:
    """Lists lines of another task of the late job's second step."""
    task = f'{LATE}.0.1.1'
    change = [task, 1, 'w', 'freed', 'done', 'running']
    return [
        make_line(start, 'Starting.', starts=[[task, 1, 'w']]),
        make_line(22, 'Placements changed.', changes=[change]),
    ]


def test_time_with_a_useful_run_is_not_lost() -> None:
    """Guards against counting the time of parallel tasks twice."""
    lines = parse(*list_late_job(), *list_parallel_task(16))
    (checks,) = build_reports(lines)
    assert checks.late_shares == [
        TimeShares(first_wait=2.0, later_wait=1.0, partly=0.5, running=8.5)
    ]


def test_a_step_that_starts_by_degrees_is_told_apart() -> None:
    """Guards against taking a wait for places for the time of the work."""
    lines = parse(*list_late_job(), *list_parallel_task(20))
    (checks,) = build_reports(lines)
    (shares,) = checks.late_shares
    assert (shares.partly, shares.running) == (1.5, 5.0)
    assert (shares.first_wait, shares.later_wait) == (2.0, 1.5)
    assert shares.lost == 2.0


def test_a_run_without_an_end_lasts_until_that_of_its_job() -> None:
    """Guards against infinite times where a line of an end was left out."""
    start = make_line(12, 'Starting.', starts=[[f'{LATE}.0.0.0', 1, 'w']])
    lines = parse(accept(10, LATE), start, end(22, LATE, 12.0))
    (checks,) = build_reports(lines)
    assert checks.late_shares == [TimeShares(first_wait=2.0, running=10.0)]


def test_runs_that_end_with_their_job_are_not_lost() -> None:
    """Guards against counting long-running tasks as lost work."""
    cancelled = make_line(
        22, 'Job is cancelled.', job=LATE, queue='checks', took=12.0
    )
    (checks,) = build_reports(parse(*list_late_job()[:-1], cancelled))
    assert checks.ended == {'cancelled': 1}
    assert checks.lost_run_seconds == 0.0


def test_a_job_in_time_has_no_late_time() -> None:
    lines = [*list_late_job()[:-1], end(22, LATE, 12.0, objective=12.0)]
    (checks,) = build_reports(parse(*lines))
    assert (checks.ended['late'], checks.average_late_shares()) == (0, None)


def test_a_span_counts_what_arrived_in_it(tmp_path: pathlib.Path) -> None:
    """Guards against an hour's report that holds jobs of other hours."""
    lines = [
        accept(10, EARLY),
        accept(20, LATE),
        accept(30, OPEN),
        end(40, LATE, 20.0),
        refuse(5, OTHER, queue='checks'),
        refuse(25, OTHER, queue='checks'),
    ]
    path = tmp_path / 'host.log'
    path.write_text('\n'.join(lines), 'utf-8')
    _, out, _ = run_tool(
        *('report', str(path), '--output', 'json'),
        *('--since', '2031-05-06T07:08:20Z'),
        *('--until', '2031-05-06T07:08:30Z'),
    )
    (checks,) = json.loads(out)
    assert checks['accepted'] == 1
    assert checks['ended'] == {'completed': 1, 'late': 1}
    assert checks['refused'] == {'full': 1}


def test_lines_that_are_missing_are_told(tmp_path: pathlib.Path) -> None:
    """Guards against figures that look complete after lines were dropped."""
    path = tmp_path / 'host.log'
    left_out = make_line(1, 'Left out 7 lines.')
    path.write_text(f'{accept(1, EARLY)}\n{left_out}', 'utf-8')
    _, _, errors = run_tool('report', str(path))
    assert '7 lines left out' in errors


def test_the_size_of_a_job_is_its_declared_work() -> None:
    steps = (
        make_step(count=3, demand=Room(2.0, 1000), estimated_seconds=4.0),
        make_step(count=1, demand=Room(1.0, 1000), estimated_seconds=0.5),
    )
    job = make_job(EARLY, *steps)
    assert job.core_seconds == pytest.approx(24.5)
    assert attrs.evolve(job, occurrences=2).core_seconds == pytest.approx(49.0)


def test_daemons_log_what_the_report_needs(tmp_path: pathlib.Path) -> None:
    """Guards against log lines without the queue, the zone or the size."""

    async def scenario() -> list[Line]:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            assert (await platform.submit(daemon, EARLY)).code < 300
            await platform.wait_for_state(daemon, EARLY, 'completed')
            platform.store.fault = Fault.REFUSE
            assert (await platform.submit(daemon, LATE)).code == 503
            (accepted,) = daemon.select(message='Accepted.')
            assert 'core_seconds' in accepted
            return parse(*map(json.dumps, daemon.lines))

    lines = run(scenario())
    for line in lines:
        if line.get('message') == 'Started.':
            zone = line.pop('zone')
    (found,) = build_reports(lines, 'zone')
    assert found.labels['zone'] == zone
    assert found.accepted == 1
    assert found.refused.total() >= 1
    assert found.refused_jobs == {LATE}
