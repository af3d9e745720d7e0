"""Diagnosis from logs and metrics: from a job id to the cause of a failure."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import pathlib
import signal

import logbook
import pytest

from lentilmount.context import Environment
from lentilmount.control.placement_log import log_starts
from lentilmount.core import main
from lentilmount.logflow import (
    BACKLOG_BYTES,
    MAX_LINES_PER_SECOND,
    NonBlockingHandler,
)
from lentilmount.status import ExitStatus
from stand_ins.rowstore import Fault
from tests.helpers import run
from tests.platform_fixtures import Daemon, open_platform

JOB = '0123456789abcdef'


def write_logs(folder: pathlib.Path, *daemons: Daemon) -> list[str]:
    """Writes the log lines of daemons to one file each."""
    names = []
    for number, daemon in enumerate(daemons):
        path = folder / f'host-{number}.log'
        path.write_text('\n'.join(map(json.dumps, daemon.lines)), 'utf-8')
        names.append(str(path))
    return names


async def trace(*args: str) -> str:
    """Runs the tool's trace command in a thread; returns its output."""
    status, out, _ = await asyncio.to_thread(run_tool, 'trace', *args)
    assert status is ExitStatus.OK
    return out


def run_tool(*args: str) -> tuple[ExitStatus, str, str]:
    """Runs the tool; returns its status, output and errors."""
    env = Environment(io.StringIO(), io.StringIO(), io.StringIO(), {})
    status = main(list(args), env)
    assert isinstance(env.stdout, io.StringIO)
    assert isinstance(env.stderr, io.StringIO)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_a_refused_request_is_explained(tmp_path: pathlib.Path) -> None:
    """A client is refused while the store rejects calls."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            platform.store.fault = Fault.REFUSE
            assert (await platform.submit(daemon, JOB)).code == 503
            files = write_logs(tmp_path, daemon)
            out = await trace(JOB, *files)
            assert 'frontend: Refused' in out
            assert 'kind=store-unavailable' in out

    run(scenario())


def test_a_late_job_is_explained(tmp_path: pathlib.Path) -> None:
    """A trace did not show why a job was late."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            first = await platform.start('host-1')
            await platform.submit(first, 'f' * 16)
            await platform.wait_for_state(first, 'f' * 16, 'completed')
            second = await platform.start('host-2')
            first.process.send_signal(signal.SIGKILL)
            await first.process.wait()
            await platform.submit(second, JOB)
            await platform.wait_for_state(second, JOB, 'completed')
            files = write_logs(tmp_path, first, second)
            out = await trace(JOB, *files)
            lines = out.splitlines()
            assert 'host-1 info submissions: Accepted.' in lines[0]
            assert any('host-1 info owner: Starting.' in x for x in lines)
            taken = second.select(part='campaign', epoch=2)
            assert taken
            started = second.select(part='owner', message='Starting.')
            assert taken[0]['time'] < started[0]['time']

    run(scenario())


def test_all_starts_of_a_busy_owner_can_be_traced(
    tmp_path: pathlib.Path,
) -> None:
    """Most starts of a busy owner were missing from its log."""
    path = tmp_path / 'owner.log'
    starts = [(f'{n:016x}.0.0.{n}', 1, f'w-{n}') for n in range(700)]
    with (
        open(path, 'wb', buffering=0) as file,
        NonBlockingHandler(file.fileno(), 'info').applicationbound(),
    ):
        log_starts(starts)
    for n in (0, 99, 100, 699):
        _, out, _ = run_tool('trace', f'{n:016x}', str(path))
        assert len(out.splitlines()) == 1
        assert f"w-{n}'" in out
        assert out.count('w-') == 1


def test_the_placements_of_a_task_are_listed(tmp_path: pathlib.Path) -> None:
    """A trace did not tell why a task was placed again."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.failing_payloads.add('bad')
            daemon = await platform.start()
            await platform.submit(daemon, JOB, 'bad')
            await platform.wait_for_state(daemon, JOB, 'failed')
            files = write_logs(tmp_path, daemon)
            out = await trace(f'{JOB}.0.0.0', *files)
            lines = out[out.index('Placements of') :].splitlines()[1:]
            assert len(lines) == 2
            for run_number, line in enumerate(lines, 1):
                assert f' host-0 run {run_number} on i-' in line
                assert 'ended' in line
                assert 'failed' in line
                assert 'had not ended' not in line
            out = await trace(JOB, *files)
            assert f'Placements of {JOB}.0.0.0:' in out

    run(scenario())


def write_lines(
    path: pathlib.Path, *lines: tuple[str, dict[str, object]]
) -> str:
    """Writes log lines a second apart; returns the file's name."""
    path.write_text(
        '\n'.join(
            json.dumps(
                {
                    'time': f'2026-01-01T00:00:{number:02}',
                    'level': 'info',
                    'part': 'owner',
                    'message': message,
                    **fields,
                }
            )
            for number, (message, fields) in enumerate(lines)
        ),
        'utf-8',
    )
    return str(path)


def list_placements(*args: str) -> list[str]:
    """Runs the trace of a task; returns its placements as they are shown."""
    status, out, _ = run_tool('trace', *args)
    assert status is ExitStatus.OK
    return out[out.index('Placements of') :].splitlines()[1:]


def test_overlapping_placements_are_shown(tmp_path: pathlib.Path) -> None:
    """Two runs of a task at once had to be found among thousands of starts."""
    task, other = f'{JOB}.0.0.1', f'{JOB}.0.0.10'
    name = write_lines(
        tmp_path / 'host-1.log',
        ('Starting.', {'starts': [[other, 1, 'w-9'], [task, 1, 'w-1']]}),
        ('Starts settled.', {'settled': [[task, 1, 'w-1', 'done', 2, 0.4]]}),
        ('Starting.', {'starts': [[task, 2, 'w-2']]}),
        (
            'Placements changed.',
            {
                'changes': [
                    [task, 2, 'w-2', 'freed', 'done', 'running'],
                    [other, 1, 'w-9', 'freed', 'done', 'running'],
                    [task, 1, 'w-1', 'other-end', 'done', 'done'],
                ]
            },
        ),
    )
    assert list_placements(task, name) == [
        '  2026-01-01T00:00:00 host-1 run 1 on w-1: started; start done:'
        ' 2 copies in 0.4 s; other-end: done (done); no end in these logs',
        '  2026-01-01T00:00:02 host-1 run 2 on w-2: started;'
        ' while run 1 on w-1 had not ended;'
        ' ended 2026-01-01T00:00:03 freed: done (running)',
    ]
    assert 'w-9' not in run_tool('trace', task, name)[1]


def test_placements_are_followed_to_the_next_owner(
    tmp_path: pathlib.Path,
) -> None:
    """A placement that a new owner had restored seemed to be a second one."""
    task = f'{JOB}.0.0.0'
    name = write_lines(
        tmp_path / 'host-2.log',
        ('Restored 1 placements.', {'restored': [[task, 3, 'w-1']]}),
        (
            'Its 1 tasks ended: it restarted.',
            {'tasks': [task], 'worker': 'w-1'},
        ),
        (
            'Placements changed.',
            {
                'changes': [
                    [task, 3, 'w-1', 'freed', 'restarted', 'running'],
                    [task, 4, 'w-2', 'adopted', 'listed', 'waiting'],
                ]
            },
        ),
        (
            'Stopping: it stands still.',
            {'task': task, 'run': 4, 'worker': 'w-2'},
        ),
    )
    lines = list_placements(task, name)
    assert 'run 3 on w-1: restored from its row; ended' in lines[0]
    assert 'it restarted, freed: restarted (running)' in lines[0]
    assert 'run 4 on w-2: adopted: listed (waiting)' in lines[1]
    assert 'Stopping: it stands still; no end' in lines[1]
    assert 'had not ended' not in ''.join(lines)


def test_lines_of_earlier_versions_show_placements(
    tmp_path: pathlib.Path,
) -> None:
    """The logs of an incident are of the version that ran then."""
    ids = {'task': f'{JOB}.0.0.0', 'worker': 'w-1'}
    name = write_lines(
        tmp_path / 'host-1.log',
        ('Starting.', {**ids, 'run': 1}),
        ('Ended: failed.', {**ids, 'run': 1}),
        ('Starting.', {**ids, 'run': 2}),
    )
    lines = list_placements(ids['task'], name)
    assert 'run 1 on w-1: started; ended' in lines[0]
    assert lines[0].endswith('Ended: failed')
    assert lines[1].endswith('run 2 on w-1: started; no end in these logs')


def test_a_trace_tells_of_lines_that_were_left_out(
    tmp_path: pathlib.Path,
) -> None:
    """A line that was left out seemed to prove that nothing had happened."""
    name = write_lines(
        tmp_path / 'host-1.log',
        ('Left out 7 lines.', {'of': 'owner: Starting.'}),
        ('Starting.', {'starts': [[f'{JOB}.0.0.0', 1, 'w']]}),
        ('Reached.', {'dropped_before': 5}),
    )
    status, _, errors = run_tool('trace', JOB, name)
    assert status is ExitStatus.OK
    assert errors == f'{name}: 12 lines left out\n'


def test_a_failed_job_is_explained(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.failing_payloads.add('bad')
            daemon = await platform.start()
            await platform.submit(daemon, JOB, 'bad')
            await platform.wait_for_state(daemon, JOB, 'failed')
            files = write_logs(tmp_path, daemon)
            out = await trace(JOB, *files)
            ends = [x for x in out.splitlines() if 'Ended: failed.' in x]
            assert len(ends) == 2
            assert 'worker=i-0' in ends[0] + ends[1]
            assert 'worker=i-1' in ends[0] + ends[1]

    run(scenario())


def test_an_id_without_log_lines(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'log'
    path.write_text('Traceback\n{"message": "x"}\n{broken\n', 'utf-8')
    status, _, error = run_tool('trace', JOB, str(path))
    assert status is ExitStatus.NOT_FOUND
    assert JOB in error
    status, _, error = run_tool('trace', JOB, str(tmp_path / 'none'))
    assert status is ExitStatus.INVALID


def test_metrics_are_served(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            await platform.submit(daemon, JOB)
            await platform.wait_for_state(daemon, JOB, 'completed')
            address = daemon.get_address('metrics')
            answer = await platform.client.fetch(f'http://{address}/metrics')
            text = answer.body.decode()
            assert 'lentilmount_requests_total{' in text
            assert 'lentilmount_first_start_seconds_bucket' in text
            assert 'lentilmount_ends_total{how="done"} 1' in text
            assert 'lentilmount_store_calls_total{status="200"}' in text

    run(scenario())


def test_the_deploy_file_is_valid() -> None:
    status, out, _ = run_tool('check', 'deploy/system.toml')
    assert status is ExitStatus.OK
    assert 'valid' in out


def test_the_example_of_policies_is_valid() -> None:
    status, out, _ = run_tool('check', 'examples/policies.json')
    assert status is ExitStatus.OK
    assert 'valid' in out


@pytest.mark.parametrize(
    ('name', 'text', 'named'),
    [
        ('x.toml', 'build = 1\n[roles.a]\nrun = ""\n', 'roles.a.run'),
        ('x.toml', 'build = "x"\n', 'roles'),
        ('x.toml', '= 1', 'TOML'),
        ('x.yaml', 'zone: [', 'YAML'),
        ('x.yaml', 'zone: north', 'platform.address'),
        ('x.json', '{"admission": {"weights": 1}}', 'admission.weights'),
        ('x.json', '{"admissions": {}}', 'admissions'),
    ],
)
def test_wrong_files_name_their_fields(
    tmp_path: pathlib.Path, name: str, text: str, named: str
) -> None:
    path = tmp_path / name
    path.write_text(text, 'utf-8')
    status, _, error = run_tool('check', str(path))
    assert status is ExitStatus.INVALID
    assert named in error


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Reads what is in a pipe."""
    os.set_blocking(descriptor, False)
    data = os.read(descriptor, 1_000_000)
    return [json.loads(line) for line in data.splitlines()]


def test_repeated_log_lines_are_limited() -> None:
    """A fault that recurred thousands of times a second flooded the log."""
    reader, writer = os.pipe()
    now = [10.0]
    log = logbook.Logger('part')
    with NonBlockingHandler(writer, 'info', lambda: now[0]):
        for number in range(MAX_LINES_PER_SECOND + 50):
            log.info('Again {}.', number)
        log.info('Something else.')
        now[0] = 11.0
        log.info('Later.')
    lines = read_lines(reader)
    messages = [line['message'] for line in lines]
    assert messages.count('Something else.') == 1
    assert (
        len([m for m in messages if 'Again' in str(m)]) == MAX_LINES_PER_SECOND
    )
    assert 'Left out 50 lines.' in messages
    os.close(reader)
    os.close(writer)


def test_a_full_pipe_does_not_hide_that_lines_were_left_out() -> None:
    """The line that counts what was left out was itself dropped."""
    reader, writer = os.pipe()
    now = [0.0]
    log = logbook.Logger('part')
    with NonBlockingHandler(writer, 'info', lambda: now[0]) as handler:
        for _ in range(MAX_LINES_PER_SECOND + 50):
            log.info('x' * 3000)
        now[0] = 1.0
        # Too large for what is left of the backlog, as is the count.
        while handler._backlog:
            handler._backlog += b'\n'
            if len(handler._backlog) >= BACKLOG_BYTES:
                break
        log.info('Dropped.')
        while handler._backlog:
            os.read(reader, 1_000_000)
            handler._flush()
        os.set_blocking(reader, False)
        with contextlib.suppress(BlockingIOError):
            while os.read(reader, 1_000_000):
                pass
        now[0] = 2.0
        log.info('Later.')
    messages = [line['message'] for line in read_lines(reader)]
    assert messages == ['Left out 50 lines.', 'Later.']
    os.close(reader)
    os.close(writer)


def test_a_full_pipe_does_not_block() -> None:
    """A daemon blocked when nobody read its output."""
    reader, writer = os.pipe()
    now = [0.0]
    log = logbook.Logger('part')
    handler = NonBlockingHandler(writer, 'info', lambda: now[0])
    with handler:
        for number in range(3000):
            now[0] = number / 10
            log.info('x' * 1000)
        assert handler.dropped > 0
        data = b''
        while handler.dropped:
            data += os.read(reader, 1_000_000)
            log.info('Back.')
        data += os.read(reader, 1_000_000)
    whole = data.split(b'\n')[:-1]
    dropped_counts = [
        json.loads(line).get('dropped_before', 0) for line in whole
    ]
    assert sum(dropped_counts) + len(whole) >= 3000
    os.close(reader)
    os.close(writer)
