"""Owners that take their own slowness for that of workers."""

from __future__ import annotations

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.hangs import (
    OVERDUE_FACTOR,
    OVERDUE_SECONDS,
    list_hanging,
)
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
)

ESTIMATE = 0.2
PLACED_AT = 1.0
START_DELAY = 3.0
"""Time that a start waits for a write and for an answer, where a second copy of
it was sent."""


def test_a_run_whose_start_waited_does_not_hang() -> None:
    """Healthy workers were quarantined as starts waited at the owner.

    The time from the decision on counted as run time, and the task was stopped.
    """
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(estimated_seconds=ESTIMATE)))
    task = find_task(cluster, 'a')
    cluster.place([task], worker, PLACED_AT)
    started_at = PLACED_AT + START_DELAY
    task.start_sent_at = started_at
    cluster.confirm_start(task, task.run, started_at)
    limit = OVERDUE_FACTOR * ESTIMATE + OVERDUE_SECONDS
    now = PLACED_AT + limit + 0.1
    assert now - started_at < limit
    assert list_hanging(worker, now) == []


def test_a_run_whose_start_waited_does_not_make_a_worker_slow() -> None:
    """Workers seemed ten times as slow as starts waited at the owner."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(estimated_seconds=ESTIMATE)))
    task = find_task(cluster, 'a')
    cluster.place([task], worker, PLACED_AT)
    started_at = PLACED_AT + START_DELAY
    task.start_sent_at = started_at
    cluster.confirm_start(task, task.run, started_at)
    WorkerHealth().record_end(worker, task, EndKind.DONE, started_at + ESTIMATE)
    assert worker.slowdown < 1.1
