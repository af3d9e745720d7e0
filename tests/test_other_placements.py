"""Answers and deadlines of one placement of a task, applied to another."""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import CallStatus, CommandAnswer
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import TaskPhase
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import StaleRun, WorkerEntry
from tests.restart_fixtures import (
    CALL_SECONDS,
    TIMEOUT_SECONDS,
    LateWorker,
    RestartScene,
    play,
)
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_report,
    make_running,
    make_step,
    run_task,
)
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

UPTIME_SECONDS = 100.0
"""Uptime of a worker whose deadlines are late by the clock of the next one."""

LATE_SECONDS = 12.0
"""Time after which a start without an answer is executed."""

MANY_STOPS = 1000
REPORTS = 20
REPEATED_SECONDS = 2.0
"""Time in which a stop that is refused is repeated a few times."""


async def leave_late_start(scene: RestartScene) -> None:
    """Leaves a start on its way to the worker; its task waits again."""
    scene.client.booted_at -= UPTIME_SECONDS
    await asyncio.sleep(0.1)
    scene.client.late_start_seconds = LATE_SECONDS
    scene.commands.start(scene.task)
    await scene.wait_until(lambda: scene.task.id in scene.cluster.ready)
    scene.client.late_start_seconds = 0.0
    now = asyncio.get_running_loop().time()
    scene.cluster.place([scene.task], scene.other, now)


async def restart_refusing_stops(scene: RestartScene) -> None:
    """Restarts the worker, which refuses stops from then on."""
    scene.client.refused_stops = 100
    scene.client.restart()
    await scene.wait_until(lambda: scene.session.incarnation == 1)


def test_a_held_task_does_not_expire_by_a_deadline_on_another_worker() -> None:
    """It was freed before the stop of its late start, and ran twice."""

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        await leave_late_start(scene)
        scene.task.start_sent_at = loop.time()
        scene.task.start_deadline_ms = 2000
        scene.cluster.end_worker_tasks(scene.other, loop.time())
        await restart_refusing_stops(scene)
        await scene.observe(LATE_SECONDS)
        assert scene.client.executed

    play(scenario)


def test_a_held_task_does_not_expire_by_a_deadline_of_its_newer_run() -> None:
    """The newer run had started on the next incarnation, by a younger clock."""

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        await leave_late_start(scene)
        scene.cluster.end_worker_tasks(scene.other, loop.time())
        scene.cluster.place([scene.task], scene.worker, loop.time())
        scene.task.start_sent_at = loop.time()
        scene.task.start_deadline_ms = 2000
        await restart_refusing_stops(scene)
        await scene.observe(LATE_SECONDS)
        assert scene.client.executed

    play(scenario)


def test_a_stop_that_another_worker_accepts_frees_no_held_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer came once the task was kept elsewhere; it ran twice."""
    stop_of_worker = LateWorker.stop

    async def stop(
        client: LateWorker, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        if worker.id == 'w':
            return await stop_of_worker(client, worker, task, run)
        await asyncio.sleep(TIMEOUT_SECONDS)
        return CommandAnswer(CallStatus.DONE)

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        await leave_late_start(scene)
        scene.cluster.begin_stop(scene.task)
        scene.commands.sessions['other'] = WorkerSession(
            scene.other,
            scene.cluster,
            scene.client,
            IgnoringListener(),
            LEASE_SECONDS,
            loop.time,
        )
        scene.commands.stop(scene.task)
        await asyncio.sleep(CALL_SECONDS)
        scene.cluster.end_worker_tasks(scene.other, loop.time())
        await restart_refusing_stops(scene)
        assert scene.task.worker == scene.worker.id
        await scene.observe(LATE_SECONDS)
        assert scene.client.executed

    monkeypatch.setattr(LateWorker, 'stop', stop)
    play(scenario)


@pytest.mark.parametrize('is_sent', [True, False])
def test_a_placement_is_taken_back_for_a_late_start_until_it_is_sent(
    is_sent: bool,
) -> None:
    """A start that waited for its write was sent beside a late start."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    worker, other = (add_worker(cluster, name) for name in ('w', 'other'))
    cluster.place([task], worker, 1.0)
    cluster.requeue(task)
    cluster.place([task], other, 2.0)
    if is_sent:
        task.start_sent_at = 2.1
    late_start = StaleRun('w', str(task.id), 1)
    cluster.end_worker_tasks(worker, 3.0, frozenset({late_start}))
    assert task.worker == ('other' if is_sent else 'w')
    assert (task.id in other.tasks) == is_sent


def test_a_task_that_ran_elsewhere_is_no_suspect_where_it_is_held() -> None:
    """A job failed for crashes of workers that had not run its task."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    worker, other = (add_worker(cluster, name) for name in ('w', 'other'))
    worker.last_answer_at = 1.0
    cluster.place([task], worker, 1.0)
    cluster.requeue(task)
    run_task(cluster, task, other, 2.0)
    task.start_sent_at = 2.0
    cluster.end_worker_tasks(other, 2.4)
    late_start = StaleRun('w', str(task.id), 1)
    cluster.end_worker_tasks(worker, 3.0, frozenset({late_start}))
    assert task.worker == 'w'
    cluster.suspects.confirm_crash(worker)
    assert not task.crashed_runs


@pytest.mark.parametrize('is_sent', [True, False])
def test_a_gang_is_taken_back_for_an_older_run_until_a_start_is_sent(
    is_sent: bool,
) -> None:
    """A member whose start waited for its write ran beside its older run."""
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=2, gang=True)))
    members = [find_task(cluster, 'a', index=index) for index in range(2)]
    first, second = (add_worker(cluster, n) for n in ('first', 'second'))
    cluster.place(members, first, 1.0)
    cluster.end_worker_tasks(first, 2.0)
    cluster.place(members, second, 3.0)
    if is_sent:
        members[1].start_sent_at = 3.1
    report = make_report(running=(make_running(members[0], 1),))
    Reconciler(cluster).reconcile(first, report, 4.0, 4.0)
    workers = [member.worker for member in members]
    assert workers == (['second', 'second'] if is_sent else ['first', ''])
    assert list(cluster.ready) == ([] if is_sent else [members[1].id])


def test_reports_do_not_add_stops_to_one_that_is_repeated() -> None:
    """Each report of a run added a sender that repeated the same stop."""

    async def scenario(scene: RestartScene) -> None:
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        scene.cluster.begin_stop(scene.task)
        scene.client.refused_stops = MANY_STOPS
        stale_run = StaleRun('w', str(scene.task.id), scene.task.run)
        for _ in range(REPORTS):
            scene.commands.stop_stale_run(stale_run)
        await asyncio.sleep(REPEATED_SECONDS)
        assert 1 < MANY_STOPS - scene.client.refused_stops < REPORTS

    play(scenario)
