"""Usual run times that are learned from finished tasks."""

from __future__ import annotations

import pytest

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.run_times import (
    IMAGE_SAMPLES,
    MAX_NAMES,
    QUEUE_SAMPLES,
    STEP_SAMPLES,
    RunTimes,
    measure_run_seconds,
)
from lentilmount.scheduling.specs import StepSpec
from tests.copy_fixtures import make_scene
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_task,
)


def make_task(job_id: str, step: StepSpec) -> Task:
    cluster = ClusterState()
    admit(cluster, make_job(job_id, step))
    task = find_task(cluster, job_id)
    run_task(cluster, task, add_worker(cluster, 'w'), 1.0)
    task.start_sent_at = 1.0
    return task


def record(times: RunTimes, seconds: list[float], **fields: object) -> None:
    for number, took in enumerate(seconds):
        times.record(make_task(f'j{number}', make_step(**fields)), 1.0 + took)


def test_the_finished_tasks_of_a_step_are_trusted_first() -> None:
    scene = make_scene()
    (worker,) = scene.add_workers(1)
    task = scene.run_step(worker, image='x', estimated_seconds=9.0)
    for _ in range(IMAGE_SAMPLES):
        scene.cluster.copies.run_times.record(
            make_task('b', make_step(image='x')), 51.0
        )
    usual = scene.cluster.copies.run_times.find_usual(task)
    assert usual == pytest.approx(1.0)


def test_ends_of_tasks_are_learned() -> None:
    scene = make_scene()
    (worker,) = scene.add_workers(1)
    scene.run_step(worker, image='x')
    usual = scene.cluster.copies.run_times.find_usual(
        make_task('b', make_step(image='x'))
    )
    assert usual == pytest.approx(1.0)


def test_nothing_is_learned_while_copies_are_off() -> None:
    scene = make_scene()
    scene.cluster.copies.is_enabled = False
    scene.run_step(scene.add_workers(1)[0], image='x')
    task = make_task('b', make_step(image='x'))
    assert scene.cluster.copies.run_times.find_usual(task) is None


def test_a_run_that_lost_against_another_tells_nothing() -> None:
    scene = make_scene()
    (worker,) = scene.add_workers(1)
    task = scene.run_step(worker, count=STEP_SAMPLES + 1)
    find_task(scene.cluster, 'a').is_done_elsewhere = True
    assert scene.cluster.copies.run_times.find_usual(task) is None


def test_too_few_tasks_of_a_step_tell_nothing() -> None:
    scene = make_scene()
    (worker,) = scene.add_workers(1)
    task = scene.run_step(worker, count=STEP_SAMPLES)
    assert scene.cluster.copies.run_times.find_usual(task) is None


def test_an_image_is_trusted_before_a_queue() -> None:
    times = RunTimes()
    record(times, [2.0] * IMAGE_SAMPLES, image='x')
    record(times, [5.0] * QUEUE_SAMPLES)
    step = make_step(image='x', estimated_seconds=3.0)
    assert times.find_usual(make_task('a', step)) == 2.0


def test_tasks_of_a_queue_are_compared_by_their_estimates() -> None:
    """Estimates are off by half or more, so that the longest tenth counts."""
    times = RunTimes()
    record(times, [0.5, 1.0, 1.0, 1.9] * (QUEUE_SAMPLES // 4))
    step = make_step(estimated_seconds=3.0)
    assert times.find_usual(make_task('a', step)) == pytest.approx(5.7)


def test_without_finished_tasks_nothing_is_usual() -> None:
    """The estimate alone was taken for the usual run time."""
    times = RunTimes()
    record(times, [1.0] * (QUEUE_SAMPLES - 1))
    assert times.find_usual(make_task('a', make_step())) is None


def test_a_task_without_an_estimate_is_not_compared_with_its_queue() -> None:
    times = RunTimes()
    record(times, [1.0] * QUEUE_SAMPLES)
    step = make_step(estimated_seconds=0.0)
    assert times.find_usual(make_task('a', step)) is None


def test_runs_that_tell_nothing_are_left_out() -> None:
    times = RunTimes()
    resumed = make_task('a', make_step(image='x'))
    resumed.checkpoint, resumed.run = 'c', 2
    lasting = make_task('b', make_step(image='x', lasting=True))
    inherited = make_task('c', make_step(image='x'))
    inherited.placed_at = 0.0
    for task in (resumed, lasting, inherited):
        for _ in range(QUEUE_SAMPLES):
            times.record(task, 2.0)
    assert times.find_usual(make_task('d', make_step(image='x'))) is None
    assert measure_run_seconds(inherited, 2.0) is None


def test_a_start_that_waited_is_no_run_time() -> None:
    """A task counted as slow from its placement, which was sent late."""
    task = make_task('a', make_step())
    task.placed_at, task.start_sent_at = 1.0, 4.0
    assert measure_run_seconds(task, 5.0) == 1.0


def test_the_names_kept_are_bounded() -> None:
    times = RunTimes()
    record(times, [1.0] * IMAGE_SAMPLES, image='first')
    for number in range(MAX_NAMES):
        record(times, [1.0], image=f'image-{number}')
    step = make_step(image='first', estimated_seconds=0.0)
    assert times.find_usual(make_task('a', step)) is None
