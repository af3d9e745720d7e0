"""Serving tasks that move together, so that filling work finds places."""

from __future__ import annotations

from typing import Any

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.consolidation import (
    MAX_TASKS_PER_MOVE,
    MIN_SERVED_SECONDS,
    MOVE_INTERVAL_SECONDS,
)
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.placement import Placer
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_pass,
    run_task,
)

PAIRS = [['strict', 'popular', 0.2], ['lenient', 'popular', 0.0]]
"""What the filling image adds to each serving one."""

LATER = 2 * MIN_SERVED_SECONDS


def serve(
    cluster: ClusterState, name: str, worker: Worker, image: str, **fields: Any
) -> Task:
    """Lets a job's only task serve on a worker."""
    given = {'lasting': True, 'target_ms': 50.0, 'image': image}
    admit(cluster, make_job(name, make_step(**{**given, **fields})))
    task = find_task(cluster, name)
    run_task(cluster, task, worker, now=0.0)
    return task


def make_placer(cluster: ClusterState, waits: bool = True) -> Placer:
    """Returns a placer that knows the pairs; filling work may wait."""
    interference_model = InterferenceModel()
    interference_model.restore(PAIRS)
    if waits:
        # More memory than any worker has: it waits for good.
        step = make_step(demand=Room(2.0, 99_000), fills=True, image='popular')
        admit(cluster, make_job('filling', step))
    return Placer(cluster, interference_model)


def open_book() -> tuple[ClusterState, Task]:
    """Returns workers of one image each, and one with a task of the other."""
    cluster = ClusterState()
    mixed = add_worker(cluster, 'mixed', capacity=Room(16.0, 64_000))
    strict = add_worker(cluster, 'strict', capacity=Room(16.0, 64_000))
    serve(cluster, 'lenient', mixed, 'lenient')
    for number in range(MAX_TASKS_PER_MOVE + 1):
        serve(cluster, f'home-{number}', strict, 'strict')
    return cluster, serve(cluster, 'stray', mixed, 'strict')


def test_a_task_moves_to_a_worker_of_its_image() -> None:
    """One small task kept sixteen cores from all filling work that waited."""
    cluster, stray = open_book()
    placer = make_placer(cluster)
    assert placer.choose_moves(LATER) == [stray]
    cluster.requeue(stray)
    placed = run_pass(placer, LATER)
    assert [worker.id for _, worker in placed] == ['strict']


def test_nothing_moves_without_work_that_waits() -> None:
    cluster, _ = open_book()
    assert make_placer(cluster, waits=False).choose_moves(LATER) == []


def test_nothing_moves_where_there_is_no_room() -> None:
    """The other worker of the image is full: the task would come back."""
    cluster, _ = open_book()
    strict = cluster.workers['strict']
    serve(cluster, 'wide', strict, 'strict', demand=Room(7.0, 1000))
    assert make_placer(cluster).choose_moves(LATER) == []


def test_a_task_that_came_lately_stays() -> None:
    """Moved at once again, a task would spend its time on starting."""
    cluster, _ = open_book()
    assert make_placer(cluster).choose_moves(MIN_SERVED_SECONDS / 2) == []


def test_moves_keep_a_pause() -> None:
    cluster, stray = open_book()
    placer = make_placer(cluster)
    assert placer.choose_moves(LATER) == [stray]
    soon = LATER + MOVE_INTERVAL_SECONDS / 2
    assert placer.choose_moves(soon) == []


def test_a_step_is_never_left_with_fewer_tasks_than_it_needs() -> None:
    """A job may miss one task, and one is away: another move breaks that."""
    cluster = ClusterState()
    mixed = add_worker(cluster, 'mixed', capacity=Room(16.0, 64_000))
    strict = add_worker(cluster, 'strict', capacity=Room(16.0, 64_000))
    serve(cluster, 'lenient', mixed, 'lenient')
    for number in range(MAX_TASKS_PER_MOVE):
        serve(cluster, f'home-{number}', strict, 'strict')
    fields = {'lasting': True, 'target_ms': 50.0, 'image': 'strict'}
    step = make_step(count=2, may_miss=1, **fields)
    admit(cluster, make_job('pair', step))
    stray, other = (
        find_task(cluster, 'pair'),
        find_task(cluster, 'pair', index=1),
    )
    run_task(cluster, stray, mixed, now=0.0)
    run_task(cluster, other, strict, now=0.0)
    placer = make_placer(cluster)
    other.phase = TaskPhase.STOPPING
    assert placer.choose_moves(LATER) == []
    other.phase = TaskPhase.RUNNING
    assert placer.choose_moves(2 * LATER) == [stray]
