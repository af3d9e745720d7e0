"""Order of starts that wait for a full window, and windows that stay full."""

from __future__ import annotations

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.model import Task, TaskPhase
from lentilmount.scheduling.ranking import RESTART_OVERDUE_SECONDS
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.start_window import MIN_LIMIT_BYTES, StartWindow
from tests.scheduling_fixtures import (
    admit,
    find_task,
    make_job,
    make_policy,
    make_step,
    run_task,
)
from tests.test_start_window import (
    PAYLOAD,
    make_batch,
    make_check,
    make_cluster,
    make_placer,
    place,
)


def test_an_urgent_start_passes_a_lasting_task_that_is_due_again() -> None:
    """The share for urgent starts was of no use while a lasting task waited."""
    cluster = make_cluster()
    lasting = make_step(lasting=True)
    admit(cluster, make_job('watch', lasting, policy=make_policy(priority=1)))
    watch = find_task(cluster, 'watch')
    run_task(cluster, watch, cluster.workers['w-0'], 1.0)
    for number in range(4):
        admit(cluster, make_batch(f'{number}'))
    placer = make_placer(cluster, StartWindow(MIN_LIMIT_BYTES))
    assert place(placer, 2.0)
    cluster.end_run(watch, EndKind.FAILED, 2.0)
    for task in cluster.jobs['0'].tasks.values():
        task.start_sent_at = 2.0 + RESTART_OVERDUE_SECONDS
    admit(cluster, make_check('urgent'))
    placed = place(placer, 2.1 + RESTART_OVERDUE_SECONDS)
    assert 'urgent' in [task.id.job for task in placed]


def test_a_late_urgent_start_passes_new_lasting_tasks() -> None:
    """An urgent task that was late waited for the start of lasting ones."""
    cluster = make_cluster()
    for number in range(4):
        admit(cluster, make_batch(f'{number}'))
    placer = make_placer(cluster, StartWindow(MIN_LIMIT_BYTES))
    assert place(placer, 1.0)
    lasting = make_step(lasting=True)
    admit(cluster, make_job('watch', lasting, policy=make_policy(priority=1)))
    admit(cluster, make_check('urgent'))
    placed = place(placer, 4.0)
    assert [task.id.job for task in placed] == ['urgent']


def test_starts_that_wait_for_a_probe_do_not_fill_the_window() -> None:
    """Starts not sent as their worker is silent kept all others waiting.

    Each waits until its worker answers a probe; until then it has no send time.
    """
    cluster = make_cluster()
    for number in range(4):
        admit(cluster, make_batch(f'{number}'))
    placer = make_placer(cluster, StartWindow(MIN_LIMIT_BYTES))
    waiting = place(placer, 1.0)
    for task in waiting:
        task.is_watched = True
    assert all(task.phase is TaskPhase.STARTING for task in waiting)
    assert place(placer, 3.0)


def test_a_window_whose_starts_were_cancelled_no_longer_binds() -> None:
    """No task was moved any more once those of a full window were cancelled.

    A cancelled start is no sample, and the limit is changed after five.
    """
    cluster = make_cluster()
    for number in range(4):
        admit(cluster, make_batch(f'{number}'))
    placer = make_placer(cluster, StartWindow(MIN_LIMIT_BYTES))
    placed = place(placer, 1.0)
    assert placer.window.is_binding
    for number in range(4):
        cluster.cancel(f'{number}', 1.1)
    for task in placed:
        cluster.end_run(task, EndKind.STOPPED, 1.2)
    now = 1.2
    while now < 60.0:
        now += 0.5
        place(placer, now)
    assert placer.window.in_flight == 0
    assert not cluster.ready
    assert not placer.window.is_binding


def test_a_short_job_waits_for_no_gang_wider_than_the_window() -> None:
    """A gang larger than the limit never started, or left the window full."""
    cluster = make_cluster()
    gang = make_step(count=60, gang=True)
    spec = make_job('gang', gang, policy=make_policy(priority=2))
    admit(cluster, attrs.evolve(spec, payload=PAYLOAD))
    placer = make_placer(cluster, StartWindow(MIN_LIMIT_BYTES))
    placed = place(placer, 1.0)
    assert len(placed) == 60
    for task in placed:
        task.start_sent_at = 1.0
        cluster.confirm_start(task, task.run, 1.1)
    admit(cluster, make_batch('later'))
    assert place(placer, 1.5)


def test_a_lasting_task_that_is_due_again_is_not_kept_by_urgent_ones() -> None:
    """A steady flow of urgent starts kept a lasting task from running again.

    It goes before them, but they alone may use the last quarter of the window.
    """
    cluster = make_cluster()
    lasting = make_step(lasting=True)
    admit(cluster, make_job('watch', lasting, policy=make_policy(priority=1)))
    watch = find_task(cluster, 'watch')
    run_task(cluster, watch, cluster.workers['w-0'], 1.0)
    placer = make_placer(cluster, StartWindow(MIN_LIMIT_BYTES))
    under_way: list[Task] = []
    now = 2.0
    while watch.run == 1 and now < 2.0 + 2 * RESTART_OVERDUE_SECONDS:
        wide = make_step(count=40, demand=Room(1.0, 100))
        spec = make_job(f'{now:.1f}', wide, policy=make_policy(priority=0))
        cluster.admit(attrs.evolve(spec, payload=PAYLOAD), now, now)
        placed = place(placer, now)
        for task in placed:
            task.start_sent_at = now
        under_way += placed
        if not watch.last_ended_at:
            cluster.end_run(watch, EndKind.FAILED, now)
        now += 0.1
        for task in under_way[:5]:
            cluster.confirm_start(task, task.run, now)
            cluster.end_run(task, EndKind.DONE, now)
        del under_way[:5]
    assert watch.run == 2
