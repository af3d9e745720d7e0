"""Scheduling policy of one slice, called by its owner in each iteration.

Learned data is held in memory only. A new owner starts from safe values:
declared sizes, unknown interference (assumed to be harmful), an empty
eviction budget, and quarantines that start over.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from lentilmount.batch.budget import EvictionBudget
from lentilmount.batch.drafts import Draft, SliceRows
from lentilmount.batch.fairness import FairShare
from lentilmount.batch.interference_control import (
    InterferenceController,
    PolicySession,
)
from lentilmount.batch.isolation import EvictAction
from lentilmount.batch.learning import SizeLearner
from lentilmount.batch.occupancy import Occupancy
from lentilmount.batch.overruns import OverrunDetector
from lentilmount.batch.placement import explain_refusal
from lentilmount.batch.quarantine import Quarantine
from lentilmount.batch.queue import SERVICES
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.scheduler import PlacementResult, Scheduler
from lentilmount.batch.states import COMMITTED_PHASES, Transition
from lentilmount.configuration import Configuration
from lentilmount.resources import FINAL_PHASES, Demand, Phase, Room
from lentilmount.upstream.workers import Action, Command

INFEASIBLE_CHECK_SECONDS = 5.0
"""Time between two searches for pending jobs that can never run."""


@attrs.define
class Plan:
    """Changes that the policy asks the owner to write.

    Attributes:
      evictions: Jobs to action.
      records: Worker records whose quarantine begins or ends.
    """

    evictions: list[EvictAction] = attrs.Factory(list)
    records: list[WorkerRecord] = attrs.Factory(list)

    @property
    def is_open(self) -> bool:
        """Whether some changes are still to be written."""
        return bool(self.evictions or self.records)


class ObservedRows(SliceRows, Protocol):
    """The rows of a slice, with callbacks on changes."""

    @property
    def observers(self) -> list[Callable[[Task], None]]:
        """Callbacks for the new state of each task after a transaction."""


class Policy:
    """Makes the scheduling decisions of one slice; its owner writes them.

    Args:
      ledger: The slice's rows, loaded.
      sessions: The sessions with its workers, by name.
      configuration: Teams and the deployment's weights.
      slices: Number of slices that share the quotas.
      monotonic: Clock for durations.
      wall: Clock of the task acceptance times.
    """

    def __init__(
        self,
        ledger: ObservedRows,
        sessions: Mapping[str, PolicySession],
        configuration: Configuration,
        slices: int,
        monotonic: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ):
        now = monotonic()
        self._ledger = ledger
        self._sessions = sessions
        self._configuration = configuration
        self._monotonic = monotonic
        self._wall = wall
        self.budget = EvictionBudget(0.0, now)
        self.fair = FairShare(configuration.get_team, slices)
        self.occupancy = Occupancy()
        self.overruns = OverrunDetector()
        self.quarantine = Quarantine()
        self.sizes = SizeLearner()
        self.interference = InterferenceController(
            self.occupancy,
            self.sizes,
            self.overruns,
            lambda: self.budget.try_spend(monotonic()),
        )
        self.scheduler = Scheduler(
            self.occupancy,
            self.sizes,
            self.overruns,
            self.fair,
            self.budget,
            self.quarantine,
            self.interference.make_cost,
            self.update_task,
            lambda task, name: self.interference.limit_cores(
                task, name, monotonic()
            ),
        )
        self._next_check_at = 0.0
        self._inherited = [
            task
            for task in ledger.tasks.values()
            if _is_job(task) and task.phase in COMMITTED_PHASES
        ]
        for task in ledger.tasks.values():
            self.update_task(task)
        ledger.observers.append(self.update_task)

    def update_task(self, task: Task) -> None:
        """Updates the policy from a task's new state; idempotent."""
        now = self._monotonic()
        seconds = self.occupancy.get_running_seconds(task.id, now)
        old = self.occupancy.update(task, now)
        if old is not None and old.attempt != task.attempt:
            self._end_attempt(old, task, 0.0)
            old = None
        if old is None and task.phase in COMMITTED_PHASES:
            if _is_job(task):
                self.fair.add_job(task)
                self.interference.apply_initial_throttle(task, now)
            self.interference.invalidate(task.worker)
        elif old is not None and task.phase not in COMMITTED_PHASES:
            self._end_attempt(old, task, seconds)
        elif old is not None and old.phase is not task.phase:
            self.interference.invalidate(task.worker)
        if task.phase in FINAL_PHASES:
            self.overruns.forget(task)
        self.scheduler.queue.update(task, now)

    def _end_attempt(self, old: Task, task: Task, seconds: float) -> None:
        self.interference.invalidate(old.worker)
        self.interference.forget(old.id)
        self.overruns.forget_attempt(old)
        if not _is_job(old):
            return
        self.fair.remove_job(old)
        if task.phase is Phase.COMPLETED:
            self.quarantine.record_success(old, old.worker)
            if seconds > 0:
                self.sizes.record_completion(old, seconds)
        self.sizes.forget(old)

    def handle_failure(self, task: Task, worker: str) -> bool:
        """Records a failed attempt; returns whether to give the job up."""
        self.quarantine.record_failure(task, worker)
        failed_on = (*task.failures, worker)
        return not task.is_service and self.quarantine.should_give_up(
            task, failed_on, len(self._ledger.workers)
        )

    def explain_refusal(self, task: Task, shapes: list[Room]) -> str | None:
        """Returns why a job can never run, or None.

        Args:
          task: The job.
          shapes: Capacities of all workers that the job may be placed on.
        """
        return self._explain(task.team, task.declared or task.demand, shapes)

    def _explain(
        self, team: str, demand: Demand, shapes: list[Room]
    ) -> str | None:
        no_worker = explain_refusal(demand, shapes)
        return no_worker or self.fair.explain_refusal(team, demand)

    def list_infeasible(
        self, list_shapes: Callable[[str], list[Room]]
    ) -> list[tuple[str, str]]:
        """Returns the ids of pending jobs that can never run, and why.

        Args:
          list_shapes: Returns the capacities of all workers in a zone, or
            none while some are unknown.
        """
        infeasible: list[tuple[str, str]] = []
        now = self._monotonic()
        if now < self._next_check_at:
            return infeasible
        self._next_check_at = now + INFEASIBLE_CHECK_SECONDS
        for group in self.scheduler.queue.list_groups():
            if group.tier == SERVICES:
                continue
            shapes = list_shapes(group.zone)
            reason = self._explain(group.team, group.demand, shapes)
            if reason:
                ids = self.scheduler.queue.list_tasks(group)
                infeasible += [(task_id, reason) for task_id in ids]
        return infeasible

    def plan(self) -> Plan:
        """Processes new measurements, sends throttles and plans evictions."""
        now = self._monotonic()
        weights = self._configuration.get_weights()
        self.interference.set_weights(weights)
        self.budget.set_rate(weights.evictions_per_hour, now)
        self._reset_inherited_throttles()
        plan = Plan()
        for session in self._sessions.values():
            if session.reachable:
                plan.evictions += self.interference.process_usage(session, now)
        self.interference.resend(self._sessions, now)
        plan.records = self.quarantine.review(self._ledger.workers, now)
        return plan

    def _reset_inherited_throttles(self) -> None:
        # The previous owner may have throttled jobs, and its throttles are
        # not stored: without a reset those jobs would stay slow to their end.
        pending = []
        for task in self._inherited:
            session = self._sessions.get(task.worker)
            if session is None or not session.reachable:
                pending.append(task)
                continue
            session.send(Command(Action.THROTTLE, task.id, task.attempt))
        self._inherited = pending

    def apply_plan(self, draft: Draft, plan: Plan) -> set[str]:
        """Writes as much of a plan as fits, and removes it from the plan.

        Returns:
          Names of the workers whose sessions have commands to send.
        """
        workers = set()
        while plan.records and not draft.is_full:
            record = plan.records.pop()
            current = draft.get_worker(record.name)
            draft.set_worker(
                attrs.evolve(current, quarantined=record.quarantined)
            )
        while plan.evictions and not draft.is_full:
            action = plan.evictions.pop()
            task = draft.get_task(action.task)
            if task is None or task.attempt != action.attempt:
                continue
            if task.phase in (Phase.STARTING, Phase.RUNNING):
                draft.transition(task, Transition.EVICT, reason=action.reason)
                workers.add(task.worker)
        return workers

    @property
    def has_urgent(self) -> bool:
        """Whether services or urgent jobs are pending."""
        return self.scheduler.queue.has_urgent

    def place(self, draft: Draft) -> PlacementResult:
        """Places as many pending tasks as fit into one transaction."""
        reachable = [
            name
            for name, session in self._sessions.items()
            if session.reachable
        ]
        records = {**self._ledger.workers, **draft.workers}
        now = self._monotonic()
        self.scheduler.synchronize(records, reachable, now)
        return self.scheduler.place(draft, now, self._wall())

    def explain(self, task: Task) -> str:
        """Returns why a task is still pending."""
        return self.scheduler.explain(task)


def _is_job(task: Task) -> bool:
    return not task.is_service
