"""Long-running tasks of a lost availability zone are soon placed again."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilmount.resources import Room
from lentilmount.scheduling.candidates import LongRunningCandidates
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.costs import CostModel
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.placement import MAX_LONG_RUNNING_STARTS, Placer
from lentilmount.scheduling.ranking import RESTART_OVERDUE_SECONDS
from lentilmount.scheduling.sampling import MAX_COMPARED_WORKERS
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.views import (
    MAX_REFRESHES,
    REFRESH_SECONDS,
    WorkerView,
    WorkerViews,
)
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    record_checks,
    run_pass,
    run_task,
)

WORKERS = 1000
ZONES = ('a', 'b', 'c', 'd')
TASKS = 14
LOST_AT = 100.0
OVERDUE_AT = LOST_AT + RESTART_OVERDUE_SECONDS


def make_fleet(workers: int = WORKERS) -> ClusterState:
    """Returns workers spread evenly over four zones."""
    cluster = ClusterState()
    for number in range(workers):
        add_worker(
            cluster,
            f'w{number:04}',
            zone=ZONES[number % len(ZONES)],
            capacity=Room(16.0, 64_000),
            labels=('a', f'r{number // 8}'),
        )
    return cluster


def make_watch(**fields: object) -> StepSpec:
    """Returns a long-running step that serves."""
    given_fields = {
        'count': TASKS,
        'demand': Room(3.2, 6400),
        'lasting': True,
        'image': 'i',
        'target_ms': 50.0,
    }
    return make_step(**{**given_fields, **fields})


def lose_zone(cluster: ClusterState, jobs: int) -> list[Task]:
    """Runs jobs on all zones, then loses one; returns the lost tasks."""
    workers = list(cluster.workers.values())
    for number in range(jobs):
        admit(cluster, make_job(f'{number:016x}', make_watch()))
        for index in range(TASKS):
            task = find_task(cluster, f'{number:016x}', index=index)
            worker = workers[(number + 61 * index) % len(workers)]
            run_task(cluster, task, worker)
    lost = []
    for worker in workers:
        if worker.entry.zone == ZONES[0]:
            lost += cluster.end_worker_tasks(worker, LOST_AT)
            worker.reachable = False
    return lost


def test_tasks_of_a_lost_zone_are_placed_within_few_comparisons(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lost tasks waited for 19 s while each step in turn asked all workers."""
    cluster = make_fleet()
    lost = lose_zone(cluster, jobs=80)
    assert len(lost) > 4 * MAX_LONG_RUNNING_STARTS
    placer = Placer(cluster, InterferenceModel())
    checks = record_checks(monkeypatch, 'accepts')
    placed: list[Task] = []
    passes = 0
    while not passes or placer.is_incomplete:
        placed += [t for t, _ in run_pass(placer, OVERDUE_AT + 0.01 * passes)]
        passes += 1
    assert set(placed) == set(lost)
    assert passes == -(-len(lost) // MAX_LONG_RUNNING_STARTS)
    steps = {task.job.spec.id for task in lost}
    searches = len(steps) + passes
    assert len(checks) <= 2 * MAX_COMPARED_WORKERS * searches + len(lost)


def test_summaries_of_thousands_of_workers_are_refreshed_in_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Refreshing all summaries took half of the time of each pass."""
    cluster = make_fleet()
    views = WorkerViews(cluster, InterferenceModel())
    views.list_open(1.0)
    refreshed: list[str] = []
    monkeypatch.setattr(
        WorkerView,
        'refresh',
        lambda view, _: refreshed.append(view.worker.id),
    )
    monkeypatch.setattr(WorkerView, 'is_outdated', False)
    passes = -(-WORKERS // MAX_REFRESHES)
    for number in range(passes):
        refreshed_before = len(refreshed)
        views.list_open(1.0 + REFRESH_SECONDS + 0.01 * number)
        assert len(refreshed) - refreshed_before <= MAX_REFRESHES
    assert set(refreshed) == set(cluster.workers)


@given(
    taken=st.lists(st.integers(0, 11), max_size=20),
    elsewhere=st.lists(st.integers(0, 11), max_size=6),
    limit=st.integers(0, 2),
)
@settings(max_examples=60, derandomize=True)
def test_shared_costs_choose_as_the_costs_of_single_tasks_do(
    taken: list[int], elsewhere: list[int], limit: int
) -> None:
    cluster = make_fleet(12)
    workers = list(cluster.workers.values())
    for count, number in enumerate(taken):
        if workers[number].used.cores <= 10.0:
            name = f'other-{count}'
            admit(cluster, make_job(name, make_watch(count=1, image='j')))
            run_task(cluster, find_task(cluster, name), workers[number])
    step = make_watch(most_per_worker=limit, demand=Room(1.0, 1000))
    job = admit(cluster, make_job('job', step))
    tasks = list(job.tasks.values())
    for task, number in zip(tasks, elsewhere, strict=False):
        run_task(cluster, task, workers[number])
    model = InterferenceModel()
    views = WorkerViews(cluster, model).list_open(2.0)
    costs = CostModel(cluster, model)
    first = tasks[len(elsewhere)]
    candidates = LongRunningCandidates(
        first,
        lambda task, worker: True,
        costs.make_lone_cost(first),
        costs.make_spread(first),
        lambda task, view: True,
    )
    candidates.evaluate(views)
    for task in tasks[len(elsewhere) :]:
        cost = costs.make_cost_function(task)
        fitting = [view for view in views if view.can_start(task)]
        lowest = min(map(cost, fitting), default=None)
        chosen = candidates.find_cheapest(task)
        assert (chosen is None) == (lowest is None)
        if chosen is None:
            break
        assert cost(chosen) == pytest.approx(lowest)
        run_task(cluster, task, chosen.worker)
        chosen.refresh(model)
        candidates.refresh(chosen)


def test_workers_that_keep_headroom_are_passed_over() -> None:
    """A long-running task took the room that urgent tasks are about to need."""
    cluster = make_fleet(3)
    job = admit(cluster, make_job('job', make_watch(count=1)))
    (task,) = job.tasks.values()
    model = InterferenceModel()
    views = WorkerViews(cluster, model).list_open(2.0)
    costs = CostModel(cluster, model)
    allowed = {'w0002'}
    candidates = LongRunningCandidates(
        task,
        lambda task, worker: True,
        costs.make_lone_cost(task),
        costs.make_spread(task),
        lambda task, view: view.worker.id in allowed,
    )
    candidates.evaluate(views)
    found = candidates.find_cheapest(task)
    assert found is not None and found.worker.id == 'w0002'
    allowed.clear()
    assert candidates.find_cheapest(task) is None
    assert candidates.has_headroom_only


def test_a_reserved_worker_is_in_no_sample() -> None:
    """Among thousands, small tasks near their data took a reserved worker."""
    cluster = ClusterState()
    for number in range(WORKERS):
        add_worker(cluster, f'w{number:04}', capacity=Room(1.0, 16_000))
    large = add_worker(
        cluster, 'large', capacity=Room(8.0, 64_000), labels=('a', 'data')
    )
    gone = add_worker(cluster, 'gone', capacity=Room(8.0, 64_000))
    admit(cluster, make_job('short', make_step(demand=Room(7.0, 1000))))
    run_task(cluster, find_task(cluster, 'short'), large)
    admit(cluster, make_job('watch', make_watch(count=1)))
    run_task(cluster, find_task(cluster, 'watch'), gone)
    cluster.end_worker_tasks(gone, LOST_AT)
    gone.reachable = False
    near_data = make_step(demand=Room(0.5, 1000), rack='data')
    admit(cluster, make_job('small', near_data))
    placed = run_pass(Placer(cluster, InterferenceModel()), OVERDUE_AT)
    assert [task.job.spec.id for task, _ in placed] == ['small']
    assert placed[0][1] is not large
