"""End-to-end tests: real daemons on stand-ins of the platform."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import signal

from stand_ins.rowstore import Fault
from tests.helpers import run
from tests.platform_fixtures import PREFIX, make_configuration, open_platform

FIRST = '0123456789abcdef'
SECOND = 'fedcba9876543210'


def test_a_job_is_completed_once(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            for _ in range(2):
                answer = await platform.submit(daemon, FIRST, count=3)
                assert answer.code == 200
            await platform.wait_for_state(daemon, FIRST, 'completed')
            assert (await platform.submit(daemon, FIRST, count=3)).code == 200
            started = [task for task, _, _ in platform.fleet.list_starts()]
            assert sorted(started) == [f'{FIRST}.0.0.{n}' for n in range(3)]
            answer = await platform.call(daemon, 'GET', PREFIX)
            assert answer.body == b'{"pending":0}'

    run(scenario())


def test_a_job_that_fails_is_failed_after_its_attempts(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.failing_payloads.add('bad')
            daemon = await platform.start()
            await platform.submit(daemon, FIRST, 'bad')
            await platform.wait_for_state(daemon, FIRST, 'failed')
            assert len(platform.fleet.list_starts()) == 2

    run(scenario())


def test_a_cancelled_job_is_stopped(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
            daemon = await platform.start()
            await platform.submit(daemon, FIRST, 'long', longRunning=True)
            await platform.wait_for_state(daemon, FIRST, 'running')
            answer = await platform.call(daemon, 'DELETE', PREFIX + FIRST)
            assert answer.code == 200
            await platform.wait_for_state(daemon, FIRST, 'cancelled')

            async def is_stopped() -> bool:
                return not any(w.running for w in platform.fleet.workers)

            await platform.wait_for(is_stopped)

    run(scenario())


def test_unknown_jobs_and_queues(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            assert await platform.get_state(daemon, FIRST) == '410'
            answer = await platform.call(daemon, 'DELETE', PREFIX + FIRST)
            assert answer.code == 410
            answer = await platform.call(daemon, 'GET', '/nothing/' + FIRST)
            assert answer.code == 404
            answer = await platform.call(daemon, 'POST', PREFIX + FIRST, {})
            assert answer.code == 400
            assert b'steps' in answer.body

    run(scenario())


def test_a_new_configuration_is_in_force(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            row = ('op', '', 'config')
            platform.store.write(row, make_configuration(2, '/other/'))

            async def is_in_force() -> bool:
                answer = await platform.call(daemon, 'GET', '/other/')
                return answer.code == 200

            await platform.wait_for(is_in_force)
            answer = await platform.call(daemon, 'GET', PREFIX)
            assert answer.code == 404

    run(scenario())


def test_a_killed_owner_is_replaced_and_its_tasks_continue(
    tmp_path: pathlib.Path,
) -> None:
    """The next owner started a task again that a lost owner had started."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
            first = await platform.start('host-1')
            await platform.submit(first, FIRST, 'long', longRunning=True)
            await platform.wait_for_state(first, FIRST, 'running')

            async def is_started() -> bool:
                return bool(platform.fleet.list_starts())

            await platform.wait_for(is_started)
            second = await platform.start('host-2')
            first.process.send_signal(signal.SIGKILL)
            await first.process.wait()
            await platform.submit(second, SECOND)
            await platform.wait_for_state(second, SECOND, 'completed')
            starts = collections.Counter(
                task for task, _, _ in platform.fleet.list_starts()
            )
            assert starts == {f'{FIRST}.0.0.0': 1, f'{SECOND}.0.0.0': 1}

    run(scenario())


def test_a_planned_stop_hands_the_service_over(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            first = await platform.start('host-1')
            await platform.submit(first, FIRST)
            await platform.wait_for_state(first, FIRST, 'completed')
            second = await platform.start('host-2')
            first.process.send_signal(signal.SIGTERM)
            await platform.submit(second, SECOND)
            await platform.wait_for_state(second, SECOND, 'completed')
            assert await first.process.wait() == 0
            messages = [line['message'] for line in first.lines]
            assert 'Released: desk.' in messages

    run(scenario())


def test_a_refused_job_never_runs(tmp_path: pathlib.Path) -> None:
    """A job that was reported as refused ran later."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            platform.store.fault = Fault.REFUSE
            answer = await platform.submit(daemon, FIRST)
            assert answer.code == 503
            assert int(answer.headers['Retry-After']) >= 1
            assert answer.headers['Lentilmount-Ran'] == 'no'
            platform.store.fault = Fault.NONE

            async def is_accepted() -> bool:
                return (await platform.submit(daemon, SECOND)).code == 200

            await platform.wait_for(is_accepted)
            await platform.wait_for_state(daemon, SECOND, 'completed')
            assert await platform.get_state(daemon, FIRST) == '410'
            await asyncio.sleep(0)

    run(scenario())


def test_an_answer_lost_by_the_store_is_reported_as_unknown(
    tmp_path: pathlib.Path,
) -> None:
    """A job whose answer was lost was reported as refused, or ran twice."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            platform.store.fault = Fault.LOST_SUBMISSION
            answer = await platform.submit(daemon, FIRST)
            assert answer.code == 504
            assert answer.headers['Lentilmount-Ran'] == 'unknown'
            platform.store.fault = Fault.NONE

            async def is_accepted() -> bool:
                return (await platform.submit(daemon, FIRST)).code == 200

            await platform.wait_for(is_accepted)
            await platform.wait_for_state(daemon, FIRST, 'completed')
            assert len(platform.fleet.list_starts()) == 1

    run(scenario())
