"""What remains of a job that is over."""

from __future__ import annotations

import gc
import weakref

from lentilmount.control.retention import Retention
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_task,
)


def _forget_a_job() -> list[weakref.ref[Task]]:
    """Runs a job to its end and forgets it; returns what watches its tasks."""
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=3)))
    worker = add_worker(cluster, 'w')
    watches = []
    for index in range(3):
        task = find_task(cluster, 'a', 0, index)
        run_task(cluster, task, worker)
        cluster.end_run(task, EndKind.DONE, 2.0)
        watches.append(weakref.ref(task))
    retention = Retention('desk', cluster, 1.0)
    old = retention.list_expired(100.0)
    assert [job.spec.id for job in old] == ['a']
    retention.forget(old)
    return watches


def test_a_forgotten_job_leaves_nothing_for_the_collector() -> None:
    """Forgotten jobs kept their memory until the collector walked the book."""
    gc.collect()
    gc.disable()
    try:
        assert [watch() for watch in _forget_a_job()] == [None] * 3
    finally:
        gc.enable()
