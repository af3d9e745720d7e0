"""Cluster state, reconciliation with worker reports, and state rows."""

from __future__ import annotations

import orjson
import pytest

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState, Task, TaskPhase
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind, StaleRun
from lentilmount.scheduling.rows import encode_state, restore_state
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.takeover import UnrecordedStarts
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_end,
    make_job,
    make_policy,
    make_report,
    make_running,
    make_step,
    run_task,
)


def hand_over_running_task(worker: str) -> tuple[ClusterState, Task]:
    """Returns a new owner's cluster state with a task running on a worker."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    run_task(cluster, find_task(cluster, 'a'), add_worker(cluster, worker))
    new = hand_over(cluster)
    return new, find_task(new, 'a')


def test_step_waits_for_all_predecessor_tasks() -> None:
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=2), make_step(after=(0,))))
    worker = add_worker(cluster, 'w')
    last = find_task(cluster, 'a', 1)
    for index in range(2):
        assert last.id not in cluster.ready
        task = find_task(cluster, 'a', 0, index)
        run_task(cluster, task, worker)
        cluster.end_run(task, EndKind.DONE, 2.0)
    assert last.id in cluster.ready


def test_only_failed_runs_use_up_attempts() -> None:
    cluster = ClusterState()
    job = admit(cluster, make_job('a'))
    worker = add_worker(cluster, 'w')
    task = find_task(cluster, 'a')
    for kind in (EndKind.STOPPED, EndKind.LAPSED, EndKind.FAILED):
        run_task(cluster, task, worker)
        cluster.end_run(task, kind, 2.0)
        assert job.state is JobState.RUNNING
    run_task(cluster, task, worker)
    cluster.end_run(task, EndKind.FAILED, 3.0)
    assert job.state is JobState.FAILED
    assert not cluster.ready


def test_long_running_task_is_requeued_after_any_end() -> None:
    cluster = ClusterState()
    job = admit(cluster, make_job('a', make_step(lasting=True)))
    worker = add_worker(cluster, 'w')
    task = find_task(cluster, 'a')
    for kind in EndKind:
        run_task(cluster, task, worker)
        cluster.end_run(task, kind, 2.0)
        assert task.id in cluster.ready
    assert job.state is JobState.RUNNING


def test_job_is_running_once_a_worker_has_started_it() -> None:
    """A job was shown as running while its start command was in transit."""
    cluster = ClusterState()
    job = admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    cluster.place([task], add_worker(cluster, 'w'), 1.0)
    assert job.state.value == 'queued'
    assert hand_over(cluster).jobs['a'].state is JobState.QUEUED
    cluster.dirty.clear()
    cluster.confirm_start(task, task.run, 2.0)
    assert job.state.value == 'running'
    assert 'a' in cluster.dirty
    assert hand_over(cluster).count_pending() == {'queue': 0}


def test_stopping_tasks_reserve_resources_until_their_end_is_reported() -> None:
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=4, demand=make_step().demand)))
    worker = add_worker(cluster, 'w')
    for index in range(4):
        run_task(cluster, find_task(cluster, 'a', 0, index), worker)
    stopping = cluster.cancel('a', 2.0)
    assert len(stopping) == 4
    assert not worker.fits(make_step().demand)
    ends = tuple(
        make_end(n + 1, task, 1, EndKind.STOPPED)
        for n, task in enumerate(stopping)
    )
    Reconciler(cluster).reconcile(worker, make_report(ended=ends), 2.0, 2.0)
    assert worker.fits(make_step().demand)


def test_unrecorded_end_reaches_the_next_owner() -> None:
    """The next owner ran a task again whose end was not recorded."""
    new, task = hand_over_running_task('w')
    worker = add_worker(new, 'w')
    ended = make_end(1, task, 1, EndKind.DONE)
    Reconciler(new).reconcile(worker, make_report(ended=(ended,)), 5.0, 5.0)
    assert new.jobs['a'].state is JobState.COMPLETED
    assert not new.ready


def test_newer_run_supersedes_the_recorded_run() -> None:
    """The end of an older run requeued a task that was done elsewhere."""
    new, task = hand_over_running_task('first')
    second = add_worker(new, 'second')
    first = add_worker(new, 'first')
    done = make_end(1, task, 2, EndKind.DONE)
    Reconciler(new).reconcile(second, make_report(ended=(done,)), 5.0, 5.0)
    stopped = make_end(1, task, 1, EndKind.STOPPED)
    Reconciler(new).reconcile(first, make_report(ended=(stopped,)), 5.0, 5.0)
    assert new.jobs['a'].state is JobState.COMPLETED
    assert not new.ready


def test_newer_run_is_adopted_not_stopped() -> None:
    new, task = hand_over_running_task('first')
    second = add_worker(new, 'second')
    running = make_running(task, 2)
    result = Reconciler(new).reconcile(
        second, make_report(running=(running,)), 5.0, 5.0
    )
    assert result.stale_runs == []
    assert task.worker == 'second'


def test_inherited_task_is_adopted_once() -> None:
    new, task = hand_over_running_task('w')
    worker = add_worker(new, 'w')
    report = make_report(running=(make_running(task, 1),))
    assert Reconciler(new).reconcile(worker, report, 5.0, 5.0).adopted == [task]
    assert Reconciler(new).reconcile(worker, report, 6.0, 6.0).adopted == []


def test_recorded_failure_counts_once() -> None:
    """The next owner counted a failure again, which used up both attempts."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    run_task(cluster, task, add_worker(cluster, 'w'))
    cluster.end_run(task, EndKind.FAILED, 2.0)
    new = hand_over(cluster)
    worker = add_worker(new, 'w')
    ended = make_end(1, task, 1, EndKind.FAILED)
    Reconciler(new).reconcile(worker, make_report(ended=(ended,)), 5.0, 5.0)
    assert task.failures == 1
    assert new.jobs['a'].state is JobState.RUNNING


def test_failures_count_in_any_order_of_reports() -> None:
    """A failure reported late did not count, and the task ran a third time."""
    new, task = hand_over_running_task('first')
    first, second = add_worker(new, 'first'), add_worker(new, 'second')
    for worker, run in ((second, 2), (first, 1)):
        ended = make_end(1, task, run, EndKind.FAILED)
        Reconciler(new).reconcile(worker, make_report(ended=(ended,)), 5.0, 5.0)
    assert task.failures == 2
    assert new.jobs['a'].state is JobState.FAILED
    assert not new.ready


def test_task_done_before_lease_expiry_stays_done() -> None:
    """A task that a worker had finished while partitioned ran again."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    worker = add_worker(cluster, 'w')
    run_task(cluster, task, worker)
    cluster.end_worker_tasks(worker, 9.0)
    assert task.id in cluster.ready
    ended = make_end(1, task, 1, EndKind.DONE)
    Reconciler(cluster).reconcile(worker, make_report(ended=(ended,)), 9.5, 9.5)
    assert cluster.jobs['a'].state is JobState.COMPLETED
    assert not cluster.ready


def test_next_run_number_exceeds_unrecorded_ones() -> None:
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    task = find_task(cluster, 'a')
    run_task(cluster, task, add_worker(cluster, 'w'))
    cluster.end_run(task, EndKind.STOPPED, 2.0)
    new = hand_over(cluster)
    restored = find_task(new, 'a')
    new.place([restored], add_worker(new, 'w'), 6.0)
    assert restored.run > 2


def test_report_requested_before_a_start_does_not_end_it() -> None:
    """A running task missing from an outdated report was started again."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    worker = add_worker(cluster, 'w')
    task = find_task(cluster, 'a')
    run_task(cluster, task, worker, now=5.0)
    Reconciler(cluster).reconcile(worker, make_report(), 4.9, 5.1)
    assert task.phase is TaskPhase.RUNNING
    result = Reconciler(cluster).reconcile(worker, make_report(), 5.2, 5.3)
    assert result.ended == [(task, EndKind.LAPSED)]
    assert task.id in cluster.ready


def test_stop_that_overtakes_its_start_ends_the_task() -> None:
    """A start that arrived after its stop left the task stopping forever."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    worker = add_worker(cluster, 'w')
    task = find_task(cluster, 'a')
    cluster.place([task], worker, 1.0)
    cluster.begin_stop(task)
    Reconciler(cluster).reconcile(worker, make_report(), 2.0, 2.0)
    assert task.id not in cluster.ready
    task.stopped_at = 2.5
    Reconciler(cluster).reconcile(worker, make_report(), 3.0, 3.0)
    assert task.id in cluster.ready


def test_late_start_of_a_cancelled_job_is_stopped() -> None:
    """A start is carried out after its job was cancelled."""
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    worker = add_worker(cluster, 'w')
    task = find_task(cluster, 'a')
    cluster.place([task], worker, 1.0)
    cluster.cancel('a', 2.0)
    task.stopped_at = 1.5
    Reconciler(cluster).reconcile(worker, make_report(), 2.0, 2.0)
    assert not worker.tasks
    running = make_running(task, 1)
    result = Reconciler(cluster).reconcile(
        worker, make_report(running=(running,)), 4.0, 4.0
    )
    assert result.adopted == [task]
    assert task.phase is TaskPhase.STOPPING


def test_second_copy_of_a_task_is_stopped() -> None:
    cluster = ClusterState()
    admit(cluster, make_job('a'))
    first = add_worker(cluster, 'first')
    second = add_worker(cluster, 'second')
    task = find_task(cluster, 'a')
    task.run = 3
    run_task(cluster, task, first)
    old = make_running(task, 2)
    result = Reconciler(cluster).reconcile(
        second, make_report(running=(old,)), 2.0, 2.0
    )
    assert result.stale_runs == [StaleRun('second', str(task.id), 2)]


def test_worker_with_unknown_tasks_is_marked() -> None:
    cluster = ClusterState()
    other = ClusterState()
    admit(other, make_job('b'))
    worker = add_worker(cluster, 'w')
    running = make_running(find_task(other, 'b'), 1)
    result = Reconciler(cluster).reconcile(
        worker, make_report(running=(running,)), 1.0, 1.0
    )
    assert result.unknown_tasks == [running.task]
    assert worker.runs_unknown_tasks


def test_inherited_tasks_wait_while_unrecorded_starts_may_exist() -> None:
    """Tasks started in an outage without a record ran twice after takeover."""
    cluster = ClusterState()
    admit(cluster, make_job('old'))
    admit(cluster, make_job('new'))
    add_worker(cluster, 'near')
    unreachable = add_worker(cluster, 'cut')
    unreachable.has_answered = False
    unrecorded_starts = UnrecordedStarts(
        cluster, False, 17.0, frozenset({'old'}), are_all_listed=True
    )
    assert unrecorded_starts.may_exist(10.0)
    assert unrecorded_starts.affects(find_task(cluster, 'old'))
    assert not unrecorded_starts.affects(find_task(cluster, 'new'))
    assert not unrecorded_starts.may_exist(17.1)
    unreachable.has_answered = True
    assert not unrecorded_starts.may_exist(10.0)
    unrecorded_starts.are_all_listed = False
    assert unrecorded_starts.may_exist(10.0)
    assert not unrecorded_starts.may_exist(17.1)
    unreachable.has_answered = False
    assert not UnrecordedStarts(cluster, True, 17.0, frozenset()).may_exist(
        10.0
    )


def test_one_done_member_completes_its_gang() -> None:
    cluster = ClusterState()
    job = admit(cluster, make_job('a', make_step(count=3, gang=True)))
    worker = add_worker(cluster, 'w')
    members = [find_task(cluster, 'a', 0, index) for index in range(3)]
    cluster.place(members, worker, 1.0)
    for member in members:
        cluster.confirm_start(member, member.run, 1.0)
    for member in members:
        cluster.end_run(member, EndKind.DONE, 2.0)
    assert job.state is JobState.COMPLETED


def test_a_gang_that_is_done_ends_all_members() -> None:
    """A member whose worker was lost ran again after its gang was done."""
    cluster = ClusterState()
    first, second = add_worker(cluster, 'a'), add_worker(cluster, 'b')
    admit(cluster, make_job('job', make_step(count=2, gang=True)))
    tasks = [find_task(cluster, 'job', index=index) for index in (0, 1)]
    run_task(cluster, tasks[0], first)
    run_task(cluster, tasks[1], second)
    report = make_report(
        ended=(make_end(1, tasks[0], tasks[0].run, EndKind.DONE),)
    )
    Reconciler(cluster).reconcile(first, report, 2.0, 2.0)
    cluster.end_worker_tasks(second, 3.0)
    assert [task.phase for task in tasks] == [TaskPhase.DONE, TaskPhase.DONE]


def start_gang(*later: StepSpec) -> tuple[ClusterState, list[Task]]:
    """Returns a gang of two that runs, on one worker for each member."""
    cluster = ClusterState()
    gang = make_step(count=2, gang=True)
    admit(
        cluster, make_job('a', gang, *later, policy=make_policy(max_attempts=1))
    )
    members = [find_task(cluster, 'a', 0, index) for index in range(2)]
    cluster.assign_run_number(members)
    for member in members:
        worker = add_worker(cluster, f'w{member.id.index}')
        cluster.place_with_run_number(member, worker, 1.0)
        cluster.confirm_start(member, member.run, 1.0)
    return cluster, members


@pytest.mark.parametrize('kind', [EndKind.LAPSED, EndKind.FAILED])
def test_steps_after_a_done_gang_run_whatever_ends_its_members(
    kind: EndKind,
) -> None:
    """A lost member blocked all later steps, or failed the job."""
    cluster, (first, second) = start_gang(make_step(after=(0,)))
    cluster.end_run(first, EndKind.DONE, 2.0)
    last = find_task(cluster, 'a', 1)
    assert last.id not in cluster.ready
    end = make_end(1, second, second.run, kind)
    for at in (3.0, 4.0):
        # A worker repeats an end until it is acknowledged.
        Reconciler(cluster).reconcile(
            cluster.workers['w1'], make_report(ended=(end,)), at, at
        )
    assert list(cluster.ready) == [last.id]
    assert last.job.state is JobState.RUNNING


def test_a_start_that_is_rejected_after_its_gang_is_done_is_done() -> None:
    """A member whose stop proved that it does not run was started again."""
    cluster, (first, second) = start_gang()
    second.phase = TaskPhase.STARTING
    cluster.end_run(first, EndKind.DONE, 2.0)
    assert second.phase.value == 'stopping'
    cluster.reject_start(second, second.run)
    assert second.phase is TaskPhase.DONE
    assert not cluster.workers['w1'].tasks
    assert not cluster.ready
    assert second.job.state is JobState.COMPLETED
    assert second.job.ended_at == 2.0


def test_a_newer_run_of_a_done_gang_is_stopped() -> None:
    """A member of a done gang was adopted and ran on."""
    cluster, (first, second) = start_gang(make_step(after=(0,)))
    cluster.end_run(first, EndKind.DONE, 2.0)
    other = add_worker(cluster, 'other')
    running = make_running(second, second.run + 1)
    result = Reconciler(cluster).reconcile(
        other, make_report(running=(running,)), 3.0, 3.0
    )
    assert result.stale_runs == [
        StaleRun('other', str(second.id), second.run + 1)
    ]
    assert second.phase is TaskPhase.DONE


def test_a_takeover_between_the_ends_of_a_done_gang_stops_the_rest() -> None:
    """The new owner ran a member on, and placed it again when it was lost."""
    cluster, (first, _) = start_gang()
    cluster.end_run(first, EndKind.DONE, 2.0)
    new = hand_over(cluster)
    job, second = new.jobs['a'], find_task(new, 'a', 0, 1)
    assert second.phase.value == 'stopping'
    assert job.state.value == 'running'
    new.end_worker_tasks(new.workers['w1'], 9.0)
    assert second.phase is TaskPhase.DONE
    assert not new.ready
    assert job.state is JobState.COMPLETED
    assert job.ended_at == 9.0


def test_a_row_with_a_lost_member_of_a_done_gang_is_completed() -> None:
    """Jobs in which an earlier version left such a member never ended."""
    cluster = ClusterState()
    job = admit(cluster, make_job('a', make_step(count=2, gang=True)))
    body = {
        'state': 'running',
        'tasks': {'done': {'0.0': [0, 0]}, '0.0.1': [1, '']},
    }
    restore_state(cluster, job, body, leases_expire_at=20.0, now=4.0)
    assert job.state is JobState.COMPLETED
    assert job.ended_at == 4.0
    assert not cluster.ready
    assert 'a' in cluster.dirty


def test_a_cancelled_job_stays_cancelled_after_a_takeover() -> None:
    """A done gang of a cancelled job made it completed."""
    cluster, (first, _) = start_gang()
    cluster.end_run(first, EndKind.DONE, 2.0)
    cluster.cancel('a', 2.5)
    new = hand_over(cluster)
    new.end_worker_tasks(new.workers['w1'], 9.0)
    assert new.jobs['a'].state is JobState.CANCELLED


def test_gang_members_share_their_attempts() -> None:
    cluster = ClusterState()
    spec = make_job(
        'a', make_step(count=2, gang=True), policy=make_policy(max_attempts=2)
    )
    job = admit(cluster, spec)
    worker = add_worker(cluster, 'w')
    members = [find_task(cluster, 'a', 0, index) for index in range(2)]
    for failing in members:
        cluster.place(members, worker, 1.0)
        for member in members:
            kind = EndKind.FAILED if member is failing else EndKind.BROKEN
            cluster.end_run(member, kind, 2.0)
    assert job.state is JobState.FAILED


def test_row_of_many_tasks_is_short_and_complete() -> None:
    """Rows of wide jobs were over a third of the bytes sent by an owner."""
    cluster = ClusterState()
    admit(cluster, make_job('a', make_step(count=80), make_step(after=(0,))))
    worker = add_worker(cluster, 'i-40bb3c7090')
    tasks = [find_task(cluster, 'a', 0, index) for index in range(80)]
    for task in tasks[:60]:
        run_task(cluster, task, worker)
    for task in tasks[:30] + tasks[35:45]:
        cluster.end_run(task, EndKind.DONE, 2.0)
    cluster.end_run(tasks[50], EndKind.FAILED, 2.0)
    tasks[51].checkpoint = '00000bb87a21d94b'
    new = hand_over(cluster)
    restored = [find_task(new, 'a', 0, index) for index in range(80)]
    for original, task in zip(tasks, restored, strict=True):
        assert (task.run, task.failed_runs, task.checkpoint) == (
            (0, set(), '')
            if original.phase is TaskPhase.DONE
            else (original.run, original.failed_runs, original.checkpoint)
        )
        assert (task.phase, task.worker) == (original.phase, original.worker)
    # Without ranges and with default values, the row takes 1,245 bytes: 13
    # more for each done task and 6 more for each running task.
    assert len(orjson.dumps(encode_state(cluster.jobs['a']))) < 650


def test_row_of_an_earlier_version_is_restored() -> None:
    """In a rolling upgrade, the new version must read rows of the old one."""
    cluster = ClusterState()
    job = admit(cluster, make_job('a', make_step(count=2)))
    body = {
        'state': 'running',
        'tasks': {'0.0.0': 'done', '0.0.1': [3, 'w', [2], 'saved']},
    }
    restore_state(cluster, job, body, leases_expire_at=20.0, now=4.0)
    first, second = (find_task(cluster, 'a', 0, index) for index in range(2))
    assert first.phase is TaskPhase.DONE
    assert (second.run, second.worker, second.failed_runs) == (3, 'w', {2})
    assert second.checkpoint == 'saved'
