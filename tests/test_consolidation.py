"""Moves of serving tasks that make room for best-effort tasks."""

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
"""Interference of the best-effort image with each serving image."""

AFTER_MIN_SERVED = 2 * MIN_SERVED_SECONDS


def run_serving_task(
    cluster: ClusterState, name: str, worker: Worker, image: str, **fields: Any
) -> Task:
    """Adds a job with one serving task and runs it on a worker."""
    given = {'lasting': True, 'target_ms': 50.0, 'image': image}
    admit(cluster, make_job(name, make_step(**{**given, **fields})))
    task = find_task(cluster, name)
    run_task(cluster, task, worker, now=0.0)
    return task


def make_placer(
    cluster: ClusterState, has_waiting_tasks: bool = True
) -> Placer:
    """Returns a placer that has learned the pairs.

    Args:
      cluster: Cluster state.
      has_waiting_tasks: Whether a best-effort task waits.
    """
    interference_model = InterferenceModel()
    interference_model.restore(PAIRS)
    if has_waiting_tasks:
        # It requests more memory than any worker has, so it keeps waiting.
        step = make_step(demand=Room(2.0, 99_000), fills=True, image='popular')
        admit(cluster, make_job('filling', step))
    return Placer(cluster, interference_model)


def make_mixed_workers() -> tuple[ClusterState, Task]:
    """Returns a worker per image, one of which also runs the other's task."""
    cluster = ClusterState()
    mixed = add_worker(cluster, 'mixed', capacity=Room(16.0, 64_000))
    strict = add_worker(cluster, 'strict', capacity=Room(16.0, 64_000))
    run_serving_task(cluster, 'lenient', mixed, 'lenient')
    for number in range(MAX_TASKS_PER_MOVE + 1):
        run_serving_task(cluster, f'home-{number}', strict, 'strict')
    return cluster, run_serving_task(cluster, 'stray', mixed, 'strict')


def test_task_moves_to_a_worker_that_serves_its_image() -> None:
    """One small task kept best-effort tasks off sixteen cores."""
    cluster, misplaced = make_mixed_workers()
    placer = make_placer(cluster)
    assert placer.choose_moves(AFTER_MIN_SERVED) == [misplaced]
    cluster.requeue(misplaced)
    placed = run_pass(placer, AFTER_MIN_SERVED)
    assert [worker.id for _, worker in placed] == ['strict']


def test_nothing_moves_without_waiting_best_effort_tasks() -> None:
    cluster, _ = make_mixed_workers()
    assert (
        make_placer(cluster, has_waiting_tasks=False).choose_moves(
            AFTER_MIN_SERVED
        )
        == []
    )


def test_nothing_moves_without_room_on_a_target_worker() -> None:
    """The other worker of the image is full, so the task would come back."""
    cluster, _ = make_mixed_workers()
    strict = cluster.workers['strict']
    run_serving_task(cluster, 'wide', strict, 'strict', demand=Room(7.0, 1000))
    assert make_placer(cluster).choose_moves(AFTER_MIN_SERVED) == []


def test_recently_started_task_does_not_move() -> None:
    """A task that moved again at once would spend its time on starting."""
    cluster, _ = make_mixed_workers()
    assert make_placer(cluster).choose_moves(MIN_SERVED_SECONDS / 2) == []


def test_moves_keep_the_interval() -> None:
    cluster, misplaced = make_mixed_workers()
    placer = make_placer(cluster)
    assert placer.choose_moves(AFTER_MIN_SERVED) == [misplaced]
    before_next_interval = AFTER_MIN_SERVED + MOVE_INTERVAL_SECONDS / 2
    assert placer.choose_moves(before_next_interval) == []


def test_moves_respect_the_allowed_number_of_missing_tasks() -> None:
    """A move must not interrupt a second task of a job that may miss one."""
    cluster = ClusterState()
    mixed = add_worker(cluster, 'mixed', capacity=Room(16.0, 64_000))
    strict = add_worker(cluster, 'strict', capacity=Room(16.0, 64_000))
    run_serving_task(cluster, 'lenient', mixed, 'lenient')
    for number in range(MAX_TASKS_PER_MOVE):
        run_serving_task(cluster, f'home-{number}', strict, 'strict')
    fields = {'lasting': True, 'target_ms': 50.0, 'image': 'strict'}
    step = make_step(count=2, may_miss=1, **fields)
    admit(cluster, make_job('pair', step))
    misplaced, other = (
        find_task(cluster, 'pair'),
        find_task(cluster, 'pair', index=1),
    )
    run_task(cluster, misplaced, mixed, now=0.0)
    run_task(cluster, other, strict, now=0.0)
    placer = make_placer(cluster)
    other.phase = TaskPhase.STOPPING
    assert placer.choose_moves(AFTER_MIN_SERVED) == []
    other.phase = TaskPhase.RUNNING
    assert placer.choose_moves(2 * AFTER_MIN_SERVED) == [misplaced]
