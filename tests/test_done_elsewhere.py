"""Ends of an earlier run of a task that has been placed again."""

from __future__ import annotations

import asyncio

import attrs
import orjson
import pytest

from lentilmount.platform.documents import decode_worker_report
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState, Task, TaskPhase
from lentilmount.scheduling.reconciliation import Reconciler, ReconcileResult
from lentilmount.scheduling.reports import EndKind, StaleRun
from tests.restart_fixtures import TIMEOUT_SECONDS, RestartScene, play
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_end,
    make_job,
    make_report,
    make_step,
    run_task,
)


def place_twice(cluster: ClusterState, is_running: bool) -> Task:
    """Places a task again while its first run goes on, unknown to the owner."""
    admit(cluster, make_job('a', make_step(), make_step(after=(0,))))
    task = find_task(cluster, 'a')
    first, second = (add_worker(cluster, n) for n in ('first', 'second'))
    cluster.place([task], first, 1.0)
    cluster.end_worker_tasks(first, 2.0)
    cluster.place([task], second, 3.0)
    if is_running:
        cluster.confirm_start(task, task.run, 3.0)
    return task


def end_first_run(cluster: ClusterState, task: Task) -> ReconcileResult:
    """Reports that the first run is done."""
    end = make_end(1, task, 1, EndKind.DONE)
    return Reconciler(cluster).reconcile(
        cluster.workers['first'], make_report(ended=(end,)), 4.0, 4.0
    )


@pytest.mark.parametrize('is_running', [True, False])
def test_a_task_that_is_done_elsewhere_is_not_started_again(
    is_running: bool,
) -> None:
    """The end of an earlier run was acknowledged, and the task ran again.

    Its later run was lost with its worker, and the task was placed once more.
    """
    cluster = ClusterState()
    task = place_twice(cluster, is_running)
    result = end_first_run(cluster, task)
    assert result.stale_runs == [StaleRun('second', str(task.id), 2)]
    assert result.ended == [(task, EndKind.DONE)]
    cluster.end_worker_tasks(cluster.workers['second'], 5.0)
    assert task.phase is TaskPhase.DONE
    assert list(cluster.ready) == [find_task(cluster, 'a', 1).id]


def test_a_task_that_is_done_elsewhere_stays_done_after_a_takeover() -> None:
    """The next owner found the later run in the row and started the task."""
    cluster = ClusterState()
    task = place_twice(cluster, True)
    end_first_run(cluster, task)
    assert 'a' in cluster.dirty
    new = hand_over(cluster)
    restored = find_task(new, 'a')
    assert restored.phase is TaskPhase.DONE
    assert restored.id not in new.ready


def test_a_later_run_that_is_done_as_well_completes_the_task_once() -> None:
    """Both runs end as done; the next step must start once."""
    cluster = ClusterState()
    task = place_twice(cluster, True)
    end_first_run(cluster, task)
    end = make_end(1, task, 2, EndKind.DONE)
    Reconciler(cluster).reconcile(
        cluster.workers['second'], make_report(ended=(end,)), 5.0, 5.0
    )
    assert task.phase is TaskPhase.DONE
    job = task.job
    assert job.remaining == {(0, 0): 0, (0, 1): 1}
    last = find_task(cluster, 'a', 1)
    run_task(cluster, last, cluster.workers['first'])
    cluster.end_run(last, EndKind.DONE, 6.0)
    assert job.state is JobState.COMPLETED


def test_a_gang_that_is_done_elsewhere_is_not_started_again() -> None:
    """A gang ran again after a member of an earlier run was noted as done."""
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=2, gang=True)))
    first, second = (add_worker(cluster, n) for n in ('first', 'second'))
    members = [find_task(cluster, 'a', 0, n) for n in range(2)]
    cluster.place(members, first, 1.0)
    cluster.end_worker_tasks(first, 2.0)
    cluster.place(members, second, 3.0)
    result = end_first_run(cluster, members[1])
    assert [run.worker for run in result.stale_runs] == ['second', 'second']
    cluster.end_worker_tasks(second, 5.0)
    assert {member.phase for member in members} == {TaskPhase.DONE}
    assert not cluster.ready


def test_a_job_whose_last_task_is_done_elsewhere_ends_after_a_takeover() -> (
    None
):
    """All its tasks were done in the row, and it was shown as running."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    first, second = (add_worker(cluster, n) for n in ('first', 'second'))
    cluster.place([task], first, 1.0)
    cluster.end_worker_tasks(first, 2.0)
    run_task(cluster, task, second, 3.0)
    end_first_run(cluster, task)
    new = hand_over(cluster)
    assert new.jobs['a'].state is JobState.COMPLETED
    assert 'a' in new.dirty


def test_a_lost_stop_of_a_task_that_is_done_elsewhere_is_repeated() -> None:
    """A run that never ends by itself kept its job from being completed."""

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        scene.client.lost_commands = 1
        for task in scene.cluster.complete_elsewhere(scene.task, loop.time()):
            scene.commands.stop_stale_run(
                StaleRun(task.worker, str(task.id), task.run)
            )
        await asyncio.sleep(4 * TIMEOUT_SECONDS)
        assert not scene.client.running
        assert scene.task.phase is TaskPhase.DONE

    play(scenario)


def test_a_task_whose_end_is_not_listed_yet_is_not_placed_again() -> None:
    """A task that was done ran again, as its worker listed only older ends."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    worker, task = add_worker(cluster, 'w'), find_task(cluster, 'a')
    run_task(cluster, task, worker)
    report = attrs.evolve(make_report(), has_all_ends=False)
    Reconciler(cluster).reconcile(worker, report, 2.0, 2.0)
    assert task.id not in cluster.ready
    end = make_end(501, task, 1, EndKind.DONE)
    Reconciler(cluster).reconcile(worker, make_report(ended=(end,)), 3.0, 3.0)
    assert task.phase is TaskPhase.DONE


def test_a_report_with_the_most_ends_may_lack_others() -> None:
    """A worker lists 500 ends at a time."""
    for count, has_all_ends in ((499, True), (500, False)):
        ends = [[n + 1, f'a.0.0.{n}', 1, 'done', ''] for n in range(count)]
        document = {'clockMs': 1, 'born': 1, 'running': [], 'ended': ends}
        report = decode_worker_report(orjson.dumps(document))
        assert report.has_all_ends == has_all_ends
