"""The whole path on the platform: real daemons, stand-ins for the rest."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import signal

from stand_ins.rowstore import Fault
from tests.helpers import run
from tests.platform_scene import PREFIX, make_configuration, open_scene

FIRST = '0123456789abcdef'
SECOND = 'fedcba9876543210'


def test_a_job_is_completed_once(tmp_path: pathlib.Path) -> None:
    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            daemon = await scene.start()
            for _ in range(2):
                answer = await scene.submit(daemon, FIRST, count=3)
                assert answer.code == 200
            await scene.wait_for_state(daemon, FIRST, 'completed')
            assert (await scene.submit(daemon, FIRST, count=3)).code == 200
            started = [task for task, _, _ in scene.fleet.list_starts()]
            assert sorted(started) == [f'{FIRST}.0.0.{n}' for n in range(3)]
            answer = await scene.call(daemon, 'GET', PREFIX)
            assert answer.body == b'{"pending":0}'

    run(play())


def test_a_job_that_fails_is_failed_after_its_attempts(
    tmp_path: pathlib.Path,
) -> None:
    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            for worker in scene.fleet.workers:
                worker.fails.add('bad')
            daemon = await scene.start()
            await scene.submit(daemon, FIRST, 'bad')
            await scene.wait_for_state(daemon, FIRST, 'failed')
            assert len(scene.fleet.list_starts()) == 2

    run(play())


def test_a_cancelled_job_is_stopped(tmp_path: pathlib.Path) -> None:
    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            for worker in scene.fleet.workers:
                worker.lasts.add('long')
            daemon = await scene.start()
            await scene.submit(daemon, FIRST, 'long', longRunning=True)
            await scene.wait_for_state(daemon, FIRST, 'running')
            answer = await scene.call(daemon, 'DELETE', PREFIX + FIRST)
            assert answer.code == 200
            await scene.wait_for_state(daemon, FIRST, 'cancelled')

            async def is_stopped() -> bool:
                return not any(w.running for w in scene.fleet.workers)

            await scene.wait_for(is_stopped)

    run(play())


def test_unknown_jobs_and_queues(tmp_path: pathlib.Path) -> None:
    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            daemon = await scene.start()
            assert await scene.get_state(daemon, FIRST) == '410'
            answer = await scene.call(daemon, 'DELETE', PREFIX + FIRST)
            assert answer.code == 410
            answer = await scene.call(daemon, 'GET', '/nothing/' + FIRST)
            assert answer.code == 404
            answer = await scene.call(daemon, 'POST', PREFIX + FIRST, {})
            assert answer.code == 400
            assert b'steps' in answer.body

    run(play())


def test_a_new_configuration_is_in_force(tmp_path: pathlib.Path) -> None:
    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            daemon = await scene.start()
            row = ('op', '', 'config')
            scene.store.write(row, make_configuration(2, '/other/'))

            async def is_in_force() -> bool:
                answer = await scene.call(daemon, 'GET', '/other/')
                return answer.code == 200

            await scene.wait_for(is_in_force)
            answer = await scene.call(daemon, 'GET', PREFIX)
            assert answer.code == 404

    run(play())


def test_a_killed_owner_is_replaced_and_its_tasks_go_on(
    tmp_path: pathlib.Path,
) -> None:
    """A task that runs under a lost owner was started again by the next."""

    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            for worker in scene.fleet.workers:
                worker.lasts.add('long')
            first = await scene.start('host-1')
            await scene.submit(first, FIRST, 'long', longRunning=True)
            await scene.wait_for_state(first, FIRST, 'running')

            async def is_started() -> bool:
                return bool(scene.fleet.list_starts())

            await scene.wait_for(is_started)
            second = await scene.start('host-2')
            first.process.send_signal(signal.SIGKILL)
            await first.process.wait()
            await scene.submit(second, SECOND)
            await scene.wait_for_state(second, SECOND, 'completed')
            starts = collections.Counter(
                task for task, _, _ in scene.fleet.list_starts()
            )
            assert starts == {f'{FIRST}.0.0.0': 1, f'{SECOND}.0.0.0': 1}

    run(play())


def test_a_planned_stop_hands_the_service_over(
    tmp_path: pathlib.Path,
) -> None:
    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            first = await scene.start('host-1')
            await scene.submit(first, FIRST)
            await scene.wait_for_state(first, FIRST, 'completed')
            second = await scene.start('host-2')
            first.process.send_signal(signal.SIGTERM)
            await scene.submit(second, SECOND)
            await scene.wait_for_state(second, SECOND, 'completed')
            assert await first.process.wait() == 0
            messages = [line['message'] for line in first.lines]
            assert 'Released: desk.' in messages

    run(play())


def test_a_refused_job_never_runs(tmp_path: pathlib.Path) -> None:
    """A job that was told as refused ran later."""

    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            daemon = await scene.start()
            scene.store.fault = Fault.REFUSE
            answer = await scene.submit(daemon, FIRST)
            assert answer.code == 503
            assert int(answer.headers['Retry-After']) >= 1
            assert answer.headers['Lentilmount-Ran'] == 'no'
            scene.store.fault = Fault.NONE

            async def is_accepted() -> bool:
                return (await scene.submit(daemon, SECOND)).code == 200

            await scene.wait_for(is_accepted)
            await scene.wait_for_state(daemon, SECOND, 'completed')
            assert await scene.get_state(daemon, FIRST) == '410'
            await asyncio.sleep(0)

    run(play())


def test_an_answer_lost_by_the_store_is_told_as_unknown(
    tmp_path: pathlib.Path,
) -> None:
    """A job whose answer was lost was told as refused, or ran twice."""

    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            daemon = await scene.start()
            scene.store.fault = Fault.LOST_SUBMISSION
            answer = await scene.submit(daemon, FIRST)
            assert answer.code == 504
            assert answer.headers['Lentilmount-Ran'] == 'unknown'
            scene.store.fault = Fault.NONE

            async def is_accepted() -> bool:
                return (await scene.submit(daemon, FIRST)).code == 200

            await scene.wait_for(is_accepted)
            await scene.wait_for_state(daemon, FIRST, 'completed')
            assert len(scene.fleet.list_starts()) == 1

    run(play())
