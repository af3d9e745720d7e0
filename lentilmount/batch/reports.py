"""What a worker's report means for the tasks committed on it."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task
from lentilmount.batch.states import COMMITTED_PHASES, STOPPING, Transition
from lentilmount.resources import Phase
from lentilmount.upstream.workers import AttemptReport, AttemptState, SyncAnswer

AttemptKey = tuple[str, int]
"""A task's id and the number of an attempt."""

HandleFailure = Callable[[Task, str], bool]
"""Told of a failure on a worker, tells whether to give the job up."""

_MOVES_BY_STATE = {
    AttemptState.RUNNING: Transition.STARTED,
    AttemptState.FINISHED: Transition.FINISH,
    AttemptState.FAILED: Transition.FAIL,
    AttemptState.STOPPED: Transition.STOPPED,
    AttemptState.LAPSED: Transition.LOST,
}


def requires_transition(task: Task, report: AttemptReport) -> bool:
    """Tells whether a report of a task's attempt calls for a move."""
    if report.state is not AttemptState.RUNNING:
        return True
    return task.phase is Phase.STARTING


def apply_report(
    draft: Draft,
    task_id: str,
    report: AttemptReport,
    worker: str,
    handle_failure: HandleFailure,
) -> None:
    """Makes the move that a report calls for, if it is of the current attempt.

    A report of an earlier attempt changes nothing, so that an attempt that
    was given up and finished all the same commits no output.
    """
    task = draft.get_task(task_id)
    if task is None or task.attempt != report.attempt:
        return
    if task.phase not in COMMITTED_PHASES or task.worker != worker:
        return
    if report.state is AttemptState.RUNNING:
        if task.phase is Phase.STARTING:
            draft.transition(task, Transition.STARTED, endpoint=report.endpoint)
        return
    move = _MOVES_BY_STATE[report.state]
    if move is Transition.STOPPED and task.phase not in STOPPING:
        move = Transition.LOST
    if move is Transition.FAIL:
        hopeless = handle_failure(task, worker)
        _apply_failure(draft, task, report, worker, hopeless)
        return
    evicted = move in (Transition.STOPPED, Transition.LOST)
    draft.transition(
        task,
        move,
        output=report.output if move is Transition.FINISH else '',
        checkpoint=report.checkpoint or task.checkpoint,
        evictions=task.evictions + evicted,
        reason=(report.message or 'lease lapsed')
        if move is Transition.LOST
        else task.reason,
    )


def _apply_failure(
    draft: Draft,
    task: Task,
    report: AttemptReport,
    worker: str,
    hopeless: bool,
) -> None:
    draft.transition(
        task,
        Transition.GIVE_UP if hopeless else Transition.FAIL,
        failed_on=(*task.failed_on, worker),
        reason=report.message,
        checkpoint=report.checkpoint or task.checkpoint,
    )


def update_worker(draft: Draft, name: str, answer: SyncAnswer) -> None:
    """Takes over a worker's boot, capacity and leaving mark where changed."""
    record = draft.get_worker(name)
    # A mark of leaving stays for the boot that it was about.
    stays = record.leaving and record.boot in ('', answer.boot)
    fresh = attrs.evolve(
        record,
        boot=answer.boot,
        capacity=answer.capacity,
        leaving=answer.leaving or stays,
    )
    if fresh != record:
        draft.set_worker(fresh)
