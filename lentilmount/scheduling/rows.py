"""The rows that outlive an owner: one with a job's tasks, one to count."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import RUN_MARGIN, ClusterState
from lentilmount.scheduling.model import Job, JobState, Task, TaskPhase, Worker
from lentilmount.scheduling.reports import WorkerEntry, WorkerState
from lentilmount.scheduling.specs import TaskId

DONE = 'done'
"""Where the ranges of tasks that are done stand among the tasks. Versions that
do not know them cannot read such a name and give the service up: gone by, the
tasks would be run again. In rows of those versions it is a task's entry."""


def encode_state(job: Job) -> dict[str, Any]:
    """Builds the body of a job's state row.

    Tasks that were never started are left out, and those of a finished job
    too: nobody asks for them any more. Those that are done stand in ranges,
    by step, and entries end where only what is usual follows: a row is written
    again with each change of any task, and such rows were over a third of all
    that an owner sends.
    """
    body: dict[str, Any] = {'state': job.state.value}
    if job.state.is_final and not _is_stopping(job):
        return body
    tasks: dict[str, Any] = {}
    done: dict[str, list[int]] = {}
    for task in job.tasks.values():
        if task.phase is TaskPhase.DONE:
            step = f'{task.id.occurrence}.{task.id.step}'
            _extend(done.setdefault(step, []), task.id.index)
        elif task.run:
            tasks[_name(task)] = _encode_task(task)
    if done:
        tasks[DONE] = done
    body['tasks'] = tasks
    return body


def _extend(ranges: list[int], index: int) -> None:
    """Adds a number to ranges: the first and the last of each, in a row."""
    if ranges and ranges[-1] == index - 1:
        ranges[-1] = index
    else:
        ranges += [index, index]


def _encode_task(task: Task) -> list[Any]:
    entry: list[Any] = [task.run, task.worker]
    if task.failed_runs or task.checkpoint:
        entry.append(sorted(task.failed_runs))
    if task.checkpoint:
        entry.append(task.checkpoint)
    return entry


def _is_stopping(job: Job) -> bool:
    return any(task.phase.is_placed for task in job.tasks.values())


def _name(task: Task) -> str:
    return f'{task.id.occurrence}.{task.id.step}.{task.id.index}'


def restore_state(
    cluster: ClusterState,
    job: Job,
    body: dict[str, Any],
    lapses_at: float,
    now: float,
) -> None:
    """Takes over what a job's state row says.

    Args:
      cluster: Where the job is.
      job: The job, as admitted.
      body: The row's body.
      lapses_at: Monotonic time by which leases that the previous owner gave
        have run out on a worker that cannot be reached.
      now: Monotonic time.
    """
    state = JobState(body['state'])
    entries = dict(body.get('tasks', {}))
    done = [_parse(job, name) for name in _list_done(entries.pop(DONE, {}))]
    others = {_parse(job, name): entry for name, entry in entries.items()}
    _open_told(cluster, job, [*done, *others])
    for task_id in done:
        task = job.tasks.get(task_id)
        if task is not None:
            cluster.restore_done(task, now)
    for task_id, entry in others.items():
        task = job.tasks.get(task_id)
        if task is not None:
            _restore_task(cluster, task, entry, lapses_at, now)
    if state.is_final:
        job.is_end_logged = True
        cluster.finish_job(job, state, now)
    else:
        job.state = state
    has_begun = state is not JobState.QUEUED
    job.has_started |= has_begun
    job.was_placed |= has_begun
    cluster.dirty.pop(job.spec.id, None)


def _open_told(cluster: ClusterState, job: Job, told: list[TaskId]) -> None:
    """Creates the tasks of occurrences that the previous owner has begun.

    By a slower clock they are not due yet. What the row says of them would be
    dropped, and what is done would run again when they are.
    """
    last = max((task_id.occurrence for task_id in told), default=-1)
    cluster.open_until(job, min(last + 1, max(1, job.spec.occurrences)))


def _list_done(done: dict[str, list[int]]) -> Iterator[str]:
    for step, ranges in done.items():
        for first, last in zip(ranges[::2], ranges[1::2], strict=True):
            for index in range(first, last + 1):
                yield f'{step}.{index}'


def _parse(job: Job, name: str) -> TaskId:
    occurrence, step, index = map(int, name.split('.'))
    return TaskId(job.spec.id, occurrence, step, index)


def _restore_task(
    cluster: ClusterState, task: Task, entry: Any, lapses_at: float, now: float
) -> None:
    if entry == DONE:
        cluster.restore_done(task, now)
        return
    run, worker, *rest = entry
    failed_runs = rest[0] if rest else ()
    checkpoint = rest[1] if len(rest) > 1 else ''
    task.failed_runs = set(failed_runs)
    task.checkpoint = checkpoint
    task.job.has_started |= bool(failed_runs or checkpoint)
    task.run = run
    task.skipped = RUN_MARGIN
    if worker:
        known = cluster.workers.get(worker)
        if known is None:
            known = make_unregistered_worker(worker)
            cluster.workers[worker] = known
        if not known.has_answered:
            known.leases_expire_at = max(known.leases_expire_at, lapses_at)
        cluster.restore_placed(task, known)


def make_unregistered_worker(worker: str) -> Worker:
    """Builds a worker that only a row speaks of, to wait for its leases."""
    entry = WorkerEntry(worker, 0, '', '', '', WorkerState.DRAINING, Room(), ())
    return Worker(entry, is_registered=False)
