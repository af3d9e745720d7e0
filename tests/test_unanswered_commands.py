"""Workers that answer looks and leave orders unanswered."""

from __future__ import annotations

import asyncio
import collections
import pathlib
from collections.abc import Coroutine
from typing import Any

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import worker_commands as orders_module
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
LASTING = 'f' * 16
ORDERS = frozenset({START_PATH, STOP_PATH})

LATE_SECONDS = 4.0
"""After which a worker carries out what it left unanswered: longer than a start
waits for, and shorter than the leases there."""

LOST_ANSWERS = 5

WATCHED_SECONDS = 10.0
MOST_ORDERS_PER_SECOND = 10.0
"""To a worker that answers none: eight starts, each sent again once a second in
the end, and the probe."""


async def complete_jobs(platform: PlatformFixture, daemon: Daemon) -> None:
    """Hands in all jobs, and waits until they are completed."""
    for job_id in JOBS:
        await platform.submit(daemon, job_id)
    for job_id in JOBS:
        await platform.wait_for_state(daemon, job_id, 'completed')


def count_starts(platform: PlatformFixture) -> collections.Counter[str]:
    """Counts the starts that were carried out, by task."""
    return collections.Counter(
        task for task, _, _ in platform.fleet.list_starts()
    )


@pytest.mark.parametrize('fault', ['unanswered', 'failing'])
@pytest.mark.parametrize('paths', [ORDERS, frozenset({START_PATH})])
def test_a_worker_that_takes_no_starts_does_not_keep_its_jobs(
    tmp_path: pathlib.Path, fault: str, paths: frozenset[str]
) -> None:
    """Jobs placed on a worker that answered only looks never ran."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            getattr(platform.fleet.workers[0], fault).update(paths)
            await complete_jobs(platform, daemon)
            assert set(count_starts(platform).values()) == {1}

    run(play())


def test_a_start_carried_out_late_does_not_run_beside_another(
    tmp_path: pathlib.Path,
) -> None:
    """A task given up for a start without an answer could run twice."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            odd = platform.fleet.workers[0]
            odd.unanswered |= ORDERS
            odd.late_seconds = LATE_SECONDS
            await complete_jobs(platform, daemon)
            await asyncio.sleep(LATE_SECONDS)
            assert not odd.started
            assert set(count_starts(platform).values()) == {1}

    run(play())


def test_a_task_whose_start_was_not_answered_runs_on(
    tmp_path: pathlib.Path,
) -> None:
    """A running task was stopped to find out whether orders are answered."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            for worker in platform.fleet.workers:
                worker.lasts.add('long')
                worker.unanswered |= ORDERS
                worker.hears = True
            await platform.submit(daemon, LASTING, 'long', longRunning=True)
            await platform.wait_for_state(daemon, LASTING, 'running')
            await asyncio.sleep(LATE_SECONDS)
            assert len(platform.fleet.list_starts()) == 1
            assert any(worker.running for worker in platform.fleet.workers)

    run(play())


def test_a_worker_that_takes_orders_again_gets_work_again(
    tmp_path: pathlib.Path,
) -> None:
    """A worker that got well was left without work."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            odd = platform.fleet.workers[0]
            odd.unanswered |= ORDERS
            await complete_jobs(platform, daemon)
            odd.unanswered.clear()
            await platform.submit(
                daemon, LASTING, count=2, cpu=5000, longRunning=True
            )

            async def is_used() -> bool:
                return bool(odd.started)

            await platform.wait_for(is_used)

    run(play())


async def start_lasting(
    platform: PlatformFixture, daemon: Daemon
) -> FleetWorker:
    """Starts a lasting task; returns the worker that runs it."""
    for worker in platform.fleet.workers:
        worker.lasts.add('long')
    await platform.submit(daemon, LASTING, 'long', longRunning=True)

    async def runs() -> bool:
        return any(worker.running for worker in platform.fleet.workers)

    await platform.wait_for(runs)
    return next(w for w in platform.fleet.workers if w.running)


def test_a_cancelled_task_ends_where_no_stop_is_answered(
    tmp_path: pathlib.Path,
) -> None:
    """A cancelled task ran on for as long as its worker answered looks."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            odd = await start_lasting(platform, daemon)
            odd.unanswered.add(STOP_PATH)
            answer = await platform.call(daemon, 'DELETE', PREFIX + LASTING)
            assert answer.code == 200

            async def has_ended() -> bool:
                odd.step()
                return not odd.running

            await platform.wait_for(has_ended)
            assert len(platform.fleet.list_starts()) == 1

    run(play())


@pytest.mark.parametrize('fault', ['unanswered', 'failing'])
def test_orders_without_an_answer_are_sent_more_and_more_seldom(
    tmp_path: pathlib.Path, fault: str
) -> None:
    """A worker that failed all orders was sent 78 a second."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            odd = platform.fleet.workers[0]
            getattr(odd, fault).update(ORDERS)
            for job_id in JOBS:
                await platform.submit(daemon, job_id)
            await asyncio.sleep(WATCHED_SECONDS)
            assert len(odd.asked) <= MOST_ORDERS_PER_SECOND * WATCHED_SECONDS

    run(play())


def place_start(cluster: ClusterState) -> tuple[Task, Worker]:
    """Places a task whose start must begin by 2 s on the worker's clock."""
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    cluster.place([task], worker, 1.0)
    task.start_deadline_ms = 2000
    return task, worker


def test_a_start_that_may_still_be_carried_out_keeps_its_task() -> None:
    """A list made before a start expired proves nothing about the start."""
    cluster = ClusterState()
    task, worker = place_start(cluster)
    reconciler = Reconciler(cluster)
    reconciler.reconcile(worker, make_report(), 3.0, 3.1)
    task.start_expired_at = 4.0
    reconciler.reconcile(worker, make_report(), 3.9, 4.1)
    assert task.phase is TaskPhase.STARTING
    result = reconciler.reconcile(worker, make_report(), 4.2, 4.3)
    assert result.expired == [task]
    assert task.id in cluster.ready


class _LossyCalls(WorkerClient):
    """Loses the answers of the first changes of pace."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.verdicts = [CallStatus.UNKNOWN] * LOST_ANSWERS + [CallStatus.DONE]

    async def pace(
        self, worker: WorkerEntry, task: str, run: int, percent: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(self.verdicts.pop(0))

    async def poll(self, *args: object, **options: object) -> WorkerReport:
        """See `WorkerClient`."""
        await asyncio.sleep(0.0)
        return make_report()


def test_a_change_of_pace_is_sent_until_it_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task that was taken to be slowed down went on interfering."""
    monkeypatch.setattr(orders_module, 'RETRY_SECONDS', 0.0)
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', make_step(fills=True)))
    task = find_task(cluster, 'job')
    run_task(cluster, task, worker)
    calls = _LossyCalls()
    clock = ManualClock()
    session = WorkerSession(
        worker, cluster, calls, IgnoringListener(), 6.0, clock.monotonic
    )
    started: list[Coroutine[Any, Any, None]] = []
    make_command_sender(cluster, calls, session, started).throttle(task, 20)

    async def play() -> None:
        await asyncio.wait_for(started[0], 5.0)

    run(play())
    assert calls.verdicts == []


def open_overdue(workers: int) -> list[Worker]:
    """Returns workers of which each has left a stop unanswered."""
    cluster = ClusterState()
    spec = make_step(count=workers, lasting=True)
    admit(cluster, make_job('job', spec))
    found = []
    for index in range(workers):
        worker = add_worker(cluster, f'w{index}')
        task = find_task(cluster, 'job', 0, index)
        run_task(cluster, task, worker)
        cluster.begin_stop(task)
        worker.stop_unanswered_since = 1.0
        found.append(worker)
    return found


def test_leases_of_few_workers_at_once_are_left_to_run_out() -> None:
    """An owner whose own orders get lost would end the work of all workers."""
    workers = open_overdue(20)
    health = WorkerHealth()
    assert health.review_leases(workers, 1.0 + STOP_TIMEOUT_SECONDS) == ([], [])
    left, _ = health.review_leases(workers, 1.1 + STOP_TIMEOUT_SECONDS)
    assert len(left) == MAX_QUARANTINED_SHARE * len(workers)
    assert [w for w in workers if not w.renews_leases] == left


def test_leases_are_renewed_at_a_worker_that_was_not_heard() -> None:
    """A worker that came back after a cut lost all its tasks for one stop."""
    (worker,) = open_overdue(1)
    worker.reachable = False
    now = 1.1 + STOP_TIMEOUT_SECONDS
    assert WorkerHealth().review_leases([worker], now) == ([], [])
    session = WorkerSession(
        worker,
        ClusterState(),
        _LossyCalls(),
        IgnoringListener(),
        6.0,
        lambda: now,
    )

    async def play() -> None:
        keeping = asyncio.create_task(session.run())
        while not worker.reachable:
            await asyncio.sleep(0.0)
        keeping.cancel()

    run(play())
    assert WorkerHealth().review_leases([worker], now) == ([], [])


def test_leases_are_renewed_again_once_nothing_is_left_to_stop() -> None:
    """A worker on which a task ended by itself lost all its other tasks."""
    workers = open_overdue(1)
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
