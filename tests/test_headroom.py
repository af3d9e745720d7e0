"""Room for urgent work where lasting tasks ask for more than there is."""

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

BACK_SECONDS = 6.0
"""Within which a lost lasting task is to run again, where there is room."""

LASTING = make_step(demand=Room(4.0, 1000), lasting=True, image='x')
URGENT = make_step(demand=Room(2.0, 1000))


def place_all(placer: Placer, now: float) -> list[str]:
    """Runs a pass; returns the jobs of what it placed."""
    placed = run_pass(placer, now)
    return [task.id.job for task, _ in placed]


def test_urgent_work_goes_before_lasting_tasks_that_wait() -> None:
    """A lasting task took the core that a job of a second needed at once."""
    cluster = ClusterState()
    add_worker(cluster, 'w', capacity=Room(4.0, 16_000))
    admit(cluster, make_job('lasting', LASTING))
    urgent = make_policy(stretch=9.0)
    admit(cluster, make_job('urgent', URGENT, policy=urgent))
    placer = Placer(cluster, InterferenceModel())
    assert place_all(placer, 5.0) == ['urgent']


def test_a_late_job_does_not_go_before_lasting_tasks() -> None:
    cluster = ClusterState()
    add_worker(cluster, 'w', capacity=Room(4.0, 16_000))
    admit(cluster, make_job('lasting', LASTING))
    admit(cluster, make_job('late', URGENT))
    assert place_all(Placer(cluster, InterferenceModel()), 5.0) == ['lasting']


def test_lasting_tasks_leave_room_to_urgent_work_for_a_while() -> None:
    """Lost lasting tasks took each gap before the next urgent job came."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(6.0, 64_000))
    admit(cluster, make_job('lasting', LASTING))
    lasting = find_task(cluster, 'lasting')
    policy = make_policy(stretch=99.0)
    placer = Placer(cluster, InterferenceModel())
    run_task(cluster, lasting, worker)
    # Urgent work keeps the two cores beside it busy.
    now = 0.0
    while now < 3 * AVERAGING_SECONDS:
        job = admit(
            cluster, make_job(f'urgent-{now:.1f}', URGENT, policy=policy)
        )
        job.accepted_at = now
        place_all(placer, now)
        for task in list(worker.tasks.values()):
            if task is not lasting:
                cluster.confirm_start(task, task.run, now)
                cluster.end_run(task, EndKind.DONE, now)
        now += PASS_SECONDS
    cluster.end_run(lasting, EndKind.FAILED, now)
    assert 'lasting' not in place_all(placer, now + PASS_SECONDS)
    assert 'lasting' in place_all(placer, now + MAX_HEADROOM_WAIT_SECONDS)


def test_without_urgent_work_a_lasting_task_is_placed_at_once() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w', capacity=Room(6.0, 64_000))
    admit(cluster, make_job('lasting', LASTING))
    lasting = find_task(cluster, 'lasting')
    run_task(cluster, lasting, worker)
    cluster.end_run(lasting, EndKind.FAILED, 9.0)
    assert place_all(Placer(cluster, InterferenceModel()), 9.1) == ['lasting']


def test_a_lost_lasting_task_is_back_beside_urgent_work() -> None:
    """Urgent tasks took each gap before it was large enough for a lost one."""
    cluster = ClusterState()
    workers = [
        add_worker(cluster, name, capacity=Room(4.0, 64_000)) for name in 'ab'
    ]
    admit(cluster, make_job('lasting', LASTING))
    lasting = find_task(cluster, 'lasting')
    run_task(cluster, lasting, workers[0])
    policy = make_policy(stretch=99.0)
    placer = Placer(cluster, InterferenceModel())
    lost_at = 2.0
    cluster.end_run(lasting, EndKind.FAILED, lost_at)
    for number in range(round(BACK_SECONDS / PASS_SECONDS)):
        now = lost_at + number * PASS_SECONDS
        # Always more than there is room for, and it can be in time.
        while sum(task is not lasting for task in cluster.ready.values()) < 5:
            name = f'urgent-{len(cluster.jobs)}'
            job = admit(cluster, make_job(name, URGENT, policy=policy))
            job.accepted_at = now
        placed = place_all(placer, now)
        if 'lasting' in placed:
            return
        for worker in workers:
            for task in list(worker.tasks.values()):
                if now - task.placed_at >= URGENT.estimated_seconds:
                    cluster.confirm_start(task, task.run, now)
                    cluster.end_run(task, EndKind.DONE, now)
    raise AssertionError('the lasting task is not back')
