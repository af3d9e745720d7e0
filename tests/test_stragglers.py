"""Decisions on copies of tasks that take much longer than usual."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lentilmount.policies import CopyPolicy
from lentilmount.resources import Room
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import EndKind, WorkerState
from lentilmount.scheduling.run_times import STEP_SAMPLES
from lentilmount.scheduling.sampling import MAX_COMPARED_WORKERS
from lentilmount.scheduling.stragglers import (
    MAX_SEARCHES,
    MAX_WAITING_STEPS,
    REVIEW_SECONDS,
)
from tests.copy_fixtures import (
    LONG_FACTOR,
    make_copyable_step,
    make_scene,
    start,
)
from tests.scheduling_fixtures import (
    admit,
    find_task,
    make_entry,
    make_job,
    make_policy,
    make_step,
    record_checks,
)


def test_long_tail_of_a_step_is_copied_on_another_worker() -> None:
    """Load: 3% of the tasks take seven times as long as the others.

    The job waited for the last one, however much room there was elsewhere.
    """
    scene = make_scene()
    workers = scene.add_workers(2)
    task = scene.run_step(workers[0])
    assert scene.choose(1.9) == []
    (decision,) = scene.choose(2.1)
    assert decision.slow.task is task
    assert decision.worker is workers[1]
    assert decision.first_worker == 'w0'
    assert decision.slow.usual_seconds == pytest.approx(1.0)
    assert decision.slow.seconds == pytest.approx(2.099)
    assert (task.run, task.worker) == (2, 'w1')
    assert task.phase is TaskPhase.STARTING


def test_tasks_of_a_slow_worker_are_copied() -> None:
    """Load: one worker of four takes three times as long for all it runs."""
    scene = make_scene(CopyPolicy(max_share=1.0))
    workers = scene.add_workers(4, cores=16.0)
    spec = make_job('a', make_copyable_step(count=12), policy=make_policy())
    admit(scene.cluster, spec)
    tasks = [find_task(scene.cluster, 'a', index=i) for i in range(12)]
    for number, task in enumerate(tasks):
        start(scene.cluster, task, workers[number % 4])
    for task in tasks:
        if task.worker != 'w0':
            scene.cluster.end_run(task, EndKind.DONE, 1.0)
    decisions = scene.choose(2.5)
    assert {d.first_worker for d in decisions} == {'w0'}
    assert [d.slow.task.id.index for d in decisions] == [0, 4, 8]


def test_the_slowest_task_is_copied_first() -> None:
    scene = make_scene(CopyPolicy(max_share=1 / 80))
    workers = scene.add_workers(2)
    later = scene.run_step(workers[0], count=10)
    spec = make_job('b', make_copyable_step(count=10), policy=make_policy())
    admit(scene.cluster, spec)
    tasks = [find_task(scene.cluster, 'b', index=i) for i in range(10)]
    for task in tasks:
        start(scene.cluster, task, workers[0])
    for task in tasks[1:]:
        scene.cluster.end_run(task, EndKind.DONE, 0.501)
    chosen = [decision.slow.task for decision in scene.choose(3.0)]
    assert chosen == [tasks[0]]
    assert later.older is None


EXCLUDING: dict[str, Callable[[Task], None]] = {
    'watched': lambda task: setattr(task, 'is_watched', True),
    'inherited': lambda task: setattr(task, 'placed_at', 0.0),
    'copied before': lambda task: setattr(task, 'is_copied', True),
    'starting': lambda task: setattr(task, 'phase', TaskPhase.STARTING),
    'stopping': lambda task: setattr(task, 'phase', TaskPhase.STOPPING),
    'last attempt': lambda task: task.failed_runs.update({8, 9}),
}
"""States of a task in which it is not copied."""


@pytest.mark.parametrize('name', EXCLUDING)
def test_states_in_which_a_task_is_not_copied(name: str) -> None:
    """A copy that failed ended the job of a task that was nearly done."""
    scene = make_scene()
    task = scene.run_step(scene.add_workers(2)[0])
    EXCLUDING[name](task)
    assert scene.choose(3.0) == []
    assert task.older is None


@pytest.mark.parametrize(
    'fields',
    [{'duplicates': False}, {'fills': True}],
)
def test_steps_of_which_no_task_is_copied(fields: dict[str, Any]) -> None:
    """Two runs of a task went on whose step does not allow duplicates."""
    scene = make_scene()
    task = scene.run_step(scene.add_workers(2)[0], **fields)
    assert scene.choose(3.0) == []
    assert (task.run, task.worker) == (1, 'w0')


@pytest.mark.parametrize('fields', [{'gang': True}, {'lasting': True}])
def test_gangs_and_long_running_tasks_have_no_copies(
    fields: dict[str, Any],
) -> None:
    """A member of a gang ran without the others."""
    scene = make_scene()
    step = make_copyable_step(**fields)
    task = admit(scene.cluster, make_job('a', step)).tasks
    assert not any(map(scene.cluster.copies.allows, task.values()))


def test_nothing_is_copied_unless_it_is_switched_on() -> None:
    scene = make_scene()
    scene.cluster.copies.is_enabled = False
    scene.run_step(scene.add_workers(2)[0])
    assert scene.choose(3.0) == []


CLOSING: dict[str, Callable[[Worker], None]] = {
    'cordoned': lambda w: _change_entry(w, is_cordoned=True),
    'draining': lambda w: _change_entry(w, state=WorkerState.DRAINING),
    'quarantined': lambda w: setattr(w, 'quarantined_until', 9.0),
    'on probation': lambda w: setattr(w, 'on_probation', True),
    'unreachable': lambda w: setattr(w, 'reachable', False),
    'full': lambda w: _change_entry(w, capacity=Room(0.5, 16_000)),
}
"""States of a worker that gets no copies."""


def _change_entry(worker: Worker, **fields: Any) -> None:
    worker.entry = make_entry(worker.id, **fields)


@pytest.mark.parametrize('name', CLOSING)
def test_workers_that_get_no_copies(name: str) -> None:
    scene = make_scene()
    workers = scene.add_workers(2)
    scene.run_step(workers[0])
    CLOSING[name](workers[1])
    assert scene.choose(3.0) == []


def test_a_copy_is_never_beside_the_first_run() -> None:
    """Both runs were lost with one worker, or took its room twice."""
    scene = make_scene(CopyPolicy(max_share=1.0))
    scene.run_step(scene.add_workers(1)[0])
    assert scene.choose(3.0) == []


def test_a_copy_is_not_where_the_task_has_failed() -> None:
    scene = make_scene()
    task = scene.run_step(scene.add_workers(2)[0])
    task.failed_on.add('w1')
    assert scene.choose(3.0) == []


def test_other_rules_on_workers_hold_for_copies() -> None:
    """A copy was sent to a worker that the advice service does not allow."""
    scene = make_scene()
    scene.run_step(scene.add_workers(3)[0])
    (decision,) = scene.stragglers.choose(
        3.0, lambda task, worker: worker.id == 'w2'
    )
    assert decision.worker.id == 'w2'


def test_copies_avoid_slow_workers() -> None:
    scene = make_scene()
    workers = scene.add_workers(3)
    scene.run_step(workers[0])
    workers[1].slowdown = 3.0
    assert [d.worker.id for d in scene.choose(3.0)] == ['w2']


def test_copies_take_no_room_that_a_waiting_task_could_use() -> None:
    """Load: copies beside an overload, of which they made more."""
    scene = make_scene()
    workers = scene.add_workers(2)
    task = scene.run_step(workers[0])
    admit(scene.cluster, make_job('b', make_step(demand=Room(4.0, 100))))
    assert scene.choose(3.0) == []
    admit(scene.cluster, make_job('c', make_step(demand=Room(99.0, 100))))
    waiting = find_task(scene.cluster, 'b')
    scene.cluster.place([waiting], workers[1], 3.0)
    (decision,) = scene.choose(3.5)
    assert decision.slow.task is task


def test_nothing_is_copied_while_many_steps_wait() -> None:
    scene = make_scene()
    scene.run_step(scene.add_workers(2)[0])
    for number in range(MAX_WAITING_STEPS + 1):
        step = make_step(demand=Room(99.0, 100))
        admit(scene.cluster, make_job(f'b{number}', step))
    assert scene.choose(3.0) == []


def test_nothing_is_copied_while_a_long_running_task_waits() -> None:
    """Room that was gathered for an interrupted task went to a copy."""
    scene = make_scene()
    scene.run_step(scene.add_workers(2)[0])
    step = make_step(lasting=True, demand=Room(99.0, 100))
    admit(scene.cluster, make_job('b', step))
    find_task(scene.cluster, 'b').last_ended_at = 1.0
    assert scene.choose(4.0)
    scene = make_scene()
    scene.run_step(scene.add_workers(2)[0])
    admit(scene.cluster, make_job('b', step))
    find_task(scene.cluster, 'b').last_ended_at = 1.0
    assert scene.choose(6.0) == []


def test_copies_are_bounded_by_their_share_of_the_cores() -> None:
    """Load: all tasks of a worker become slow at once."""
    scene = make_scene(CopyPolicy(max_share=0.025))
    workers = scene.add_workers(2)
    spec = make_job('a', make_copyable_step(), policy=make_policy())
    admit(scene.cluster, spec)
    tasks = [find_task(scene.cluster, 'a', index=i) for i in range(30)]
    for task in tasks:
        start(scene.cluster, task, workers[0])
    for task in tasks[:10]:
        scene.cluster.end_run(task, EndKind.DONE, 1.0)
    first = scene.choose(3.0)
    assert len(first) == 2
    assert scene.choose(3.5) == []
    done = first[0].slow.task
    scene.cluster.end_run(done, EndKind.DONE, 4.0)
    assert scene.choose(4.5) == []
    running = tuple((task, 1) for task in tasks[10:] if task is not done)
    ended = ((done, 1, EndKind.STOPPED),)
    scene.report('w0', 5.0, running, ended)
    assert len(scene.choose(5.5)) == 1


def test_a_review_is_bounded() -> None:
    """Load: a rack becomes slow with hundreds of tasks.

    A review that copied all of them took longer than the timeout of a call.
    """
    scene = make_scene(CopyPolicy(max_share=1.0))
    workers = scene.add_workers(2, cores=200.0)
    step = make_copyable_step(count=2 * MAX_SEARCHES)
    admit(scene.cluster, make_job('a', step, policy=make_policy()))
    tasks = [find_task(scene.cluster, 'a', index=i) for i in range(step.count)]
    for task in tasks:
        start(scene.cluster, task, workers[0])
    for task in tasks[:STEP_SAMPLES]:
        scene.cluster.end_run(task, EndKind.DONE, 1.0)
    assert len(scene.choose(3.0)) == MAX_SEARCHES
    assert len(scene.choose(3.5)) == MAX_SEARCHES - STEP_SAMPLES


def test_a_slow_task_is_compared_with_a_sample_of_many_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: a slow task among a thousand workers."""
    scene = make_scene()
    scene.run_step(scene.add_workers(2 * MAX_COMPARED_WORKERS)[0])
    checks = record_checks(monkeypatch, 'can_start')
    assert len(scene.choose(3.0)) == 1
    assert len(checks) <= MAX_COMPARED_WORKERS


def test_reviews_are_not_more_often_than_they_need_be() -> None:
    scene = make_scene()
    assert scene.stragglers.is_due(1.0)
    assert not scene.stragglers.is_due(0.99 + REVIEW_SECONDS)
    assert scene.stragglers.is_due(1.0 + REVIEW_SECONDS)


def test_a_copy_that_runs_as_long_shows_that_the_task_is_long() -> None:
    """Load: the long tasks are long on each worker.

    Both runs went on to the end and took the room of two.
    """
    scene = make_scene()
    task = scene.copy()
    assert scene.stragglers.list_needless(5.9) == []
    assert scene.stragglers.list_needless(6.1) == [task]
    scene.cluster.begin_stop(task)
    assert scene.stragglers.list_needless(6.2) == []
    scene.report('w1', 6.5, ended=((task, 2, EndKind.STOPPED),))
    assert (task.worker, task.run, task.older) == ('w0', 1, None)
    assert scene.choose(LONG_FACTOR - 0.1) == []


def test_a_copy_is_not_needless_once_the_first_run_is_being_stopped() -> None:
    scene = make_scene()
    task = scene.copy()
    assert task.older is not None
    scene.cluster.begin_stop(task.older)
    assert scene.stragglers.list_needless(9.0) == []
