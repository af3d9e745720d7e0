"""Applies a worker's reports to the tasks committed on it."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from lentilmount.batch.crashes import (
    Survival,
    explain_crashes,
    record_start,
    should_give_up,
)
from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task
from lentilmount.batch.states import COMMITTED_PHASES, STOPPING, Transition
from lentilmount.resources import Phase
from lentilmount.upstream.workers import AttemptReport, AttemptState, SyncAnswer

AttemptKey = tuple[str, int]
"""A task's id and the number of an attempt."""

HandleFailure = Callable[[Task, str], bool]
"""Records a task's failure on a worker; returns whether to give the job up."""

_TRANSITIONS_BY_STATE = {
    AttemptState.RUNNING: Transition.STARTED,
    AttemptState.FINISHED: Transition.FINISH,
    AttemptState.FAILED: Transition.FAIL,
    AttemptState.STOPPED: Transition.STOPPED,
    AttemptState.LAPSED: Transition.LOST,
}


def requires_transition(task: Task, report: AttemptReport) -> bool:
    """Returns whether a report of a task's attempt requires a transition."""
    if report.state is not AttemptState.RUNNING:
        return True
    return task.phase is Phase.STARTING


def apply_report(
    draft: Draft,
    task_id: str,
    report: AttemptReport,
    worker: str,
    handle_failure: HandleFailure,
    survival: Survival = Survival.UNKNOWN,
) -> None:
    """Applies the transition for a report if it is of the current attempt.

    Reports of earlier attempts are ignored, so that an attempt that finishes
    after it was given up commits no output.

    Args:
      draft: The transaction to change.
      task_id: Id of the task.
      report: The worker's report.
      worker: Name of the worker.
      handle_failure: Records a failure; returns whether to give the job up.
      survival: Whether the worker survived the start of the attempt.
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
    transition = _TRANSITIONS_BY_STATE[report.state]
    if transition is Transition.STOPPED and task.phase not in STOPPING:
        transition = Transition.LOST
    task = record_start(task, worker, survival)
    if transition is Transition.FAIL:
        gives_up = handle_failure(task, worker)
        _apply_failure(draft, task, report, worker, gives_up)
        return
    if transition is Transition.LOST and should_give_up(task):
        draft.transition(task, Transition.GIVE_UP, reason=explain_crashes(task))
        return
    evicted = transition in (Transition.STOPPED, Transition.LOST)
    draft.transition(
        task,
        transition,
        output=report.output if transition is Transition.FINISH else '',
        checkpoint=report.checkpoint or task.checkpoint,
        evictions=task.evictions + evicted,
        reason=(report.message or 'lease lapsed')
        if transition is Transition.LOST
        else task.reason,
    )


def _apply_failure(
    draft: Draft,
    task: Task,
    report: AttemptReport,
    worker: str,
    gives_up: bool,
) -> None:
    draft.transition(
        task,
        Transition.GIVE_UP if gives_up else Transition.FAIL,
        failed_on=(*task.failed_on, worker),
        reason=report.message,
        checkpoint=report.checkpoint or task.checkpoint,
    )


def update_worker(draft: Draft, name: str, answer: SyncAnswer) -> None:
    """Updates a worker's boot, capacity and leaving flag from its answer."""
    record = draft.get_worker(name)
    # The leaving flag stays set until the worker reboots.
    is_leaving = record.leaving and record.boot in ('', answer.boot)
    updated = attrs.evolve(
        record,
        boot=answer.boot,
        capacity=answer.capacity,
        leaving=answer.leaving or is_leaving,
    )
    if updated != record:
        draft.set_worker(updated)
