"""Order of tasks, choice of workers, and quarantine of workers."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.hangs import HANG_SECONDS, list_hanging
from lentilmount.scheduling.health import (
    MAX_FAILED_JOBS,
    PROBATION_SECONDS,
    QUARANTINE_SECONDS,
    WorkerHealth,
)
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.placement import MAX_FAILED_STEPS, Placer
from lentilmount.scheduling.ranking import sort_steps
from lentilmount.scheduling.reports import EndKind, WorkerState
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_policy,
    make_step,
    record_checks,
    run_pass,
    run_task,
)


def run_one_pass(
    cluster: ClusterState, now: float = 10.0
) -> list[tuple[Task, Worker]]:
    """Runs one placement pass with an empty interference model."""
    return run_pass(Placer(cluster, InterferenceModel()), now)


def test_worker_capacity_is_never_exceeded() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(count=9)))
    assert len(run_one_pass(cluster)) == 4
    assert worker.used == Room(8.0, 4000)
    assert run_one_pass(cluster) == []


def test_best_effort_tasks_reserve_memory_but_no_cores() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(count=2, fills=True, image='f')))
    assert len(run_one_pass(cluster)) == 2
    assert worker.used == Room(0.0, 2000)


def test_labels_and_limits_per_worker_are_respected() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'plain')
    special = add_worker(cluster, 'special', labels=('b', 'r1'))
    admit(
        cluster, make_job('a', make_step(count=3, label='b', most_per_worker=2))
    )
    assert [w for _, w in run_one_pass(cluster)] == [special, special]


def test_unavailable_workers_get_no_tasks() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'leaving', state=WorkerState.DRAINING)
    add_worker(cluster, 'silent').reachable = False
    add_worker(cluster, 'opaque').runs_unknown_tasks = True
    add_worker(cluster, 'closed').quarantined_until = 99.0
    add_worker(cluster, 'gone').is_registered = False
    admit(cluster, make_job('a'))
    assert run_one_pass(cluster) == []


def test_failed_task_runs_on_another_worker() -> None:
    cluster = ClusterState()
    first = add_worker(cluster, 'first')
    second = add_worker(cluster, 'second')
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    run_task(cluster, task, first)
    cluster.end_run(task, EndKind.FAILED, 2.0)
    assert [w for _, w in run_one_pass(cluster)] == [second]


def test_infeasible_steps_do_not_block_best_effort_tasks() -> None:
    """Urgent jobs that did not fit blocked best-effort tasks, which did."""
    cluster = ClusterState()
    add_worker(cluster, 'w')
    for number in range(3 * MAX_FAILED_STEPS):
        step = make_step(demand=Room(9.0, 1000))
        admit(cluster, make_job(f'urgent-{number}', step))
    low = make_policy(priority=2)
    admit(cluster, make_job('low', make_step(fills=True), policy=low))
    assert [task.id.job for task, _ in run_one_pass(cluster)] == ['low']


def test_infeasible_steps_of_all_sizes_do_not_block_best_effort_tasks() -> None:
    """40 infeasible sizes ended the pass before any best-effort task."""
    cluster = ClusterState()
    add_worker(cluster, 'w')
    for number in range(3 * MAX_FAILED_STEPS):
        # Each requests less than the one before, so it is not skipped.
        step = make_step(demand=Room(90.0 - number / 10, 1000))
        admit(cluster, make_job(f'urgent-{number}', step))
    low = make_policy(priority=2)
    admit(cluster, make_job('low', make_step(fills=True), policy=low))
    assert [task.id.job for task, _ in run_one_pass(cluster)] == ['low']


def test_infeasible_long_running_steps_do_not_block_a_small_one() -> None:
    """The largest step goes first and does not rule out smaller ones."""
    cluster = ClusterState()
    add_worker(cluster, 'w')
    for number in range(3 * MAX_FAILED_STEPS):
        large = make_step(demand=Room(90.0 - number / 10, 1000), lasting=True)
        admit(cluster, make_job(f'large-{number}', large))
    small = make_step(demand=Room(1.0, 1000), lasting=True)
    admit(cluster, make_job('small', small))
    assert [task.id.job for task, _ in run_one_pass(cluster)] == ['small']


def test_larger_step_is_not_tried_after_an_infeasible_smaller_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A step that fits nowhere rules out all larger ones in the same pass."""
    cluster = ClusterState()
    add_worker(cluster, 'few-cores')
    add_worker(cluster, 'little-memory', capacity=Room(99.0, 500))
    for number in range(20):
        step = make_step(demand=Room(9.0 + number, 1000))
        admit(cluster, make_job(f'urgent-{number:02}', step))
    checks = record_checks(monkeypatch, 'can_start')
    assert run_one_pass(cluster) == []
    assert checks == [
        ('few-cores', 'urgent-00'),
        ('little-memory', 'urgent-00'),
    ]


def test_gang_is_placed_whole_or_not_at_all() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(count=5, gang=True)))
    assert run_one_pass(cluster) == []
    assert all(
        t.phase is TaskPhase.WAITING and t.run == 0
        for t in cluster.jobs['a'].tasks.values()
    )
    add_worker(cluster, 'v')
    placed = run_one_pass(cluster)
    assert len(placed) == 5
    assert {task.run for task, _ in placed} == {1}


def test_same_rack_gang_is_placed_on_one_rack() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'a', labels=('a', 'r1'))
    add_worker(cluster, 'b', labels=('a', 'r2'))
    add_worker(cluster, 'c', labels=('a', 'r2'))
    step = make_step(count=4, gang=True, same_rack=True)
    admit(cluster, make_job('j', step))
    racks = {worker.rack for _, worker in run_one_pass(cluster)}
    assert len(racks) == 1


def test_tasks_are_placed_near_their_data() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'far', labels=('a', 'r1'))
    near = add_worker(cluster, 'near', labels=('a', 'r2'))
    admit(cluster, make_job('a', make_step(rack='r2')))
    assert [w for _, w in run_one_pass(cluster)] == [near]


def test_jobs_in_time_go_before_late_jobs() -> None:
    """Ordered by deadline alone, a late job makes the next one late as well."""
    cluster = ClusterState()
    policy = make_policy(stretch=1.0, target_seconds=2.0)
    late = admit(cluster, make_job('late', policy=policy))
    late.accepted_at = -10.0
    fresh = admit(cluster, make_job('fresh', policy=policy))
    order = [s[0].job for s in sort_steps(cluster.ready.values(), 1.0)]
    assert order == [fresh, late]


def test_started_best_effort_jobs_go_before_new_ones() -> None:
    """Sharing the slots by deadline made every best-effort job late."""
    cluster = ClusterState()
    small = make_step(count=2, fills=True, image='f', after=())
    large = make_step(count=5, fills=True, image='f')
    begun = admit(cluster, make_job('begun', large))
    admit(cluster, make_job('large', large))
    admit(cluster, make_job('small', small))
    due = make_policy(stretch=1.5)
    admit(cluster, make_job('due', large, policy=due))
    worker = add_worker(cluster, 'w')
    run_task(cluster, find_task(cluster, 'begun'), worker)
    assert begun.was_placed
    steps = sort_steps(cluster.ready.values(), now=0.1)
    assert [s[0].id.job for s in steps][:2] == ['begun', 'small']


def test_priority_goes_before_deadline() -> None:
    cluster = ClusterState()
    low = admit(cluster, make_job('low', policy=make_policy(priority=2)))
    low.accepted_at = -1.0
    high = admit(cluster, make_job('high', policy=make_policy(priority=0)))
    order = [s[0].job for s in sort_steps(cluster.ready.values(), 1.0)]
    assert order == [high, low]


def test_long_running_steps_that_arrive_together_are_grouped_by_image() -> None:
    cluster = ClusterState()
    for name in 'vw':
        add_worker(cluster, name)
    for number, image in enumerate(('x', 'y', 'x', 'y')):
        step = make_step(count=2, lasting=True, image=image, target_ms=50.0)
        admit(cluster, make_job(f'j{number}', step))
    assert run_one_pass(cluster, now=0.1) == []
    images: dict[str, set[str]] = {}
    for task, worker in run_one_pass(cluster, now=0.3):
        images.setdefault(worker.id, set()).add(task.spec.image)
    assert sorted(len(found) for found in images.values()) == [1, 1]


def test_steps_limited_per_worker_share_workers_of_their_image() -> None:
    """Limited steps placed last kept more workers from best-effort tasks."""
    cluster = ClusterState()
    for number in range(6):
        add_worker(cluster, f'w{number}')
    image = {'lasting': True, 'image': 'x', 'target_ms': 50.0}
    admit(cluster, make_job('wide', make_step(count=9, **image)))
    bounded = make_step(count=3, most_per_worker=1, **image)
    admit(cluster, make_job('bounded', bounded))
    admit(
        cluster,
        make_job('other', make_step(count=8, **{**image, 'image': 'y'})),
    )
    placed = run_one_pass(cluster, now=1.0)
    workers = {worker.id for task, worker in placed if task.spec.image == 'x'}
    # The image has twelve tasks that each need a quarter of a worker.
    assert len(placed) == 20
    assert len(workers) == 3


def test_worker_that_fails_everything_is_quarantined_and_tested() -> None:
    """A failing worker, always free, used up the attempts of job after job."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    health = WorkerHealth()
    was_quarantined = False
    for number in range(MAX_FAILED_JOBS):
        admit(cluster, make_job(f'j{number}'))
        task = find_task(cluster, f'j{number}')
        run_task(cluster, task, worker)
        cluster.end_run(task, EndKind.FAILED, 2.0)
        was_quarantined = health.record_end(worker, task, EndKind.FAILED, 2.0)
    assert was_quarantined
    assert run_one_pass(cluster, now=2.5) == []
    assert len(run_one_pass(cluster, now=2.1 + QUARANTINE_SECONDS)) == 1


def test_one_failing_job_does_not_quarantine_a_worker() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    health = WorkerHealth()
    admit(cluster, make_job('bad', make_step(count=9)))
    for index in range(9):
        task = find_task(cluster, 'bad', 0, index)
        assert not health.record_end(worker, task, EndKind.FAILED, 1.0)


def test_task_without_cpu_usage_hangs() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    run_task(cluster, task, worker, 0.0)
    task.idle_since = 1.0
    assert list_hanging(worker, 1.0 + HANG_SECONDS) == []
    assert list_hanging(worker, 1.1 + HANG_SECONDS) == [task]


def test_worker_on_probation_gets_one_new_task() -> None:
    """An old long-running task counted as the test and blocked the worker."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('old', make_step(lasting=True)))
    run_task(cluster, find_task(cluster, 'old'), worker, 0.0)
    health = WorkerHealth()
    health.quarantine(worker, 10.0)
    admit(cluster, make_job('new', make_step(count=3, lasting=True)))
    quarantine_end = worker.quarantined_until + 1.0
    placed = run_one_pass(cluster, now=quarantine_end)
    assert len(placed) == 1
    task = placed[0][0]
    cluster.confirm_start(task, task.run, quarantine_end)
    health.end_probations([worker], quarantine_end + 0.5)
    assert run_one_pass(cluster, now=quarantine_end + 0.5) == []
    health.end_probations([worker], quarantine_end + 0.1 + PROBATION_SECONDS)
    assert (
        len(run_one_pass(cluster, now=quarantine_end + 0.1 + PROBATION_SECONDS))
        == 2
    )


def test_a_worker_over_a_target_gets_nothing_that_fills() -> None:
    """New best-effort tasks ran until the next poll and kept the tail high."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    step = make_step(lasting=True, image='web', target_ms=50.0)
    admit(cluster, make_job('serving', step))
    serving_task = find_task(cluster, 'serving')
    run_task(cluster, serving_task, worker, 0.0)
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'light', 0.0]])
    admit(cluster, make_job('fill', make_step(fills=True, image='light')))
    placer = Placer(cluster, interference_model)
    serving_task.usage = 60.0
    interference_model.observe(worker, 9.0)
    assert run_pass(placer, 10.0) == []
    serving_task.usage = 20.0
    interference_model.observe(worker, 11.0)
    assert len(run_pass(placer, 11.0)) == 1


def test_ends_of_the_previous_owners_time_close_no_worker() -> None:
    """Old failures reported after a takeover quarantined 1/3 of the workers."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    health = WorkerHealth()
    for number in range(MAX_FAILED_JOBS + 1):
        admit(cluster, make_job(f'j{number}'))
        task = find_task(cluster, f'j{number}')
        assert not health.record_end(worker, task, EndKind.FAILED, 2.0)


class PlacementMachine(RuleBasedStateMachine):
    """Random submissions, run ends, lease expiries and cancellations."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = ClusterState()
        self.placer = Placer(self.cluster, InterferenceModel())
        self.now = 0.0
        self.jobs = 0
        for number in range(3):
            add_worker(self.cluster, f'w{number}', labels=('a', f'r{number}'))

    @rule(
        count=strategies.integers(1, 6),
        cores=strategies.floats(0.5, 9.0),
        fills=strategies.booleans(),
        gang=strategies.booleans(),
        most=strategies.integers(0, 2),
    )
    def submit(
        self, count: int, cores: float, fills: bool, gang: bool, most: int
    ) -> None:
        step = make_step(
            count=count,
            demand=Room(round(cores, 3), 3000),
            fills=fills,
            gang=gang,
            most_per_worker=most,
            image='f' if fills else '',
        )
        admit(self.cluster, make_job(f'j{self.jobs}', step))
        self.jobs += 1

    @rule(seconds=strategies.floats(0.01, 2.0))
    def run_placement_pass(self, seconds: float) -> None:
        self.now += seconds
        for task, _ in self.placer.place(self.now, lambda t, w: True):
            self.cluster.confirm_start(task, task.run, self.now)

    @rule(
        number=strategies.integers(0, 2),
        kind=strategies.sampled_from(list(EndKind)),
    )
    def end(self, number: int, kind: EndKind) -> None:
        worker = self.cluster.workers[f'w{number}']
        for task in list(worker.tasks.values())[:1]:
            self.cluster.end_run(task, kind, self.now)

    @rule(number=strategies.integers(0, 2))
    def expire_leases(self, number: int) -> None:
        self.cluster.end_worker_tasks(
            self.cluster.workers[f'w{number}'], self.now
        )

    @rule(number=strategies.integers(0, 9))
    def cancel(self, number: int) -> None:
        self.cluster.cancel(f'j{number}', self.now)

    @invariant()
    def no_worker_exceeds_its_capacity(self) -> None:
        for worker in self.cluster.workers.values():
            assert worker.used.fits(worker.entry.capacity)

    @invariant()
    def each_task_is_placed_at_most_once(self) -> None:
        for job in self.cluster.jobs.values():
            for task in job.tasks.values():
                workers_with_task = [
                    worker.id
                    for worker in self.cluster.workers.values()
                    if task.id in worker.tasks
                ]
                placed = [task.worker] if task.phase.is_placed else []
                assert workers_with_task == placed
                is_waiting = task.phase is TaskPhase.WAITING
                are_done = self.cluster.are_predecessors_done(task)
                assert (task.id in self.cluster.ready) == (
                    is_waiting and are_done
                )


PlacementMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestPlacementMachine = PlacementMachine.TestCase
