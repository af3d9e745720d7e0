"""Cost of a placement pass on a large deployment, in checks and refreshes."""

from __future__ import annotations

import pytest

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.placement import MAX_LONG_RUNNING_STARTS, Placer
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.views import REFRESH_SECONDS, WorkerView
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    make_entry,
    make_job,
    make_policy,
    make_report,
    make_step,
    record_checks,
    run_pass,
)

WORKERS = 200
TASKS = 40


def count_checks(cluster: ClusterState, monkeypatch: pytest.MonkeyPatch) -> int:
    """Runs one pass; returns how often it checked whether a task fits."""
    checks = record_checks(monkeypatch, 'can_start')
    run_pass(Placer(cluster, InterferenceModel()), 10.0)
    return len(checks)


@pytest.mark.parametrize(
    'step',
    [make_step(count=TASKS), make_step(count=TASKS, fills=True, image='f')],
)
def test_wide_step_checks_each_worker_once(
    step: StepSpec, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Checking all workers for each task of a step took an owner's CPU time."""
    cluster = ClusterState()
    for number in range(WORKERS):
        add_worker(cluster, f'w-{number}')
    admit(cluster, make_job('a', step))
    assert count_checks(cluster, monkeypatch) <= WORKERS + TASKS
    placed = [t for t in cluster.jobs['a'].tasks.values() if t.worker]
    assert len(placed) == TASKS


def _record_refreshes(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns a list that is extended by the id of each refreshed worker."""
    refreshed: list[str] = []
    refresh = WorkerView.refresh

    def record(view: WorkerView, interference_model: InterferenceModel) -> None:
        refreshed.append(view.worker.id)
        refresh(view, interference_model)

    monkeypatch.setattr(WorkerView, 'refresh', record)
    return refreshed


def test_pass_refreshes_only_changed_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Refreshing all workers in each pass took 1/3 of an owner's CPU time."""
    cluster = ClusterState()
    workers = [add_worker(cluster, f'w-{n}') for n in range(WORKERS)]
    admit(cluster, make_job('big', make_step(demand=Room(99.0, 1))))
    refreshed = _record_refreshes(monkeypatch)
    placer = Placer(cluster, InterferenceModel())
    run_pass(placer, 10.0)
    assert len(refreshed) == WORKERS
    refreshed.clear()
    for number in range(5):
        run_pass(placer, 10.01 + 0.01 * number)
    assert refreshed == []
    Reconciler(cluster).reconcile(workers[3], make_report(), 10.06, 10.06)
    workers[5].entry = make_entry('w-5', capacity=Room(4.0, 16_000))
    run_pass(placer, 10.07)
    assert refreshed == ['w-3', 'w-5']
    refreshed.clear()
    run_pass(placer, 9.99 + REFRESH_SECONDS)
    assert refreshed == []
    run_pass(placer, 10.01 + REFRESH_SECONDS)
    assert len(refreshed) == WORKERS


def test_released_resources_are_used_by_the_next_pass() -> None:
    """A task that waits for the resources of another starts when that ends."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(count=2, demand=Room(8.0, 1000))))
    placer = Placer(cluster, InterferenceModel())
    ((first, _),) = run_pass(placer, 10.0)
    assert run_pass(placer, 10.01) == []
    cluster.end_run(first, EndKind.DONE, 10.02)
    ((second, worker_of_second),) = run_pass(placer, 10.02)
    assert (second is not first, worker_of_second) == (True, worker)


def test_a_pass_over_thousands_of_long_running_tasks_is_bounded() -> None:
    """The first pass of an owner blocked it for 1.7 s.

    Hundreds of long-running jobs arrive at once when a system starts. Urgent
    tasks, which are placed first, were sent only after that pass, and the
    owner's lease of 2 s was not renewed.
    """
    cluster = ClusterState()
    for number in range(WORKERS):
        add_worker(cluster, f'w-{number}', capacity=Room(32.0, 128_000))
    step = make_step(
        count=24, demand=Room(6.0, 6000), lasting=True, image='watch'
    )
    for number in range(20):
        admit(cluster, make_job(f'watch-{number}', step))
    placer = Placer(cluster, InterferenceModel())
    passes: list[int] = []
    while not passes or placer.is_incomplete:
        passes.append(len(run_pass(placer, 10.0 + 0.01 * len(passes))))
    assert max(passes) <= MAX_LONG_RUNNING_STARTS
    assert sum(passes) == 20 * 24
    urgent = make_job('urgent', make_step(), policy=make_policy(stretch=99.0))
    for number in range(20, 25):
        admit(cluster, make_job(f'watch-{number}', step))
    admit(cluster, urgent).accepted_at = 11.0
    placed = run_pass(placer, 11.0)
    assert placed[0][0].id.job == 'urgent'
