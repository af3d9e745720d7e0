"""Which jobs are counted as pending."""

from __future__ import annotations

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_end,
    make_job,
    make_report,
    make_running,
    make_step,
)


def test_job_is_pending_until_a_worker_has_started_it() -> None:
    """Jobs whose start commands never arrived were counted as started."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    worker = add_worker(cluster, 'cut')
    cluster.place([task], worker, 1.0)
    name = task.job.spec.queue.name
    assert cluster.count_pending() == {name: 1}
    new = hand_over(cluster)
    assert new.count_pending() == {name: 1}
    cluster.confirm_start(task, task.run, 2.0)
    assert cluster.count_pending() == {name: 0}
    cluster.end_run(task, EndKind.LAPSED, 3.0)
    assert cluster.count_pending() == {name: 0}
    report = make_report(running=(make_running(task, task.run),))
    Reconciler(new).reconcile(new.workers['cut'], report, 5.0, 5.0)
    assert new.count_pending() == {name: 0}


def test_new_owner_derives_started_jobs_from_ends_and_checkpoints() -> None:
    """Jobs with ends or checkpoints from before a takeover count as started."""
    for kind, checkpoint in (
        (EndKind.DONE, ''),
        (EndKind.FAILED, ''),
        (EndKind.STOPPED, '0a'),
    ):
        cluster = ClusterState()
        admit(cluster, make_job('a', make_step(count=2)))
        task = find_task(cluster, 'a')
        cluster.place([task], add_worker(cluster, 'w'), 1.0)
        report = make_report(ended=(make_end(1, task, 1, kind, checkpoint),))
        Reconciler(cluster).reconcile(cluster.workers['w'], report, 2.0, 2.0)
        for owner in (cluster, hand_over(cluster)):
            assert set(owner.count_pending().values()) == {0}
