"""Tasks that crash each worker that starts them."""

from __future__ import annotations

import asyncio
import math
import pathlib

import pytest

from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.task_control import TaskController
from lentilmount.control.worker_commands import CommandSender
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.crashes import (
    MAX_CRASHES,
    STARTUP_SECONDS,
    TRIAL_CRASHES,
    is_given_up,
    is_on_trial,
)
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import JobState, Task, TaskPhase, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import PlatformFixture, open_platform
from tests.restart_fixtures import TIMEOUT_SECONDS, RestartScene, play
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_job,
    make_report,
    make_running,
    make_step,
    run_pass,
    run_task,
)
from tests.test_worker_session import IgnoringListener

CRASHING_JOB = 'c' * 16
JOBS = [f'{number:016x}' for number in range(1, 5)]
MAX_STARTS = 5
"""Starts allowed in all: two after the third crash."""

LEASE_SECONDS = 6.2


def count_crashes(platform: PlatformFixture) -> int:
    """Counts the crashes of all workers."""
    return sum(worker.crashes for worker in platform.fleet.workers)


@pytest.mark.parametrize('is_answered', [True, False])
def test_a_task_that_crashes_its_workers_is_given_up(
    tmp_path: pathlib.Path, is_answered: bool
) -> None:
    """A task that crashed each worker was started again without an end."""

    async def scenario() -> None:
        async with open_platform(tmp_path, workers=3) as platform:
            for worker in platform.fleet.workers:
                worker.crashing_payloads.add('crash')
                worker.answers_crashing = is_answered
            daemon = await platform.start()
            await platform.submit(daemon, CRASHING_JOB, 'crash')
            for job_id in JOBS:
                await platform.submit(daemon, job_id)
            await platform.wait_for_state(daemon, CRASHING_JOB, 'failed')
            for job_id in JOBS:
                await platform.wait_for_state(daemon, job_id, 'completed')
            assert count_crashes(platform) <= MAX_STARTS

    run(scenario())


def start_task(
    cluster: ClusterState, task: Task, worker: Worker, now: float
) -> None:
    """Starts a task on a worker that answers the start."""
    run_task(cluster, task, worker, now)
    task.start_sent_at = worker.last_answer_at = now


def crash(cluster: ClusterState, worker: Worker, now: float) -> None:
    """Ends the tasks of a worker that has certainly crashed."""
    cluster.end_worker_tasks(worker, now + LEASE_SECONDS)
    cluster.suspects.confirm_crash(worker)


def crash_in_turn(
    cluster: ClusterState, task: Task, count: int, now: float = 100.0
) -> None:
    """Starts a task on as many workers, each of which it crashes."""
    for number in range(count):
        worker = add_worker(cluster, f'crashed-{number}')
        start_task(cluster, task, worker, now)
        crash(cluster, worker, now)
        worker.reachable = False


def test_tasks_that_have_run_for_a_while_are_no_suspects() -> None:
    """All tasks on a crashed worker would be given up with the cause."""
    cluster = ClusterState()
    admit(cluster, make_job('job', make_step(count=2, lasting=True)))
    older, newer = (find_task(cluster, 'job', index=n) for n in range(2))
    worker = add_worker(cluster, 'w')
    start_task(cluster, older, worker, 100.0)
    start_task(cluster, newer, worker, 100.1 + STARTUP_SECONDS)
    crash(cluster, worker, 102.0)
    assert (older.crashed_runs, newer.crashed_runs) == (set(), {1})


@pytest.mark.parametrize('is_sent', [False, True])
def test_a_task_whose_start_was_not_answered_is_no_suspect(
    is_sent: bool,
) -> None:
    """A task placed on a worker that was already gone would be blamed."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    worker = add_worker(cluster, 'w')
    worker.last_answer_at = 100.0
    cluster.place([task], worker, 100.0)
    if is_sent:
        task.start_sent_at = 100.0
    crash(cluster, worker, 100.0)
    assert not task.crashed_runs


@pytest.mark.parametrize(
    'follows_answer, is_ended, seconds, crashed_runs',
    [
        (True, True, 0.0, {1}),
        (True, True, STARTUP_SECONDS + 0.1, set()),
        (True, False, 0.0, set()),
        (False, True, 0.0, set()),
    ],
)
def test_a_start_without_an_answer_counts_after_an_answered_probe(
    follows_answer: bool,
    is_ended: bool,
    seconds: float,
    crashed_runs: set[int],
) -> None:
    """A worker that was gone, cut off, or went on for a while would count."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    task.is_watched = True
    worker = add_worker(cluster, 'w')
    cluster.place([task], worker, 100.0)
    task.start_sent_at = 100.0
    task.start_follows_answer = follows_answer
    worker.last_answer_at = 100.0 + seconds
    cluster.end_worker_tasks(worker, 107.0)
    if is_ended:
        cluster.suspects.confirm_crash(worker)
    assert task.crashed_runs == crashed_runs
    assert task.is_watched


def test_a_task_sent_to_workers_that_are_gone_is_not_given_up() -> None:
    """A task met by chance as many lost workers as one that crashes them."""

    async def scenario(scene: RestartScene) -> None:
        client, task = scene.client, scene.task
        loop = asyncio.get_running_loop()
        for _ in range(MAX_CRASHES + 1):
            client.silent = True
            scene.commands.start(task)
            await asyncio.sleep(3 * TIMEOUT_SECONDS)
            client.restart()
            client.silent = False
            await scene.wait_until(lambda: task.id in scene.cluster.ready)
            assert not task.crashed_runs
            scene.cluster.place([task], scene.worker, loop.time())
        scene.commands.start(task)
        await scene.wait_until(lambda: task.phase is TaskPhase.RUNNING)
        assert [run for _, _, run in client.executed] == [task.run]

    play(scenario)


def test_a_probed_start_whose_worker_does_not_answer_is_not_sent() -> None:
    """A start would follow no answer, and tell nothing of its worker's end."""

    async def scenario(scene: RestartScene) -> None:
        client, task = scene.client, scene.task
        task.is_watched = True
        client.lost_commands = 1
        scene.commands.start(task)
        await asyncio.sleep(TIMEOUT_SECONDS)
        assert task.start_sent_at == math.inf
        await scene.wait_until(lambda: task.phase is TaskPhase.RUNNING)
        assert task.start_follows_answer

    play(scenario)


@pytest.mark.parametrize('lost_probes', [0, 1])
def test_a_probed_start_is_not_sent_to_the_next_incarnation(
    lost_probes: int,
) -> None:
    """A probe answered after a restart let a start follow the earlier one."""

    async def scenario(scene: RestartScene) -> None:
        client, task = scene.client, scene.task
        task.is_watched = True
        client.silent_polls = True
        client.lost_commands = lost_probes
        await asyncio.sleep(0.1)
        client.restart()
        scene.commands.start(task)
        await asyncio.sleep(3 * TIMEOUT_SECONDS)
        assert not client.executed
        client.silent_polls = False
        await scene.wait_until(lambda: task.id in scene.cluster.ready)

    play(scenario)


@pytest.mark.parametrize('is_replaced', [True, False])
def test_only_a_worker_that_has_ended_counts(is_replaced: bool) -> None:
    """A task on three workers that were cut off would be given up."""

    async def scenario(scene: RestartScene) -> None:
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        scene.client.silent = True
        await scene.wait_until(lambda: scene.task.id in scene.cluster.ready)
        assert not scene.task.crashed_runs
        scene.client.silent = False
        scene.client.is_replaced = is_replaced
        await asyncio.sleep(2 * TIMEOUT_SECONDS)
        assert scene.task.crashed_runs == ({1} if is_replaced else set())

    play(scenario)


def test_a_suspect_that_runs_for_a_while_is_cleared() -> None:
    """A task that met three unrelated crashes in its life would be given up."""
    cluster = ClusterState()
    admit(cluster, make_job('job', make_step(lasting=True)))
    task = find_task(cluster, 'job')
    crash_in_turn(cluster, task, MAX_CRASHES - 1)
    worker = add_worker(cluster, 'w')
    start_task(cluster, task, worker, 120.0)
    report = make_report(running=(make_running(task, task.run),))
    reconciler = Reconciler(cluster)
    early = 119.9 + STARTUP_SECONDS
    reconciler.reconcile(worker, report, early, early)
    assert task.crashed_runs
    late = 120.0 + STARTUP_SECONDS
    reconciler.reconcile(worker, report, late, late)
    assert not task.crashed_runs
    assert not find_task(hand_over(cluster), 'job').crashed_runs


@pytest.mark.parametrize('lasting', [False, True])
def test_crashes_are_counted_across_takeovers(lasting: bool) -> None:
    """A new owner would start a task of two crashes three times more."""
    cluster = ClusterState()
    admit(cluster, make_job('job', make_step(lasting=lasting)))
    task = find_task(cluster, 'job')
    crash_in_turn(cluster, task, MAX_CRASHES - 1)
    worker = add_worker(cluster, 'w')
    start_task(cluster, task, worker, 120.0)
    successor = hand_over(cluster)
    inherited = find_task(successor, 'job')
    assert is_on_trial(inherited)
    crash(successor, successor.workers['w'], 121.0)
    assert is_given_up(inherited)


def test_a_takeover_blames_no_tasks_of_its_own() -> None:
    """Tasks inherited on a worker that is cut off would become suspects."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    worker = add_worker(cluster, 'w')
    start_task(cluster, find_task(cluster, 'job'), worker, 120.0)
    successor = hand_over(cluster)
    crash(successor, successor.workers['w'], 121.0)
    assert not find_task(successor, 'job').crashed_runs


def test_no_task_is_started_beside_one_on_trial() -> None:
    """Tasks started beside the cause of a crash would be blamed with it."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    crash_in_turn(cluster, task, TRIAL_CRASHES)
    worker = add_worker(cluster, 'w')
    start_task(cluster, task, worker, 120.0)
    admit(cluster, make_job('other'))
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, 120.1) == []
    report = make_report(running=(make_running(task, task.run),))
    Reconciler(cluster).reconcile(worker, report, 122.0, 122.0)
    assert run_pass(placer, 122.1) == [(find_task(cluster, 'other'), worker)]


def test_a_task_on_trial_goes_where_fewest_tasks_run() -> None:
    """Each trial would end as many tasks of others as any crash."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    crash_in_turn(cluster, task, TRIAL_CRASHES)
    busy, quiet = add_worker(cluster, 'busy'), add_worker(cluster, 'quiet')
    admit(cluster, make_job('busy', make_step(count=2)))
    for index in range(2):
        start_task(cluster, find_task(cluster, 'busy', 0, index), busy, 110.0)
    placed = run_pass(Placer(cluster, InterferenceModel()), 120.0)
    assert placed == [(task, quiet)]


def test_a_task_on_trial_avoids_workers_that_were_just_lost() -> None:
    """A worker that goes down and up by turns would convict any task."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    crash_in_turn(cluster, task, TRIAL_CRASHES)
    add_worker(cluster, 'unsteady').reached_at = 119.0
    steady = add_worker(cluster, 'steady')
    admit(cluster, make_job('busy'))
    start_task(cluster, find_task(cluster, 'busy'), steady, 110.0)
    placed = run_pass(Placer(cluster, InterferenceModel()), 120.0)
    assert placed == [(task, steady)]


def test_a_task_on_trial_avoids_tasks_that_were_just_started() -> None:
    """A task was given up for the crash of a worker that had just begun others.

    They may be the cause as well; a later start beside it is refused.
    """
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    crash_in_turn(cluster, task, TRIAL_CRASHES)
    fresh, busy = add_worker(cluster, 'fresh'), add_worker(cluster, 'busy')
    admit(cluster, make_job('other', make_step(count=3)))
    others = [find_task(cluster, 'other', 0, index) for index in range(3)]
    for other in others[:2]:
        start_task(cluster, other, busy, 110.0)
    start_task(cluster, others[2], fresh, 119.9)
    placed = run_pass(Placer(cluster, InterferenceModel()), 120.0)
    assert placed == [(task, busy)]


def test_other_tasks_of_a_job_that_is_given_up_are_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The other tasks of a job that is given up would run on."""
    stopped: list[Task] = []
    monkeypatch.setattr(
        CommandSender, 'stop', lambda self, task: stopped.append(task)
    )
    cluster = ClusterState()
    admit(cluster, make_job('job', make_step(count=2, lasting=True)))
    task, other = (find_task(cluster, 'job', index=n) for n in range(2))
    run_task(cluster, other, add_worker(cluster, 'w'))
    crash_in_turn(cluster, task, MAX_CRASHES)
    commands = CommandSender(
        cluster,
        WorkerClient(HttpClient(''), 1, 1.0),
        {},
        IgnoringListener(),
        lambda: 130.0,
        lambda command: None,
        lambda task, worker: '',
        lambda: None,
    )
    controller = TaskController(
        cluster,
        InterferenceModel(),
        WorkerHealth(),
        commands,
        ControlMetrics(),
    )
    lost_on = cluster.workers[f'crashed-{MAX_CRASHES - 1}']
    controller.handle_crash(lost_on, [task], 130.0)
    assert cluster.jobs['job'].state is JobState.FAILED
    assert stopped == [other]
    assert task.phase is TaskPhase.GIVEN_UP
    assert not cluster.ready
