"""Two runs of one task: which counts, and what becomes of the other."""

from __future__ import annotations

import pytest

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.copies import find_run
from lentilmount.scheduling.model import JobState, Task, TaskPhase
from lentilmount.scheduling.reports import EndKind, StaleRun
from lentilmount.scheduling.rows import encode_state
from tests.copy_fixtures import (
    CopyScene,
    make_copyable_step,
    make_scene,
    start,
)
from tests.scheduling_fixtures import (
    admit,
    find_task,
    hand_over,
    make_job,
    make_policy,
    make_step,
)

CORES = 1.0
BOTH = {'w0': CORES, 'w1': CORES, 'w2': 0.0}


def list_used(cluster: ClusterState) -> dict[str, float]:
    """Returns the cores reserved on each worker."""
    return {name: w.used.cores for name, w in cluster.workers.items()}


def take_stops(scene: CopyScene) -> list[tuple[int, str]]:
    """Returns the runs that must be stopped, with their workers."""
    return [(t.run, t.worker) for t in scene.cluster.copies.take_stops()]


def take_outcomes(scene: CopyScene) -> list[tuple[int, str, int, bool]]:
    """Returns who was done first, the other run, and if it was the copy."""
    return [
        (o.run, o.worker, o.other.run, o.is_copy)
        for o in scene.cluster.copies.take_outcomes()
    ]


def test_both_runs_take_room_from_the_start_on() -> None:
    """Tasks were started beyond the capacity, between two reports."""
    scene = make_scene()
    workers = scene.add_workers(3)
    task = scene.run_step(workers[0])
    scene.choose(3.0)
    assert list_used(scene.cluster) == BOTH
    scene.report('w0', 3.5, ((task, 1),))
    scene.report('w1', 3.5)
    assert list_used(scene.cluster) == BOTH


def test_both_runs_are_tolerated_where_they_are() -> None:
    """The first run was stopped as soon as its worker listed it."""
    scene = make_scene()
    task = scene.copy()
    for worker, run in (('w0', 1), ('w1', 2)):
        result = scene.report(worker, 4.0, ((task, run),))
        assert (result.stale_runs, result.ended, result.adopted) == ([], [], [])
    assert list_used(scene.cluster) == BOTH


def test_the_copy_is_done_first() -> None:
    scene = make_scene()
    task = scene.copy()
    result = scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
    assert result.ended == [(task, EndKind.DONE)]
    assert task.phase is TaskPhase.DONE
    assert task.job.state is JobState.COMPLETED
    assert take_stops(scene) == [(1, 'w0')]
    assert list_used(scene.cluster) == {'w0': CORES, 'w1': 0.0, 'w2': 0.0}
    assert take_outcomes(scene) == [(2, 'w1', 1, True)]
    result = scene.report('w0', 4.2, ((task, 1),))
    assert result.stale_runs == []
    scene.report('w0', 4.5, ended=((task, 1, EndKind.STOPPED),))
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': 0.0, 'w2': 0.0}
    assert task.job.state is JobState.COMPLETED


def test_the_first_run_is_done_first() -> None:
    """The job waited until the copy had been stopped."""
    scene = make_scene()
    task = scene.copy()
    result = scene.report('w0', 4.0, ended=((task, 1, EndKind.DONE),))
    assert result.ended == [(task, EndKind.DONE)]
    assert task.job.state is JobState.COMPLETED
    assert take_stops(scene) == [(2, 'w1')]
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': CORES, 'w2': 0.0}
    assert take_outcomes(scene) == [(1, 'w0', 2, False)]
    scene.report('w1', 4.5, ended=((task, 2, EndKind.STOPPED),))
    assert list_used(scene.cluster)['w1'] == 0.0


def test_both_runs_are_done() -> None:
    """The second end counted a task of the step twice."""
    scene = make_scene()
    workers = scene.add_workers(3)
    step = make_copyable_step(count=10)
    spec = make_job('a', step, make_step(after=(0,)), policy=make_policy())
    admit(scene.cluster, spec)
    tasks = [find_task(scene.cluster, 'a', index=i) for i in range(10)]
    for task in tasks:
        start(scene.cluster, task, workers[0])
    for task in tasks[:8]:
        scene.cluster.end_run(task, EndKind.DONE, 1.0)
    assert len(scene.choose(3.0)) == 2
    task = tasks[8]
    scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
    scene.report('w0', 4.0, ((tasks[9], 1),), ((task, 1, EndKind.DONE),))
    assert task.job.remaining[0, 0] == 1
    assert not scene.cluster.ready
    assert task.older is None


def test_an_even_older_run_is_done() -> None:
    """Of two runs one was stopped; the other went on after its task."""
    scene = make_scene()
    task = scene.copy()
    result = scene.report('w2', 4.0, ended=((task, 0, EndKind.DONE),))
    assert result.stale_runs == [StaleRun('w1', str(task.id), 2)]
    assert take_stops(scene) == [(1, 'w0')]


def test_a_worker_speaks_of_its_own_runs() -> None:
    """A newer run was taken for the older one of its worker."""
    scene = make_scene()
    task = scene.copy()
    assert find_run(task, 'w0', 1) is task.older
    assert find_run(task, 'w0', 0) is task.older
    assert find_run(task, 'w0', 3) is task
    assert find_run(task, 'w1', 2) is task
    assert find_run(task, 'w2', 1) is task


def test_a_first_run_is_done_before_the_start_of_its_copy_is_sent() -> None:
    """A copy was started of a task that was done."""
    scene = make_scene()
    task = scene.run_step(scene.add_workers(3)[0])
    scene.choose(3.0)
    scene.report('w0', 3.1, ended=((task, 1, EndKind.DONE),))
    assert task.phase is TaskPhase.DONE
    assert task.older is None
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': 0.0, 'w2': 0.0}
    assert take_stops(scene) == []


def test_the_worker_of_the_copy_is_lost() -> None:
    """The first run was stopped or forgotten, and the task run once more."""
    scene = make_scene()
    task = scene.copy()
    scene.cluster.dirty.clear()
    (ended,) = scene.cluster.end_worker_tasks(scene.cluster.workers['w1'], 5.0)
    assert (ended.run, ended.id) == (2, task.id)
    assert (task.run, task.worker) == (1, 'w0')
    assert task.phase is TaskPhase.RUNNING
    assert task.older is None
    assert not scene.cluster.ready
    assert list(scene.cluster.dirty) == ['a']
    assert list_used(scene.cluster) == {'w0': CORES, 'w1': 0.0, 'w2': 0.0}
    result = scene.report('w0', 5.5, ((task, 1),))
    assert result.stale_runs == []
    scene.report('w0', 6.0, ended=((task, 1, EndKind.DONE),))
    assert task.job.state is JobState.COMPLETED


def test_the_worker_of_the_first_run_is_lost() -> None:
    """The copy was lost with it, or the task was run a third time."""
    scene = make_scene()
    task = scene.copy()
    worker = scene.cluster.workers['w0']
    (ended,) = scene.cluster.end_worker_tasks(worker, 5.0)
    assert (ended.run, ended.id) == (1, task.id)
    assert (task.run, task.worker) == (2, 'w1')
    assert task.older is None
    assert not scene.cluster.ready
    assert worker.suspects == {}
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': CORES, 'w2': 0.0}


def test_a_lost_first_run_does_not_make_its_task_a_suspect() -> None:
    """A worker was lost as it had just answered, beside a copied task."""
    scene = make_scene()
    task = scene.copy()
    worker = scene.cluster.workers['w0']
    assert task.older is not None
    task.older.start_sent_at = worker.last_answer_at = 4.9
    scene.cluster.end_worker_tasks(worker, 5.0)
    assert worker.suspects == {}
    assert not task.is_watched


def test_both_workers_are_lost() -> None:
    scene = make_scene()
    task = scene.copy()
    for name in ('w1', 'w0'):
        scene.cluster.end_worker_tasks(scene.cluster.workers[name], 5.0)
    assert task.phase is TaskPhase.WAITING
    assert task.id in scene.cluster.ready
    scene.cluster.place([task], scene.cluster.workers['w2'], 6.0)
    # The worker of the copy knows run 2, also if it was not lost.
    assert task.run == 3


def test_the_worker_of_the_copy_comes_back_with_it() -> None:
    """Its run went on, as the leases had been renewed by a late call."""
    scene = make_scene()
    task = scene.copy()
    scene.cluster.end_worker_tasks(scene.cluster.workers['w1'], 5.0)
    result = scene.report('w1', 6.0, ((task, 2),))
    assert result.stale_runs == []
    assert (task.run, task.worker) == (2, 'w1')
    assert list_used(scene.cluster) == BOTH
    scene.report('w0', 6.0, ((task, 1),))
    assert list_used(scene.cluster) == BOTH
    scene.report('w0', 6.5, ended=((task, 1, EndKind.DONE),))
    assert task.job.state is JobState.COMPLETED
    assert take_stops(scene) == [(2, 'w1')]


def test_a_copy_that_is_rejected_leaves_the_first_run() -> None:
    scene = make_scene()
    task = scene.run_step(scene.add_workers(3)[0])
    scene.choose(3.0)
    scene.cluster.reject_start(task, 2)
    assert (task.run, task.worker) == (1, 'w0')
    assert list_used(scene.cluster) == {'w0': CORES, 'w1': 0.0, 'w2': 0.0}


def test_a_copy_whose_start_has_expired_leaves_the_first_run() -> None:
    scene = make_scene()
    task = scene.run_step(scene.add_workers(3)[0])
    scene.choose(3.0)
    task.start_sent_at, task.start_expired_at = 3.0, 5.0
    result = scene.report('w1', 5.5)
    assert [(run.run, run.id) for run in result.expired] == [(2, task.id)]
    assert (task.run, task.worker) == (1, 'w0')


@pytest.mark.parametrize('is_copy', [True, False])
def test_a_run_that_fails_leaves_the_other_and_counts_once(
    is_copy: bool,
) -> None:
    """A failure counted twice, or ended the run that went on."""
    scene = make_scene()
    task = scene.copy()
    worker, run = ('w1', 2) if is_copy else ('w0', 1)
    other, other_run = ('w0', 1) if is_copy else ('w1', 2)
    result = scene.report(worker, 4.0, ended=((task, run, EndKind.FAILED),))
    assert [(e.run, kind) for e, kind in result.ended] == [
        (run, EndKind.FAILED)
    ]
    scene.report(worker, 4.5, ended=((task, run, EndKind.FAILED),))
    assert task.failed_runs == {run}
    assert worker in task.failed_on
    assert (task.run, task.worker) == (other_run, other)
    assert task.phase is TaskPhase.RUNNING
    assert task.job.state is JobState.RUNNING


def test_a_failure_after_the_task_is_done_does_not_end_its_job() -> None:
    scene = make_scene()
    workers = scene.add_workers(3)
    step = make_copyable_step(count=10)
    policy = make_policy(max_attempts=2)
    spec = make_job('a', step, make_step(after=(0,)), policy=policy)
    admit(scene.cluster, spec)
    tasks = [find_task(scene.cluster, 'a', index=i) for i in range(10)]
    for task in tasks:
        start(scene.cluster, task, workers[0])
    for task in tasks[:9]:
        scene.cluster.end_run(task, EndKind.DONE, 1.0)
    assert scene.choose(3.0)
    task = tasks[9]
    scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
    task.failed_runs.add(0)
    scene.report('w0', 4.0, ended=((task, 1, EndKind.FAILED),))
    assert task.job.state is JobState.RUNNING


def test_a_job_that_fails_by_both_runs_ends() -> None:
    scene = make_scene()
    task = scene.copy()
    task.failed_runs.add(0)
    scene.report('w1', 4.0, ended=((task, 2, EndKind.FAILED),))
    scene.report('w0', 4.5, ended=((task, 1, EndKind.FAILED),))
    assert task.job.state is JobState.FAILED
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': 0.0, 'w2': 0.0}


def test_a_cancelled_job_stops_both_runs() -> None:
    """The first run went on after its job had been cancelled."""
    scene = make_scene()
    task = scene.copy()
    stopping = scene.cluster.cancel('a', 4.0)
    assert stopping == [task]
    assert take_stops(scene) == [(1, 'w0')]
    scene.report('w1', 4.5, ended=((task, 2, EndKind.STOPPED),))
    assert task.phase is TaskPhase.GIVEN_UP
    assert list_used(scene.cluster)['w0'] == CORES
    scene.report('w0', 4.5, ended=((task, 1, EndKind.STOPPED),))
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': 0.0, 'w2': 0.0}


def test_a_first_run_that_is_being_stopped_is_the_placement_again() -> None:
    """Its stop was not repeated once the copy had ended."""
    scene = make_scene()
    task = scene.copy()
    assert task.older is not None
    scene.cluster.begin_stop(task.older)
    scene.report('w1', 4.0, ended=((task, 2, EndKind.STOPPED),))
    assert take_stops(scene) == [(1, 'w0')]
    scene.report('w0', 4.5, ended=((task, 1, EndKind.STOPPED),))
    assert task.phase is TaskPhase.WAITING
    assert task.id in scene.cluster.ready


def test_a_restarted_worker_may_start_a_first_run_late() -> None:
    """Its room was kept for ever, as nobody stopped that run."""
    scene = make_scene()
    task = scene.copy()
    late_start = StaleRun('w0', str(task.id), 1)
    worker = scene.cluster.workers['w0']
    scene.cluster.end_worker_tasks(worker, 4.0, frozenset({late_start}))
    (run,) = scene.cluster.copies.take_stops()
    assert (run.run, run.worker) == (1, 'w0')
    scene.cluster.accept_stop(run, 4.5)
    scene.report('w0', 5.0)
    assert list_used(scene.cluster) == {'w0': 0.0, 'w1': CORES, 'w2': 0.0}
    assert (task.run, task.phase) == (2, TaskPhase.RUNNING)


def test_a_restarted_worker_may_start_an_even_older_run_late() -> None:
    scene = make_scene()
    task = scene.copy()
    late_start = StaleRun('w0', str(task.id), 0)
    worker = scene.cluster.workers['w0']
    scene.cluster.end_worker_tasks(worker, 4.0, frozenset({late_start}))
    assert take_stops(scene) == [(1, 'w0')]
    assert (task.run, task.worker) == (2, 'w1')
    assert task.phase is TaskPhase.RUNNING


def test_the_row_of_a_copied_task_names_the_copy() -> None:
    """The start of a copy was sent before a row could tell of it."""
    scene = make_scene()
    workers = scene.add_workers(3)
    task = scene.run_step(workers[0])
    scene.cluster.dirty.clear()
    scene.choose(3.0)
    assert list(scene.cluster.dirty) == ['a']
    entry = encode_state(task.job)['tasks']['0.0.29']
    assert entry == [2, 'w1']


def take_over(scene: CopyScene) -> CopyScene:
    """Returns the scene of the next owner, whose workers have answered."""
    new = make_scene()
    cluster = hand_over(scene.cluster)
    cluster.copies.is_enabled = True
    new.cluster = new.stragglers.cluster = cluster
    for worker in scene.cluster.workers.values():
        known = cluster.register_worker(worker.entry)
        known.has_answered = known.reachable = True
    return new


def test_the_owner_is_replaced_while_a_copy_runs() -> None:
    """The next owner ran the task a third time, or kept no room for it."""
    scene = make_scene()
    name = scene.copy().id
    new = take_over(scene)
    task = new.cluster.jobs['a'].tasks[name]
    assert (task.run, task.worker) == (2, 'w1')
    result = new.report('w0', 5.0, ((task, 1),))
    assert result.stale_runs == [StaleRun('w0', str(name), 1)]
    assert list_used(new.cluster) == BOTH
    new.report('w1', 5.0, ((task, 2),))
    new.report('w0', 6.0)
    assert list_used(new.cluster) == {'w0': 0.0, 'w1': CORES, 'w2': 0.0}
    assert (task.run, task.phase) == (2, TaskPhase.RUNNING)


def test_the_next_owner_counts_the_end_of_the_first_run() -> None:
    scene = make_scene()
    name = scene.copy().id
    new = take_over(scene)
    task = new.cluster.jobs['a'].tasks[name]
    result = new.report('w0', 5.0, ended=((task, 1, EndKind.DONE),))
    assert result.stale_runs == [StaleRun('w1', str(name), 2)]
    new.report('w1', 6.0, ended=((task, 2, EndKind.STOPPED),))
    assert task.job.state is JobState.COMPLETED


def replace_owner_before_write(scene: CopyScene) -> tuple[CopyScene, Task]:
    """Lets the next owner read a row that does not tell of a copy."""
    workers = scene.add_workers(3)
    name = scene.run_step(workers[0]).id
    new = take_over(scene)
    return new, new.cluster.jobs['a'].tasks[name]


def test_the_next_owner_finds_a_copy_that_no_row_tells_of() -> None:
    """The room of the first run was free before that run had ended."""
    new, task = replace_owner_before_write(make_scene())
    new.report('w1', 5.0, ((task, 2),))
    assert (task.run, task.worker) == (2, 'w1')
    assert list_used(new.cluster) == BOTH
    result = new.report('w0', 5.0, ((task, 1),))
    assert result.stale_runs == []
    new.report('w0', 6.0, ended=((task, 1, EndKind.DONE),))
    assert task.job.state is JobState.COMPLETED


def test_the_next_owner_finds_the_end_of_such_a_copy() -> None:
    """The first run was taken for ended, as a newer one had failed."""
    new, task = replace_owner_before_write(make_scene())
    new.report('w1', 5.0, ended=((task, 2, EndKind.FAILED),))
    assert (task.run, task.worker) == (1, 'w0')
    assert task.failed_runs == {2}
    assert list_used(new.cluster)['w0'] == CORES
    new.cluster.end_worker_tasks(new.cluster.workers['w0'], 6.0)
    new.cluster.place([task], new.cluster.workers['w2'], 6.0)
    assert task.run > 2


@pytest.mark.parametrize('is_enabled', [True, False])
def test_without_duplicates_a_newer_run_ends_the_placement(
    is_enabled: bool,
) -> None:
    """Two runs of a task went on although its step allows no duplicates."""
    scene = make_scene()
    workers = scene.add_workers(3)
    name = scene.run_step(workers[0], duplicates=not is_enabled).id
    new = take_over(scene)
    new.cluster.copies.is_enabled = is_enabled
    task = new.cluster.jobs['a'].tasks[name]
    new.report('w1', 5.0, ((task, 2),))
    assert (task.run, task.older) == (2, None)
    result = new.report('w0', 5.0, ((task, 1),))
    assert result.stale_runs == [StaleRun('w0', str(name), 1)]
