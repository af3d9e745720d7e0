"""Workers held for lasting tasks that were lost."""

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

LASTING = make_step(demand=Room(4.0, 1000), lasting=True, image='x')
LOST_AT = 2.0
AWAY_AT = LOST_AT + RESTART_OVERDUE_SECONDS


def fill(
    cluster: ClusterState, worker: Worker, name: str, lasting: bool
) -> None:
    """Leaves a worker one core, beside a task that is short or lasts."""
    step = make_step(demand=Room(3.0, 1000), lasting=lasting)
    admit(cluster, make_job(name, step))
    run_task(cluster, find_task(cluster, name), worker)


def lose(cluster: ClusterState, name: str) -> Task:
    """Makes a lasting task that has run on a worker that is gone."""
    gone = add_worker(cluster, f'gone-{name}', capacity=Room(4.0, 64_000))
    admit(cluster, make_job(name, LASTING))
    task = find_task(cluster, name)
    run_task(cluster, task, gone)
    cluster.end_run(task, EndKind.FAILED, LOST_AT)
    gone.is_registered = False
    return task


def list_views(cluster: ClusterState) -> list[WorkerView]:
    """Lists the workers that take work."""
    return WorkerViews(cluster, InterferenceModel()).list_open(AWAY_AT)


def test_a_held_worker_takes_nothing_else() -> None:
    """Urgent work took what had become free for a lost lasting task."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    fill(cluster, worker, 'short', lasting=False)
    lost = lose(cluster, 'lost')
    urgent = make_step(demand=Room(1.0, 1000))
    policy = make_policy(stretch=99.0)
    admit(cluster, make_job('urgent', urgent, policy=policy))
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, AWAY_AT) == []
    short = find_task(cluster, 'short')
    cluster.end_run(short, EndKind.DONE, AWAY_AT)
    placed = run_pass(placer, AWAY_AT + 0.1)
    assert placed == [(lost, worker)]


def test_no_worker_is_held_where_others_last() -> None:
    """A worker that never has room for the task idled beside what lasts."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    fill(cluster, worker, 'other', lasting=True)
    lost = lose(cluster, 'lost')
    assert (
        WorkerReservations().reserve(lost, list_views(cluster), AWAY_AT) is None
    )


def test_no_worker_is_held_for_a_task_that_has_room() -> None:
    """A task that waits for advice kept a worker from all others."""
    cluster = ClusterState()
    add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    lost = lose(cluster, 'lost')
    assert (
        WorkerReservations().reserve(lost, list_views(cluster), AWAY_AT) is None
    )


def test_few_workers_are_held_at_once() -> None:
    """After the loss of a zone all others would have stood still."""
    cluster = ClusterState()
    count = round(2 / MAX_RESERVED_SHARE)
    for number in range(count):
        name = f'w-{number}'
        worker = add_worker(cluster, name, capacity=Room(4.0, 64_000))
        fill(cluster, worker, f'short-{number}', lasting=False)
    lost = [lose(cluster, f'lost-{number}') for number in range(count)]
    holds = WorkerReservations()
    views = list_views(cluster)
    held = [holds.reserve(task, views, AWAY_AT) for task in lost]
    assert sum(view is not None for view in held) == 2


def test_a_hold_is_not_chosen_anew_by_each_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Choosing among all workers in each pass took an owner's processor."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    fill(cluster, worker, 'short', lasting=False)
    lost = lose(cluster, 'lost')
    checks = record_checks(monkeypatch, 'accepts')
    holds = WorkerReservations()
    views = list_views(cluster)
    for now in (AWAY_AT, AWAY_AT + RESERVATION_SECONDS / 2):
        holds.expire(now)
        view = holds.reserve(lost, views, now)
        assert view is not None
        assert view.worker is worker
    assert checks == [('w', 'lost')]
    holds.expire(AWAY_AT + RESERVATION_SECONDS)
    holds.reserve(lost, views, AWAY_AT + RESERVATION_SECONDS)
    assert len(checks) == 2


def test_a_hold_ends_with_its_task() -> None:
    """The worker of a cancelled job's task was kept from others for 2 s."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(4.0, 64_000))
    fill(cluster, worker, 'short', lasting=False)
    cancelled, lost = lose(cluster, 'cancelled'), lose(cluster, 'lost')
    holds = WorkerReservations()
    views = list_views(cluster)
    assert holds.reserve(cancelled, views, AWAY_AT) is not None
    assert holds.reserve(lost, views, AWAY_AT) is None
    cluster.cancel('cancelled', AWAY_AT)
    holds.expire(AWAY_AT)
    assert holds.reserve(lost, views, AWAY_AT) is not None
