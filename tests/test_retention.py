"""Memory that is left of a job after its removal."""

from __future__ import annotations

import gc
import weakref

from lentilmount.control.retention import Retention
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.reports import EndKind
from tests.copy_fixtures import make_scene
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_task,
)


def _run_and_remove_job() -> list[weakref.ref[Task]]:
    """Runs and removes a job; returns weak references to its tasks."""
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=3)))
    worker = add_worker(cluster, 'w')
    references = []
    for index in range(3):
        task = find_task(cluster, 'a', 0, index)
        run_task(cluster, task, worker)
        cluster.end_run(task, EndKind.DONE, 2.0)
        references.append(weakref.ref(task))
    retention = Retention('desk', cluster, 1.0)
    old = retention.list_expired(100.0)
    assert [job.spec.id for job in old] == ['a']
    retention.forget(old)
    return references


def test_a_removed_job_is_freed_without_the_collector() -> None:
    """Reference cycles kept removed jobs in memory for a long time."""
    gc.collect()
    gc.disable()
    try:
        assert [reference() for reference in _run_and_remove_job()] == [
            None
        ] * 3
    finally:
        gc.enable()


def test_a_job_is_kept_until_all_runs_of_its_tasks_have_ended() -> None:
    """A run that lost against its copy was one of an unknown job."""
    scene = make_scene()
    task = scene.copy()
    scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
    retention = Retention('desk', scene.cluster, 1.0)
    assert retention.list_expired(100.0) == []
    scene.report('w0', 100.0, ended=((task, 1, EndKind.STOPPED),))
    assert retention.list_expired(100.0) == [task.job]


def test_a_copied_task_is_freed_without_the_collector() -> None:
    """Both runs of a task referred to each other for ever."""
    gc.collect()
    gc.disable()
    try:
        scene = make_scene()
        task = scene.copy()
        references = [weakref.ref(run) for run in (task, task.older)]
        scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
        scene.report('w0', 4.5, ended=((task, 1, EndKind.STOPPED),))
        scene.cluster.copies.take_outcomes()
        scene.cluster.copies.take_stops()
        retention = Retention('desk', scene.cluster, 1.0)
        retention.forget(retention.list_expired(100.0))
        del task
        assert [reference() for reference in references] == [None, None]
    finally:
        gc.enable()
