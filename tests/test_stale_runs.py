"""Workers that list an older run of a task that is about to be placed."""

from __future__ import annotations

import pytest

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reconciliation import Reconciler, ReconcileResult
from lentilmount.scheduling.reports import EndKind, StaleRun
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_end,
    make_job,
    make_report,
    make_running,
    run_task,
)


def lose_twice() -> tuple[ClusterState, Task, Worker]:
    """Returns a waiting task whose first run may still start on a worker."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    worker, other = (add_worker(cluster, name) for name in ('w', 'other'))
    for lost in (worker, other):
        run_task(cluster, task, lost)
        cluster.end_worker_tasks(lost, 2.0)
    return cluster, task, worker


def list_first_run(
    cluster: ClusterState, task: Task, now: float
) -> ReconcileResult:
    """Reports that the worker runs the first run."""
    report = make_report(running=(make_running(task, 1),))
    worker = cluster.workers['w']
    return Reconciler(cluster).reconcile(worker, report, now, now)


def test_a_task_waits_until_an_older_run_of_it_has_ended() -> None:
    """The task was placed while the older run was being stopped: two runs."""
    cluster, task, worker = lose_twice()
    result = list_first_run(cluster, task, 3.0)
    assert result.stale_runs == [StaleRun('w', str(task.id), 1)]
    assert result.adopted == [task]
    assert not cluster.ready
    assert worker.used == task.spec.reserved
    task.stopped_at = 3.5
    result = list_first_run(cluster, task, 4.0)
    assert result.stale_runs == [StaleRun('w', str(task.id), 1)]
    assert not cluster.ready
    assert worker.used == task.spec.reserved
    Reconciler(cluster).reconcile(worker, make_report(), 5.0, 5.0)
    assert list(cluster.ready) == [task.id]
    assert task.run == 2


def test_an_older_run_that_ends_as_done_completes_the_waiting_task() -> None:
    """The end of an older run that was being stopped must not be lost."""
    cluster, task, worker = lose_twice()
    list_first_run(cluster, task, 3.0)
    task.stopped_at = 3.5
    end = make_end(1, task, 1, EndKind.DONE)
    Reconciler(cluster).reconcile(worker, make_report(ended=(end,)), 4.0, 4.0)
    assert task.phase is TaskPhase.DONE


@pytest.mark.parametrize('is_sent', [True, False])
def test_a_placement_is_taken_back_for_an_older_run_until_it_is_sent(
    is_sent: bool,
) -> None:
    """A start that waited for its write was sent beside the older run."""
    cluster, task, _ = lose_twice()
    other = cluster.workers['other']
    cluster.place([task], other, 2.5)
    if is_sent:
        task.start_sent_at = 2.6
    list_first_run(cluster, task, 3.0)
    assert task.worker == ('other' if is_sent else 'w')
    assert (task.id in other.tasks) == is_sent


def test_an_older_run_is_waited_for_after_a_takeover() -> None:
    """The next owner placed the task while the older run was being stopped."""
    cluster, task, _ = lose_twice()
    list_first_run(cluster, task, 3.0)
    new = hand_over(cluster)
    add_worker(new, 'w')
    restored = find_task(new, 'a')
    list_first_run(new, restored, 5.0)
    assert not new.ready
    assert restored.phase is TaskPhase.STOPPING
