"""The policy of one slice: what its owner asks in each round of work.

It keeps what it learns in memory. A new owner of the slice begins with what
is safe: declared sizes, unknown interference, which is taken for bad, no
evictions to spend, and quarantines that begin anew.
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
    WorkerLink,
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

JUDGE_SECONDS = 5.0
"""Between two looks for pending jobs that can never run."""


@attrs.define
class Plan:
    """What is to be written down.

    Attributes:
      evictions: Jobs to evict.
      records: Workers whose quarantine begins or ends.
    """

    evictions: list[EvictAction] = attrs.Factory(list)
    records: list[WorkerRecord] = attrs.Factory(list)

    @property
    def is_open(self) -> bool:
        """Whether something is still to be written."""
        return bool(self.evictions or self.records)


class ObservedRows(SliceRows, Protocol):
    """The rows of a slice, whose changes can be followed."""

    @property
    def observers(self) -> list[Callable[[Task], None]]:
        """Called with each task as a transaction left it."""


class Policy:
    """Decides for one slice; the owner carries out.

    Args:
      ledger: The slice's rows, loaded.
      sessions: The links to its workers, by name.
      configuration: Teams, and how the deployment weighs things.
      slices: How many slices share the quotas.
      monotonic: The clock for durations.
      wall: The clock on which tasks were accepted.
    """

    def __init__(
        self,
        ledger: ObservedRows,
        sessions: Mapping[str, WorkerLink],
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
        self.steering = InterferenceController(
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
            self.steering.make_cost,
            self.note,
            lambda task, name: self.steering.limit_cores(
                task, name, monotonic()
            ),
        )
        self._judge_at = 0.0
        self._inherited = [
            task
            for task in ledger.tasks.values()
            if _is_job(task) and task.phase in COMMITTED_PHASES
        ]
        for task in ledger.tasks.values():
            self.note(task)
        ledger.observers.append(self.note)

    def note(self, task: Task) -> None:
        """Takes over a task's new state; once or more, it is the same."""
        now = self._monotonic()
        seconds = self.occupancy.get_running_seconds(task.id, now)
        old = self.occupancy.update(task, now)
        if old is not None and old.attempt != task.attempt:
            self._end(old, task, 0.0)
            old = None
        if old is None and task.phase in COMMITTED_PHASES:
            if _is_job(task):
                self.fair.add_job(task)
                self.steering.apply_initial_throttle(task, now)
            self.steering.invalidate(task.worker)
        elif old is not None and task.phase not in COMMITTED_PHASES:
            self._end(old, task, seconds)
        elif old is not None and old.phase is not task.phase:
            self.steering.invalidate(task.worker)
        if task.phase in FINAL_PHASES:
            self.overruns.forget(task)
        self.scheduler.queue.update(task, now)

    def _end(self, old: Task, task: Task, seconds: float) -> None:
        self.steering.invalidate(old.worker)
        self.steering.forget(old.id)
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
        """Takes in that an attempt failed; tells whether to give the job up."""
        self.quarantine.record_failure(task, worker)
        failed_on = (*task.failed_on, worker)
        return not task.is_service and self.quarantine.should_give_up(
            task, failed_on, len(self._ledger.workers)
        )

    def explain_refusal(self, task: Task, shapes: list[Room]) -> str | None:
        """Says why a job can never run, or returns None.

        Args:
          task: The job.
          shapes: What workers have in all, wherever the job might go.
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
        """Returns pending jobs that can never run, and why.

        Args:
          list_shapes: Returns all shapes of worker in a zone, or nothing
            while some are not known.
        """
        infeasible: list[tuple[str, str]] = []
        now = self._monotonic()
        if now < self._judge_at:
            return infeasible
        self._judge_at = now + JUDGE_SECONDS
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
        """Takes in what was measured, throttles, and plans evictions."""
        now = self._monotonic()
        weights = self._configuration.get_weights()
        self.steering.set_weights(weights)
        self.budget.set_rate(weights.evictions_per_hour, now)
        self._free_inherited()
        plan = Plan()
        for session in self._sessions.values():
            if session.reachable:
                plan.evictions += self.steering.process_usage(session, now)
        self.steering.resend(self._sessions, now)
        plan.records = self.quarantine.review(self._ledger.workers, now)
        return plan

    def _free_inherited(self) -> None:
        # A former owner may have throttled jobs, and nobody knows any more
        # how far: left alone they would crawl to their ends.
        waiting = []
        for task in self._inherited:
            session = self._sessions.get(task.worker)
            if session is None or not session.reachable:
                waiting.append(task)
                continue
            session.send(Command(Action.THROTTLE, task.id, task.attempt))
        self._inherited = waiting

    def apply_plan(self, draft: Draft, plan: Plan) -> set[str]:
        """Writes as much of a plan as fits, and takes it off the plan.

        Returns:
          The workers whose links have news.
        """
        workers = set()
        while plan.records and not draft.is_full:
            record = plan.records.pop()
            current = draft.get_worker(record.name)
            draft.set_worker(
                attrs.evolve(current, quarantined=record.quarantined)
            )
        while plan.evictions and not draft.is_full:
            evict = plan.evictions.pop()
            task = draft.get_task(evict.task)
            if task is None or task.attempt != evict.attempt:
                continue
            if task.phase in (Phase.STARTING, Phase.RUNNING):
                draft.transition(task, Transition.EVICT, reason=evict.reason)
                workers.add(task.worker)
        return workers

    @property
    def has_urgent(self) -> bool:
        """Whether something waits that does not give way to batch."""
        return self.scheduler.queue.has_urgent

    def place(self, draft: Draft) -> PlacementResult:
        """Places what is pending, as much as fits in one transaction."""
        reachable = [
            n for n, session in self._sessions.items() if session.reachable
        ]
        records = {**self._ledger.workers, **draft.workers}
        now = self._monotonic()
        self.scheduler.synchronize(records, reachable, now)
        return self.scheduler.place(draft, now, self._wall())

    def explain(self, task: Task) -> str:
        """Says why a pending task waits."""
        return self.scheduler.explain(task)


def _is_job(task: Task) -> bool:
    return not task.is_service
