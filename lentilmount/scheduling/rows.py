"""Encoding and restoring of the state row of a job.

The row lets the next owner of the service continue with the job's tasks.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from lentilmount.scheduling.cluster import RUN_NUMBER_MARGIN, ClusterState
from lentilmount.scheduling.model import (
    Job,
    JobState,
    Task,
    TaskPhase,
    WatchedStart,
    make_unregistered_worker,
)
from lentilmount.scheduling.ranges import Ranges
from lentilmount.scheduling.specs import TaskId

DONE = 'done'
"""Key of the ranges of done tasks among the task entries.

Versions that do not support ranges fail to parse this key as a task and release
the service; if they ignored it, they would run the tasks again. In rows of
those versions, it is the entry of a done task."""

FINISHED = 'occurrences'
"""Key of the ranges of finished occurrences among those of done tasks.

Versions that do not know it fail to parse it as a step, as above. The same
holds for the key of an occurrence, its number."""

REQUIRED_FIELDS = 2
"""Number of fields that each task entry has: run and worker."""

DEFAULT_FIELDS: tuple[Any, ...] = (0, '', (), '', (), 0, (), 0.0)
"""Defaults of the fields of a task entry: run, worker, failed runs, checkpoint,
runs that have crashed their workers, 1 if the task is watched, the watched
starts, each with its run, worker, address and start of the incarnation, and the
tolerated stall in seconds."""

WATCHED_START_FIELDS = 3
"""Number of fields of a watched start in a row, beside its run."""


def encode_state(job: Job) -> dict[str, Any]:
    """Builds the body of a job's state row.

    The row is written at each change of any task, and without the following
    rules such rows were over a third of the bytes sent by an owner. Tasks that
    were never started are omitted, and so are all tasks of a finished job that
    has none to stop. Done tasks are stored as index ranges by step; those of a
    schedule also as ranges of steps by occurrence, and as ranges of finished
    occurrences. Trailing default values of a task's entry are omitted.
    """
    body: dict[str, Any] = {'state': job.state.value}
    if job.state.is_final and not _is_stopping(job):
        return body
    tasks: dict[str, Any] = {}
    done = _encode_done_steps(job)
    for task in job.tasks.values():
        step = _format_step_key(task.id.occurrence, task.id.step)
        if task.phase is TaskPhase.DONE or task.is_done_elsewhere:
            if job.count_remaining(task.id.occurrence, task.id.step):
                _append_to_ranges(done.setdefault(step, []), task.id.index)
        elif task.run:
            tasks[f'{step}.{task.id.index}'] = _encode_task(task)
    if done:
        tasks[DONE] = done
    body['tasks'] = tasks
    return body


def _encode_done_steps(job: Job) -> dict[str, list[int]]:
    """Encodes the steps that are done, and the finished occurrences."""
    done: dict[str, list[int]] = {}
    if job.spec.occurrences and job.finished.count:
        done[FINISHED] = job.finished.encode()
    for (occurrence, number), count in job.remaining.items():
        if count:
            continue
        if not job.spec.occurrences:
            step = _format_step_key(occurrence, number)
            done[step] = [0, job.spec.steps[number].count - 1]
        elif occurrence not in job.finished:
            _append_to_ranges(done.setdefault(str(occurrence), []), number)
    return done


def _append_to_ranges(ranges: list[int], index: int) -> None:
    """Appends an index to a flat list of ranges: first, last, first, last."""
    if ranges and ranges[-1] == index - 1:
        ranges[-1] = index
    else:
        ranges += [index, index]


def _encode_task(task: Task) -> list[Any]:
    entry: list[Any] = [
        task.run,
        task.worker,
        sorted(task.failed_runs),
        task.checkpoint,
        sorted(task.crashed_runs),
        int(task.is_watched),
        [
            (run, start.worker, start.address, start.started_ms)
            for run, start in task.watched_starts.items()
        ],
        task.tolerated_stall,
    ]
    while len(entry) > REQUIRED_FIELDS and not entry[-1]:
        entry.pop()
    return entry


def _is_stopping(job: Job) -> bool:
    return any(task.phase.is_placed for task in job.tasks.values())


def _format_step_key(occurrence: int, number: int) -> str:
    return f'{occurrence}.{number}'


def restore_state(
    cluster: ClusterState,
    job: Job,
    body: dict[str, Any],
    leases_expire_at: float,
    now: float,
) -> None:
    """Applies the state row of a job to the cluster state.

    Args:
      cluster: Cluster state that the job was added to.
      job: The job.
      body: Body of the row.
      leases_expire_at: Monotonic time by which leases granted by the previous
        owner have expired on a worker that cannot be reached.
      now: Monotonic time.
    """
    state = JobState(body['state'])
    entries = dict(body.get('tasks', {}))
    ranges = dict(entries.pop(DONE, {}))
    cluster.occurrences.restore_finished(job, ranges.pop(FINISHED, []))
    for name in [name for name in ranges if name.isdigit()]:
        steps = Ranges.decode(ranges.pop(name))
        cluster.restore_done_steps(job, int(name), steps, now)
    done = [_parse_task_key(job, name) for name in _list_done(ranges)]
    others = {
        _parse_task_key(job, name): entry for name, entry in entries.items()
    }
    for task_id in done:
        task = _open_task(cluster, job, task_id)
        if task is not None:
            cluster.restore_done(task, now)
    for task_id, entry in others.items():
        task = _open_task(cluster, job, task_id)
        if task is not None:
            _restore_task(cluster, task, entry, leases_expire_at, now)
    if state.is_final:
        job.is_end_logged = True
        cluster.finish_job(job, state, now)
    has_started = state is not JobState.QUEUED
    job.has_started |= has_started
    job.was_placed |= has_started
    if not state.is_final and job.state.is_final:
        # All tasks were done, the last one while it was still placed.
        return
    job.state = state
    cluster.dirty.pop(job.spec.id, None)
    if not state.is_final:
        cluster.complete_restored_gangs(job, now)


def _open_task(cluster: ClusterState, job: Job, task_id: TaskId) -> Task | None:
    """Returns a task whose occurrence the previous owner had opened.

    The occurrence may not be due yet by a slower clock. Without this, its
    recorded state would be dropped and done tasks would run again.
    """
    total = max(1, job.spec.occurrences)
    if task_id.occurrence < total and task_id.occurrence not in job.finished:
        cluster.occurrences.open_occurrence(job, task_id.occurrence)
    return cluster.occurrences.find_task(job, task_id)


def _list_done(done: dict[str, list[int]]) -> Iterator[str]:
    for step, ranges in done.items():
        for first, last in zip(ranges[::2], ranges[1::2], strict=True):
            for index in range(first, last + 1):
                yield f'{step}.{index}'


def _parse_task_key(job: Job, name: str) -> TaskId:
    occurrence, step, index = map(int, name.split('.'))
    return TaskId(job.spec.id, occurrence, step, index)


def _restore_task(
    cluster: ClusterState,
    task: Task,
    entry: Any,
    leases_expire_at: float,
    now: float,
) -> None:
    if entry == DONE:
        cluster.restore_done(task, now)
        return
    # Later versions may append fields.
    known = entry[: len(DEFAULT_FIELDS)]
    fields = [*known, *DEFAULT_FIELDS[len(known) :]]
    run, worker, failed_runs, checkpoint, *others = fields
    crashed_runs, watched, starts, tolerated_stall = others
    task.failed_runs = set(failed_runs)
    task.checkpoint = checkpoint
    task.crashed_runs = set(crashed_runs)
    task.is_watched = bool(watched or crashed_runs)
    task.tolerated_stall = tolerated_stall
    task.job.has_started |= bool(failed_runs or checkpoint)
    task.run = run
    task.skipped = RUN_NUMBER_MARGIN
    watched_starts = {
        run: WatchedStart(*start_fields[:WATCHED_START_FIELDS])
        for run, *start_fields in starts
    }
    if worker and task.is_watched:
        watched_starts.setdefault(run, WatchedStart(worker))
    if worker:
        start = watched_starts.get(run)
        address = start.address if start and start.worker == worker else ''
        placed_on = cluster.workers.get(worker)
        if placed_on is None:
            placed_on = make_unregistered_worker(worker, address)
            cluster.workers[worker] = placed_on
        if not placed_on.has_answered:
            placed_on.leases_expire_at = max(
                placed_on.leases_expire_at, leases_expire_at
            )
        cluster.restore_placed(task, placed_on)
    for number, start in watched_starts.items():
        cluster.suspects.restore_start(task, number, start, now)
