"""Ends of runs that are older than the current run of their task."""

from __future__ import annotations

import pytest

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import TaskPhase
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_end,
    make_job,
    make_report,
    run_task,
)


@pytest.mark.parametrize(
    'kind',
    [EndKind.LAPSED, EndKind.STOPPED, EndKind.FAILED],
    ids=lambda kind: kind.value,
)
def test_a_task_that_an_older_run_has_done_is_not_run_again(
    kind: EndKind,
) -> None:
    """An end as done was acknowledged and forgotten as a newer run was on.

    A worker that starts a run late, or twice, lists its end while the owner has
    placed the task elsewhere.
    """
    cluster = ClusterState()
    first, second = add_worker(cluster, 'w1'), add_worker(cluster, 'w2')
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    run_task(cluster, task, first)
    cluster.requeue(task)
    run_task(cluster, task, second)
    reconciler = Reconciler(cluster)
    report = make_report(ended=(make_end(1, task, 1, EndKind.DONE),))
    assert reconciler.reconcile(first, report, 2.0, 2.0).last_end_number == 1
    report = make_report(ended=(make_end(1, task, 2, kind),))
    reconciler.reconcile(second, report, 3.0, 3.0)
    assert task.phase is TaskPhase.DONE
