"""Objectives follow how long steps take, as callers' estimates are rough."""

from __future__ import annotations

import pytest

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.durations import MAX_STEPS, MIN_STEPS
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, Task
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.ranking import Timeliness, predict_timeliness
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    hand_over,
    make_job,
    make_policy,
    make_step,
    run_pass,
    run_task,
)

ESTIMATE = 1.0
LONGEST = 2.0


def make_cluster(max_ratio: float = 3.0) -> ClusterState:
    """Returns a state that learns durations, with a large worker."""
    cluster = ClusterState()
    cluster.durations.max_ratio = max_ratio
    add_worker(cluster, 'w', capacity=Room(1000.0, 1_000_000))
    return cluster


def finish_step(
    cluster: ClusterState, name: str, *seconds: float, throttled: bool = False
) -> Job:
    """Runs a job of one step whose tasks take these times."""
    step = make_step(count=len(seconds), estimated_seconds=ESTIMATE)
    job = admit(cluster, make_job(name, step))
    for task, took in zip(list(job.tasks.values()), seconds, strict=True):
        run_task(cluster, task, cluster.workers['w'], now=10.0)
        if throttled:
            task.cpu_percent = 50
        cluster.end_run(task, EndKind.DONE, 10.0 + took)
    return job


def learn(cluster: ClusterState, steps: int = MIN_STEPS) -> None:
    """Finishes steps that last twice as long as estimated."""
    for number in range(steps):
        finish_step(cluster, f'done-{number}', 0.9, LONGEST, 1.1)


def admit_urgent(cluster: ClusterState, name: str) -> Task:
    """Submits an urgent job that may take half as long again as its step."""
    policy = make_policy(stretch=1.5, target_seconds=0.0, priority=0)
    step = make_step(estimated_seconds=ESTIMATE, demand=Room(8.0, 1000))
    (task,) = admit(cluster, make_job(name, step, policy=policy)).tasks.values()
    return task


def test_a_step_lasts_as_long_as_its_longest_task() -> None:
    cluster = make_cluster()
    learn(cluster)
    job = admit(cluster, make_job('new'))
    assert job.durations.value == pytest.approx(LONGEST)
    assert job.objective == pytest.approx(2.0 * LONGEST + 1.0)
    assert job.get_critical_path(0) == pytest.approx(LONGEST)


def test_estimates_count_until_some_steps_have_finished() -> None:
    cluster = make_cluster()
    learn(cluster, MIN_STEPS - 1)
    assert admit(cluster, make_job('new')).objective == pytest.approx(3.0)


def test_estimates_count_where_the_policy_is_off() -> None:
    cluster = make_cluster(max_ratio=1.0)
    learn(cluster, MAX_STEPS)
    assert admit(cluster, make_job('new')).objective == pytest.approx(3.0)


def test_the_ratio_is_bounded() -> None:
    """Tasks on slow workers made every job seem to be in time."""
    cluster = make_cluster(max_ratio=1.5)
    learn(cluster)
    assert admit(cluster, make_job('new')).durations.value == 1.5


def test_estimates_that_are_too_high_make_no_objective_tighter() -> None:
    cluster = make_cluster()
    for number in range(MIN_STEPS):
        finish_step(cluster, f'done-{number}', 0.1, 0.2)
    assert admit(cluster, make_job('new')).objective == pytest.approx(3.0)


def test_throttled_runs_tell_nothing() -> None:
    """What waits for processor time would make objectives ever longer."""
    cluster = make_cluster()
    for number in range(MIN_STEPS):
        finish_step(cluster, f'done-{number}', 0.9, LONGEST, throttled=True)
    assert admit(cluster, make_job('new')).objective == pytest.approx(3.0)


def test_a_step_with_a_resumed_task_tells_nothing() -> None:
    """The last run of a task is shorter than the task."""
    cluster = make_cluster()
    for number in range(MIN_STEPS):
        step = make_step(count=2, estimated_seconds=ESTIMATE)
        job = admit(cluster, make_job(f'done-{number}', step))
        for task in list(job.tasks.values()):
            run_task(cluster, task, cluster.workers['w'], now=10.0)
            if task.id.index == 0:
                cluster.end_run(task, EndKind.STOPPED, 11.0)
                run_task(cluster, task, cluster.workers['w'], now=12.0)
            cluster.end_run(task, EndKind.DONE, 12.5)
    assert admit(cluster, make_job('new')).objective == pytest.approx(3.0)


def test_queues_learn_by_themselves() -> None:
    cluster = make_cluster()
    learn(cluster)
    other = make_job('other')
    assert cluster.durations.get_ratio('other').value == 1.0
    assert admit(cluster, other).durations.value == pytest.approx(LONGEST)


def test_urgent_work_with_rough_estimates_goes_before_long_running_tasks() -> (
    None
):
    """Urgent jobs lost their turn as soon as a rough estimate was used up."""
    placed_first = {}
    for is_learned in (False, True):
        cluster = make_cluster()
        if is_learned:
            learn(cluster)
        add_worker(cluster, 'w', capacity=Room(8.0, 16_000))
        watch = make_step(demand=Room(8.0, 1000), lasting=True, image='i')
        admit(cluster, make_job('watch', watch))
        urgent = admit_urgent(cluster, 'urgent')
        now = 0.8
        placed = run_pass(Placer(cluster, InterferenceModel()), now)
        placed_first[is_learned] = placed[0][0].job.spec.id
        expected = Timeliness.IN_TIME if is_learned else Timeliness.LATE
        assert predict_timeliness(urgent, now) is expected
    assert placed_first == {False: 'watch', True: 'urgent'}


def test_a_new_owner_goes_by_estimates_until_it_has_learned() -> None:
    """What the owner before has learned is in no row."""
    cluster = make_cluster()
    learn(cluster)
    admit(cluster, make_job('open'))
    restored = hand_over(cluster)
    restored.durations.max_ratio = 3.0
    assert restored.jobs['open'].objective == pytest.approx(3.0)
    add_worker(restored, 'w', capacity=Room(1000.0, 1_000_000))
    for number in range(MIN_STEPS):
        finish_step(restored, f'later-{number}', LONGEST)
    assert restored.jobs['open'].objective == pytest.approx(5.0)
