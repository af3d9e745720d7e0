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


WATCH = make_step(demand=Room(6.0, 6000), lasting=True, image='watch')
QUICK = make_step(demand=Room(11.0, 11_000))


def end_tasks(cluster: ClusterState, now: float, cancelled: str) -> None:
    """Ends quick tasks after a second, and cancels one long-running job."""
    for task in cluster.cancel(cancelled, now):
        cluster.end_run(task, EndKind.STOPPED, now)
    for worker in cluster.workers.values():
        for task in list(worker.tasks.values()):
            is_over = now - task.placed_at >= task.spec.estimated_seconds
            if is_over and not task.spec.lasting:
                cluster.end_run(task, EndKind.DONE, now)


def play_quick_work_on_a_full_fleet(seconds: float) -> list[bool]:
    """Plays quick tasks that are larger than long-running ones.

    Ten workers are full of long-running tasks and more of them wait. Every half
    second one of those is cancelled and another arrives, and a quick task
    arrives that must start within a second.

    Returns:
      Whether each quick task started in time.
    """
    cluster = ClusterState()
    for number in range(10):
        add_worker(cluster, f'w{number}', capacity=Room(32.0, 128_000))
    for number in range(80):
        admit(cluster, make_job(f'watch-{number}', WATCH))
    placer = Placer(cluster, InterferenceModel())
    policy = make_policy(stretch=1.5, target_seconds=0.5)
    in_time: dict[str, bool] = {}
    for number in range(round(seconds / PASS_SECONDS)):
        now = 10.0 + number * PASS_SECONDS
        if number % 5 == 0:
            end_tasks(cluster, now, f'watch-{number // 5 * 7 % 80}')
            quick = admit(
                cluster, make_job(f'quick-{number}', QUICK, policy=policy)
            )
            watch = admit(cluster, make_job(f'watch-{80 + number}', WATCH))
            quick.accepted_at = watch.accepted_at = now
            in_time[quick.spec.id] = False
        for task, _ in run_pass(placer, now):
            cluster.confirm_start(task, task.run, now)
            if not task.spec.lasting:
                waited = now - task.job.accepted_at
                in_time[task.id.job] = waited <= 1.0
    return list(in_time.values())


def test_quick_tasks_larger_than_each_gap_find_room() -> None:
    """Each gap went to a long-running task before two of them made a slot.

    The free cores of all workers together were enough for quick tasks, so that
    long-running tasks took single gaps on a fleet without any slot.
    """
    in_time = play_quick_work_on_a_full_fleet(40.0)
    later = in_time[len(in_time) // 2 :]
    assert sum(later) >= 0.8 * len(later)


def test_long_running_tasks_still_fill_what_quick_ones_cannot_use() -> None:
    """Held workers must stay few: the others are for waiting work."""
    cluster = ClusterState()
    workers = [
        add_worker(cluster, f'w{number}', capacity=Room(32.0, 128_000))
        for number in range(10)
    ]
    placer = Placer(cluster, InterferenceModel())
    policy = make_policy(stretch=99.0)
    for number in range(60):
        now = 10.0 + number * PASS_SECONDS
        job = admit(cluster, make_job(f'quick-{number}', QUICK, policy=policy))
        job.accepted_at = now
        for task, _ in run_pass(placer, now):
            cluster.confirm_start(task, task.run, now)
        end_tasks(cluster, now, '')
    for number in range(80):
        admit(cluster, make_job(f'watch-{number}', WATCH))
    run_pass(placer, now)
    used = [sum(t.spec.lasting for t in w.tasks.values()) for w in workers]
    # Some ten quick tasks at a time, in as many slots on five workers or less.
    assert sum(used) >= 5 * 5
