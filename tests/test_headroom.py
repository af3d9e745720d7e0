"""Headroom for urgent tasks under overload by long-running tasks."""

from __future__ import annotations

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.headroom import (
    AVERAGING_SECONDS,
    MAX_HEADROOM_WAIT_SECONDS,
)
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_policy,
    make_step,
    run_pass,
    run_task,
)

PASS_SECONDS = 0.1

RESTART_LIMIT_SECONDS = 6.0
"""Time within which an interrupted long-running task must run again."""

LONG_RUNNING = make_step(demand=Room(4.0, 1000), lasting=True, image='x')
URGENT = make_step(demand=Room(2.0, 1000))


def place_ready(placer: Placer, now: float) -> list[str]:
    """Runs a pass; returns the job ids of the placed tasks."""
    placed = run_pass(placer, now)
    return [task.id.job for task, _ in placed]


def test_urgent_tasks_go_before_waiting_long_running_tasks() -> None:
    """A long-running task took the core that an urgent job needed at once."""
    cluster = ClusterState()
    add_worker(cluster, 'w', capacity=Room(4.0, 16_000))
    admit(cluster, make_job('lasting', LONG_RUNNING))
    urgent = make_policy(stretch=9.0)
    admit(cluster, make_job('urgent', URGENT, policy=urgent))
    placer = Placer(cluster, InterferenceModel())
    assert place_ready(placer, 5.0) == ['urgent']


def test_late_urgent_job_does_not_go_before_long_running_tasks() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'w', capacity=Room(4.0, 16_000))
    admit(cluster, make_job('lasting', LONG_RUNNING))
    admit(cluster, make_job('late', URGENT))
    assert place_ready(Placer(cluster, InterferenceModel()), 5.0) == ['lasting']


def test_long_running_tasks_leave_headroom_for_a_limited_time() -> None:
    """Interrupted tasks took each free core before the next urgent job."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(6.0, 64_000))
    admit(cluster, make_job('lasting', LONG_RUNNING))
    long_running = find_task(cluster, 'lasting')
    policy = make_policy(stretch=99.0)
    placer = Placer(cluster, InterferenceModel())
    run_task(cluster, long_running, worker)
    # Urgent tasks keep the other two cores busy.
    now = 0.0
    while now < 3 * AVERAGING_SECONDS:
        job = admit(
            cluster, make_job(f'urgent-{now:.1f}', URGENT, policy=policy)
        )
        job.accepted_at = now
        place_ready(placer, now)
        for task in list(worker.tasks.values()):
            if task is not long_running:
                cluster.confirm_start(task, task.run, now)
                cluster.end_run(task, EndKind.DONE, now)
        now += PASS_SECONDS
    cluster.end_run(long_running, EndKind.FAILED, now)
    assert 'lasting' not in place_ready(placer, now + PASS_SECONDS)
    assert 'lasting' in place_ready(placer, now + MAX_HEADROOM_WAIT_SECONDS)


def test_without_urgent_tasks_no_headroom_is_left() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(6.0, 64_000))
    admit(cluster, make_job('lasting', LONG_RUNNING))
    long_running = find_task(cluster, 'lasting')
    run_task(cluster, long_running, worker)
    cluster.end_run(long_running, EndKind.FAILED, 9.0)
    assert place_ready(Placer(cluster, InterferenceModel()), 9.1) == ['lasting']


def test_interrupted_long_running_task_restarts_under_urgent_load() -> None:
    """Urgent tasks filled each gap before it was large enough to restart."""
    cluster = ClusterState()
    workers = [
        add_worker(cluster, name, capacity=Room(4.0, 64_000)) for name in 'ab'
    ]
    admit(cluster, make_job('lasting', LONG_RUNNING))
    long_running = find_task(cluster, 'lasting')
    run_task(cluster, long_running, workers[0])
    policy = make_policy(stretch=99.0)
    placer = Placer(cluster, InterferenceModel())
    interrupted_at = 2.0
    cluster.end_run(long_running, EndKind.FAILED, interrupted_at)
    for number in range(round(RESTART_LIMIT_SECONDS / PASS_SECONDS)):
        now = interrupted_at + number * PASS_SECONDS
        # More urgent tasks than fit, all of which can still be in time.
        while (
            sum(task is not long_running for task in cluster.ready.values()) < 5
        ):
            name = f'urgent-{len(cluster.jobs)}'
            job = admit(cluster, make_job(name, URGENT, policy=policy))
            job.accepted_at = now
        placed = place_ready(placer, now)
        if 'lasting' in placed:
            return
        for worker in workers:
            for task in list(worker.tasks.values()):
                if now - task.placed_at >= URGENT.estimated_seconds:
                    cluster.confirm_start(task, task.run, now)
                    cluster.end_run(task, EndKind.DONE, now)
    raise AssertionError('the long-running task was not restarted in time')
