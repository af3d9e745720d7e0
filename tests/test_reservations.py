"""Reservations of workers for interrupted long-running tasks."""

from __future__ import annotations

import pytest

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.ranking import RESTART_OVERDUE_SECONDS
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.reservations import (
    MAX_RESERVED_SHARE,
    RESERVATION_SECONDS,
    WorkerReservations,
)
from lentilmount.scheduling.views import WorkerView, WorkerViews
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_policy,
    make_step,
    record_checks,
    run_pass,
    run_task,
)

LONG_RUNNING = make_step(demand=Room(4.0, 1000), lasting=True, image='x')
INTERRUPTED_AT = 2.0
OVERDUE_AT = INTERRUPTED_AT + RESTART_OVERDUE_SECONDS


def occupy(
    cluster: ClusterState, worker: Worker, name: str, long_running: bool
) -> None:
    """Runs a task on a worker that leaves one core free."""
    step = make_step(demand=Room(3.0, 1000), lasting=long_running)
    admit(cluster, make_job(name, step))
    run_task(cluster, find_task(cluster, name), worker)


def interrupt_task(cluster: ClusterState, name: str) -> Task:
    """Creates a long-running task whose worker was lost."""
    gone = add_worker(cluster, f'gone-{name}', capacity=Room(4.0, 64_000))
    admit(cluster, make_job(name, LONG_RUNNING))
    task = find_task(cluster, name)
    run_task(cluster, task, gone)
    cluster.end_run(task, EndKind.FAILED, INTERRUPTED_AT)
    gone.is_registered = False
    return task


def list_views(cluster: ClusterState) -> list[WorkerView]:
    """Lists the workers that accept new tasks."""
    return WorkerViews(cluster, InterferenceModel()).list_open(OVERDUE_AT)


def test_reserved_worker_accepts_no_other_task() -> None:
    """Urgent tasks took the cores that became free for an interrupted task."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    occupy(cluster, worker, 'short', long_running=False)
    interrupted = interrupt_task(cluster, 'lost')
    urgent = make_step(demand=Room(1.0, 1000))
    policy = make_policy(stretch=99.0)
    admit(cluster, make_job('urgent', urgent, policy=policy))
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, OVERDUE_AT) == []
    short = find_task(cluster, 'short')
    cluster.end_run(short, EndKind.DONE, OVERDUE_AT)
    placed = run_pass(placer, OVERDUE_AT + 0.1)
    assert placed == [(interrupted, worker)]


def test_no_worker_is_reserved_where_only_long_running_tasks_run() -> None:
    """A worker stayed idle for a task that would never fit beside others."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    occupy(cluster, worker, 'other', long_running=True)
    interrupted = interrupt_task(cluster, 'lost')
    assert (
        WorkerReservations().reserve(
            interrupted, list_views(cluster), OVERDUE_AT
        )
        is None
    )


def test_no_worker_is_reserved_for_a_task_that_fits() -> None:
    """A task that waited for the advice service reserved a worker."""
    cluster = ClusterState()
    add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    interrupted = interrupt_task(cluster, 'lost')
    assert (
        WorkerReservations().reserve(
            interrupted, list_views(cluster), OVERDUE_AT
        )
        is None
    )


def test_only_a_few_workers_are_reserved_at_once() -> None:
    """After the loss of a zone, all remaining workers were reserved."""
    cluster = ClusterState()
    count = round(2 / MAX_RESERVED_SHARE)
    for number in range(count):
        name = f'w-{number}'
        worker = add_worker(cluster, name, capacity=Room(4.0, 64_000))
        occupy(cluster, worker, f'short-{number}', long_running=False)
    interrupted = [
        interrupt_task(cluster, f'lost-{number}') for number in range(count)
    ]
    reservations = WorkerReservations()
    views = list_views(cluster)
    reserved = [
        reservations.reserve(task, views, OVERDUE_AT) for task in interrupted
    ]
    assert sum(view is not None for view in reserved) == 2


def test_reservation_is_not_recomputed_in_each_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Choosing among all workers in each pass took an owner's CPU time."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    occupy(cluster, worker, 'short', long_running=False)
    interrupted = interrupt_task(cluster, 'lost')
    checks = record_checks(monkeypatch, 'accepts')
    reservations = WorkerReservations()
    views = list_views(cluster)
    for now in (OVERDUE_AT, OVERDUE_AT + RESERVATION_SECONDS / 2):
        reservations.expire(now)
        view = reservations.reserve(interrupted, views, now)
        assert view is not None
        assert view.worker is worker
    assert checks == [('w', 'lost')]
    reservations.expire(OVERDUE_AT + RESERVATION_SECONDS)
    reservations.reserve(interrupted, views, OVERDUE_AT + RESERVATION_SECONDS)
    assert len(checks) == 2


def test_reservation_ends_with_its_task() -> None:
    """The worker stayed reserved for 2 s after its task was cancelled."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    occupy(cluster, worker, 'short', long_running=False)
    cancelled, interrupted = (
        interrupt_task(cluster, 'cancelled'),
        interrupt_task(cluster, 'lost'),
    )
    reservations = WorkerReservations()
    views = list_views(cluster)
    assert reservations.reserve(cancelled, views, OVERDUE_AT) is not None
    assert reservations.reserve(interrupted, views, OVERDUE_AT) is None
    cluster.cancel('cancelled', OVERDUE_AT)
    reservations.expire(OVERDUE_AT)
    assert reservations.reserve(interrupted, views, OVERDUE_AT) is not None
