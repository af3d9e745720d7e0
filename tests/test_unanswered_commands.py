"""Workers that answer polls and leave commands unanswered."""

from __future__ import annotations

import asyncio
import collections
import pathlib
from collections.abc import Coroutine
from typing import Any

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import command_channel
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import CallStatus, CommandAnswer, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.health import (
    MAX_QUARANTINED_SHARE,
    STOP_TIMEOUT_SECONDS,
    WorkerHealth,
)
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.upstream.http import HttpClient
from stand_ins.fleet import START_PATH, STOP_PATH, FleetWorker
from tests.helpers import run
from tests.platform_fixtures import (
    PREFIX,
    Daemon,
    PlatformFixture,
    open_platform,
)
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_report,
    make_step,
    run_task,
)
from tests.test_refused_stops import make_command_sender
from tests.test_worker_session import IgnoringListener

JOBS = [f'{number:016x}' for number in range(1, 9)]
LONG_RUNNING_JOB = 'f' * 16
COMMAND_PATHS = frozenset({START_PATH, STOP_PATH})

LATE_SECONDS = 4.0
"""Delay after which a worker executes unanswered commands: longer than the
deadline of a start, and shorter than its leases."""

LOST_ANSWERS = 5

OBSERVED_SECONDS = 10.0
MAX_COMMANDS_PER_SECOND = 10.0
"""Commands to a worker that answers none: eight starts, each finally repeated
once a second, and the probe."""


async def complete_jobs(platform: PlatformFixture, daemon: Daemon) -> None:
    """Submits all jobs, and waits until they are completed."""
    for job_id in JOBS:
        await platform.submit(daemon, job_id)
    for job_id in JOBS:
        await platform.wait_for_state(daemon, job_id, 'completed')


def count_starts(platform: PlatformFixture) -> collections.Counter[str]:
    """Counts the executed starts, by task."""
    return collections.Counter(
        task for task, _, _ in platform.fleet.list_starts()
    )


@pytest.mark.parametrize('fault', ['unanswered', 'failing'])
@pytest.mark.parametrize('paths', [COMMAND_PATHS, frozenset({START_PATH})])
def test_jobs_of_a_worker_that_answers_no_starts_run_elsewhere(
    tmp_path: pathlib.Path, fault: str, paths: frozenset[str]
) -> None:
    """Jobs placed on a worker that answered only polls never ran."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            getattr(platform.fleet.workers[0], fault).update(paths)
            await complete_jobs(platform, daemon)
            assert set(count_starts(platform).values()) == {1}

    run(scenario())


def test_a_start_executed_late_does_not_run_beside_another(
    tmp_path: pathlib.Path,
) -> None:
    """A task placed elsewhere after an unanswered start could run twice."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            faulty = platform.fleet.workers[0]
            faulty.unanswered |= COMMAND_PATHS
            faulty.late_seconds = LATE_SECONDS
            await complete_jobs(platform, daemon)
            await asyncio.sleep(LATE_SECONDS)
            assert not faulty.started
            assert set(count_starts(platform).values()) == {1}

    run(scenario())


def test_a_task_whose_start_was_not_answered_keeps_running(
    tmp_path: pathlib.Path,
) -> None:
    """The probe for an answer to commands stopped the running task."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
                worker.unanswered |= COMMAND_PATHS
                worker.applies_unanswered = True
            await platform.submit(
                daemon, LONG_RUNNING_JOB, 'long', longRunning=True
            )
            await platform.wait_for_state(daemon, LONG_RUNNING_JOB, 'running')
            await asyncio.sleep(LATE_SECONDS)
            assert len(platform.fleet.list_starts()) == 1
            assert any(worker.running for worker in platform.fleet.workers)

    run(scenario())


def test_a_worker_that_answers_commands_again_gets_tasks_again(
    tmp_path: pathlib.Path,
) -> None:
    """A worker that had recovered got no more tasks."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            faulty = platform.fleet.workers[0]
            faulty.unanswered |= COMMAND_PATHS
            await complete_jobs(platform, daemon)
            faulty.unanswered.clear()
            await platform.submit(
                daemon, LONG_RUNNING_JOB, count=2, cpu=5000, longRunning=True
            )

            async def is_used() -> bool:
                return bool(faulty.started)

            await platform.wait_for(is_used)

    run(scenario())


async def start_long_running(
    platform: PlatformFixture, daemon: Daemon
) -> FleetWorker:
    """Starts a long-running task; returns the worker that runs it."""
    for worker in platform.fleet.workers:
        worker.long_running_payloads.add('long')
    await platform.submit(daemon, LONG_RUNNING_JOB, 'long', longRunning=True)

    async def runs() -> bool:
        return any(worker.running for worker in platform.fleet.workers)

    await platform.wait_for(runs)
    return next(w for w in platform.fleet.workers if w.running)


def test_a_cancelled_task_ends_on_a_worker_that_answers_no_stops(
    tmp_path: pathlib.Path,
) -> None:
    """A cancelled task ran for as long as its worker answered polls."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            faulty = await start_long_running(platform, daemon)
            faulty.unanswered.add(STOP_PATH)
            answer = await platform.call(
                daemon, 'DELETE', PREFIX + LONG_RUNNING_JOB
            )
            assert answer.code == 200

            async def has_ended() -> bool:
                faulty.step()
                return not faulty.running

            await platform.wait_for(has_ended)
            assert len(platform.fleet.list_starts()) == 1

    run(scenario())


@pytest.mark.parametrize('fault', ['unanswered', 'failing'])
def test_unanswered_commands_are_sent_with_backoff(
    tmp_path: pathlib.Path, fault: str
) -> None:
    """A worker that failed all commands got 78 of them a second."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            faulty = platform.fleet.workers[0]
            getattr(faulty, fault).update(COMMAND_PATHS)
            for job_id in JOBS:
                await platform.submit(daemon, job_id)
            await asyncio.sleep(OBSERVED_SECONDS)
            assert (
                len(faulty.calls) <= MAX_COMMANDS_PER_SECOND * OBSERVED_SECONDS
            )

    run(scenario())


def place_unanswered_start(cluster: ClusterState) -> tuple[Task, Worker]:
    """Places a task whose start must begin by 2 s on the worker's clock."""
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    cluster.place([task], worker, 1.0)
    task.start_deadline_ms = 2000
    return task, worker


def test_a_start_that_may_still_be_executed_keeps_its_task() -> None:
    """A report from before a start expired does not show that it never ran."""
    cluster = ClusterState()
    task, worker = place_unanswered_start(cluster)
    reconciler = Reconciler(cluster)
    reconciler.reconcile(worker, make_report(), 3.0, 3.1)
    task.start_expired_at = 4.0
    reconciler.reconcile(worker, make_report(), 3.9, 4.1)
    assert task.phase is TaskPhase.STARTING
    result = reconciler.reconcile(worker, make_report(), 4.2, 4.3)
    assert result.expired == [task]
    assert task.id in cluster.ready


class _LossyClient(WorkerClient):
    """A client that loses the answers to the first throttle commands."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.statuses = [CallStatus.UNKNOWN] * LOST_ANSWERS + [CallStatus.DONE]

    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(self.statuses.pop(0))

    async def poll(self, *args: object, **options: object) -> WorkerReport:
        """See `WorkerClient`."""
        await asyncio.sleep(0.0)
        return make_report()


def test_a_throttle_command_is_sent_until_it_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task was recorded as throttled, but ran on without a limit."""
    monkeypatch.setattr(command_channel, 'RETRY_SECONDS', 0.0)
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', make_step(fills=True)))
    task = find_task(cluster, 'job')
    run_task(cluster, task, worker)
    client = _LossyClient()
    clock = ManualClock()
    session = WorkerSession(
        worker, cluster, client, IgnoringListener(), 6.0, clock.monotonic
    )
    started: list[Coroutine[Any, Any, None]] = []
    make_command_sender(cluster, client, session, started).throttle(task, 20)

    async def scenario() -> None:
        await asyncio.wait_for(started[0], 5.0)

    run(scenario())
    assert client.statuses == []


def make_overdue_workers(workers: int) -> list[Worker]:
    """Returns workers, each of which has left a stop unanswered."""
    cluster = ClusterState()
    step = make_step(count=workers, lasting=True)
    admit(cluster, make_job('job', step))
    found = []
    for index in range(workers):
        worker = add_worker(cluster, f'w{index}')
        task = find_task(cluster, 'job', 0, index)
        run_task(cluster, task, worker)
        cluster.begin_stop(task)
        worker.stop_unanswered_since = 1.0
        found.append(worker)
    return found


def test_only_few_workers_lose_their_leases_at_once() -> None:
    """An owner whose own commands get lost would end all workers' tasks."""
    workers = make_overdue_workers(20)
    health = WorkerHealth()
    assert health.review_leases(workers, 1.0 + STOP_TIMEOUT_SECONDS) == ([], [])
    selected, _ = health.review_leases(workers, 1.1 + STOP_TIMEOUT_SECONDS)
    assert len(selected) == MAX_QUARANTINED_SHARE * len(workers)
    assert [w for w in workers if not w.renews_leases] == selected


def test_leases_are_renewed_on_a_worker_that_was_unreachable() -> None:
    """A worker that was unreachable lost all its tasks for an old stop."""
    (worker,) = make_overdue_workers(1)
    worker.reachable = False
    now = 1.1 + STOP_TIMEOUT_SECONDS
    assert WorkerHealth().review_leases([worker], now) == ([], [])
    session = WorkerSession(
        worker,
        ClusterState(),
        _LossyClient(),
        IgnoringListener(),
        6.0,
        lambda: now,
    )

    async def scenario() -> None:
        session_task = asyncio.create_task(session.run())
        while not worker.reachable:
            await asyncio.sleep(0.0)
        session_task.cancel()

    run(scenario())
    assert WorkerHealth().review_leases([worker], now) == ([], [])


def test_leases_are_renewed_again_once_nothing_is_left_to_stop() -> None:
    """A worker lost all its tasks although the stopped one had ended."""
    workers = make_overdue_workers(1)
    health = WorkerHealth()
    assert health.review_leases(workers, 1.1 + STOP_TIMEOUT_SECONDS) == (
        workers,
        [],
    )
    for task in workers[0].tasks.values():
        task.phase = TaskPhase.RUNNING
    assert health.review_leases(workers, 2.0 + STOP_TIMEOUT_SECONDS) == (
        [],
        workers,
    )
    assert workers[0].renews_leases
