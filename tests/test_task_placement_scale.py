"""How much a pass over the queue looks at, on a large deployment."""

from __future__ import annotations

import pytest

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.views import WorkerView
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    make_entry,
    make_job,
    make_report,
    make_step,
    record_checks,
    run_pass,
)

WORKERS = 200
TASKS = 40


def count_looks(cluster: ClusterState, monkeypatch: pytest.MonkeyPatch) -> int:
    """Runs one pass; returns how often it asked whether a worker has room."""
    checks = record_checks(monkeypatch, 'can_start')
    run_pass(Placer(cluster, InterferenceModel()), 10.0)
    return len(checks)


@pytest.mark.parametrize(
    'step',
    [make_step(count=TASKS), make_step(count=TASKS, fills=True, image='f')],
)
def test_a_wide_step_looks_at_each_worker_once(
    step: StepSpec, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Asking all workers for each task of a step took an owner's processor."""
    cluster = ClusterState()
    for number in range(WORKERS):
        add_worker(cluster, f'w-{number}')
    admit(cluster, make_job('a', step))
    assert count_looks(cluster, monkeypatch) <= WORKERS + TASKS
    placed = [t for t in cluster.jobs['a'].tasks.values() if t.worker]
    assert len(placed) == TASKS


def _watch_renewals(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns a list that grows by each worker that is worked out anew."""
    renewed: list[str] = []
    renew = WorkerView.refresh

    def note(view: WorkerView, interference_model: InterferenceModel) -> None:
        renewed.append(view.worker.id)
        renew(view, interference_model)

    monkeypatch.setattr(WorkerView, 'refresh', note)
    return renewed


def test_a_pass_works_out_only_the_workers_that_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Working out all workers in each pass took a third of an owner's time."""
    cluster = ClusterState()
    workers = [add_worker(cluster, f'w-{n}') for n in range(WORKERS)]
    admit(cluster, make_job('big', make_step(demand=Room(99.0, 1))))
    renewed = _watch_renewals(monkeypatch)
    placer = Placer(cluster, InterferenceModel())
    run_pass(placer, 10.0)
    assert len(renewed) == WORKERS
    renewed.clear()
    for number in range(5):
        run_pass(placer, 10.01 + 0.01 * number)
    assert renewed == []
    Reconciler(cluster).reconcile(workers[3], make_report(), 10.06, 10.06)
    workers[5].entry = make_entry('w-5', capacity=Room(4.0, 16_000))
    run_pass(placer, 10.07)
    assert renewed == ['w-3', 'w-5']
    renewed.clear()
    run_pass(placer, 10.11)
    assert len(renewed) == WORKERS


def test_room_that_becomes_free_is_used_by_the_next_pass() -> None:
    """A task ends and another that waits for its room is started at once."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(count=2, demand=Room(8.0, 1000))))
    placer = Placer(cluster, InterferenceModel())
    ((first, _),) = run_pass(placer, 10.0)
    assert run_pass(placer, 10.01) == []
    cluster.end_run(first, EndKind.DONE, 10.02)
    ((second, there),) = run_pass(placer, 10.02)
    assert (second is not first, there) == (True, worker)
