"""Places the pending tasks of a slice.

Applies queue order, quotas and fair shares, reservations for large jobs, and
preemption for urgent tasks.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from lentilmount.batch.budget import EvictionBudget
from lentilmount.batch.crashes import START_WATCH_SECONDS, must_start_alone
from lentilmount.batch.drafts import Draft
from lentilmount.batch.fairness import FairShare
from lentilmount.batch.learning import SizeLearner
from lentilmount.batch.occupancy import Occupancy, is_evictable
from lentilmount.batch.overruns import OverrunDetector
from lentilmount.batch.placement import Cost, WorkerIndex
from lentilmount.batch.preemption import (
    Reservation,
    choose_victims,
    find_reservation,
)
from lentilmount.batch.quarantine import Quarantine
from lentilmount.batch.queue import BATCH, Group, PendingQueue, QueuePass
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.states import Transition
from lentilmount.resources import Demand, Phase, Room

RESERVE_AFTER_SECONDS = 120.0
"""Time that a batch job waits before a worker is reserved for it."""

RESERVATION_SECONDS = 600.0
"""Time that a reservation outlasts the expected end of the blocking jobs."""

PREEMPTION_RESERVATION_SECONDS = 20.0
"""Time that freed resources are reserved for the task that preempted."""

REFRESH_SECONDS = 1.0
"""Maximum age of the capacity and team weights that fair share uses."""

EXCESS_WEIGHT = 10.0
"""Reduces the eviction cost of jobs by their team's weighted share."""

MAX_FAILED_GROUPS = 8
"""Batch groups that may fail to be placed in one pass.

The others are tried in the next pass, after urgent tasks that have arrived
in the meantime.
"""


@attrs.define
class PlacementResult:
    """Result of one placement pass.

    Attributes:
      workers: Names of the workers whose sessions have commands to send.
      more: Whether the transaction filled up before the queue was done.
    """

    workers: set[str] = attrs.Factory(set)
    more: bool = False


class Scheduler:
    """Places pending tasks by changing a draft transaction of the slice.

    Args:
      occupancy: The tasks on each worker.
      sizes: Learned sizes and run times of job classes.
      overruns: Measured needs of jobs that exceeded their commitment.
      fair: Quotas and fair shares of teams.
      budget: Evictions that may be spent.
      quarantine: Workers on probation.
      make_cost: Returns the placement cost function of a task, from the
        task, the monotonic time and the seconds it has been pending.
      on_change: Called with each task whose state was changed in the draft.
      limit_cores: Returns a task with its cores reduced to the share that it
        may use on the named worker.
    """

    def __init__(
        self,
        occupancy: Occupancy,
        sizes: SizeLearner,
        overruns: OverrunDetector,
        fair: FairShare,
        budget: EvictionBudget,
        quarantine: Quarantine,
        make_cost: Callable[[Task, float, float], Cost],
        on_change: Callable[[Task], None],
        limit_cores: Callable[[Task, str], Task],
    ):
        self.queue = PendingQueue()
        self.index = WorkerIndex()
        self.reservations: dict[str, Reservation] = {}
        self._refresh_at = -math.inf
        # Tasks beside which no other attempt may start yet, by worker.
        self._starting_alone: dict[str, Task] = {}
        self._occupancy = occupancy
        self._sizes = sizes
        self._overruns = overruns
        self._fair = fair
        self._budget = budget
        self._quarantine = quarantine
        self._make_cost = make_cost
        self._on_change = on_change
        self._limit_cores = limit_cores

    def synchronize(
        self,
        records: Mapping[str, WorkerRecord],
        reachable: Iterable[str],
        now: float,
    ) -> None:
        """Updates the worker index and, from time to time, the capacity.

        Args:
          records: All worker records by name.
          reachable: Names of the reachable workers.
          now: Monotonic time.
        """
        self.index.synchronize(records, reachable)
        for room in self.index.pop_grown():
            self.queue.unblock(room)
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_SECONDS
            total = Room()
            for record in records.values():
                total = total.add(record.capacity)
            self._fair.set_capacity(total)

    def place(self, draft: Draft, now: float, wall: float) -> PlacementResult:
        """Places as many pending tasks as fit into one transaction.

        Args:
          draft: The transaction.
          now: Monotonic time.
          wall: Wall time, which task acceptance times refer to.
        """
        result = PlacementResult()
        self._drop_reservations(now)
        self._drop_started(now)
        failed = 0
        queue_pass = QueuePass(self.queue, self._fair.get_share, now, wall)
        while True:
            if draft.is_full:
                result.more = True
                return result
            head = queue_pass.pop()
            if head is None or failed >= MAX_FAILED_GROUPS:
                return result
            group, task_id = head
            task = draft.get_task(task_id)
            if task is None or task.phase is not Phase.PENDING:
                self.queue.remove(task_id)
                queue_pass.requeue(group)
                continue
            task = self._apply_learned_size(task)
            if self._try_place(draft, queue_pass, group, task, now, result):
                queue_pass.requeue(group)
            else:
                queue_pass.block(group, task.demand)
                failed += group.tier == BATCH

    def _try_place(
        self,
        draft: Draft,
        queue_pass: QueuePass,
        group: Group,
        task: Task,
        now: float,
        result: PlacementResult,
    ) -> bool:
        if not task.is_service and not self._fair.allows(
            task.team, task.demand
        ):
            return False
        worker = None
        if not queue_pass.is_too_large(task.demand):
            pending_seconds = self.queue.get_pending_seconds(task.id, now)
            cost = self._make_cost(task, now, pending_seconds)
            cost = self._exclude_reserved(task, cost, now)
            worker = self.index.choose(self._reset_failed_workers(task), cost)
        if worker is not None:
            placed = draft.place(self._limit_cores(task, worker.name), worker)
            self.index.update(draft.get_worker(worker.name))
            self.reservations.pop(task.id, None)
            self._on_change(placed)
            if must_start_alone(placed):
                self._starting_alone[worker.name] = placed
            result.workers.add(worker.name)
            return True
        self._reserve_or_preempt(draft, queue_pass, group, task, now, result)
        return False

    def _apply_learned_size(self, task: Task) -> Task:
        """Returns a job with its learned or measured demand."""
        if task.is_service:
            return task
        declared = task.declared or task.demand
        need = self._overruns.get_need(task)
        demand = need or self._sizes.get_demand(task, declared)
        if demand != declared and not self._fits_some_worker(demand):
            demand = declared
        return attrs.evolve(task, demand=demand, declared=declared, share=1.0)

    def _reset_failed_workers(self, task: Task) -> Task:
        """Clears a job's failed workers if it failed on all open ones."""
        if not task.failed_on:
            return task
        names = {record.name for record in self.index.list_open()}
        if names - task.avoided_workers:
            return task
        return attrs.evolve(task, failed_on=())

    def _fits_some_worker(self, demand: Demand) -> bool:
        return any(demand.fits(r.capacity) for r in self.index.list_open())

    def _exclude_reserved(self, task: Task, cost: Cost, now: float) -> Cost:
        """Returns a cost that rejects workers reserved for other tasks.

        It also rejects workers on probation that already hold a task, and
        those where a task that must start alone would not.
        """
        reserved_workers = {
            reservation.worker: reservation
            for reservation in self.reservations.values()
            if reservation.task != task.id
        }
        end = now + self._sizes.get_seconds(task)
        restricted = is_batch_job(task)
        if task.is_service:
            reserved_workers = {}

        def get_cost(record: WorkerRecord) -> float:
            reservation = reserved_workers.get(record.name)
            if (
                reservation
                and (restricted or reservation.urgent)
                and end > reservation.ready
            ):
                return math.inf
            if self._has_probation_task(record):
                return math.inf
            if not self._may_start_beside(task, record.name, now):
                return math.inf
            return cost(record)

        return get_cost

    def _may_start_beside(self, task: Task, worker: str, now: float) -> bool:
        if worker in self._starting_alone:
            return False
        return not must_start_alone(task) or not any(
            self._is_starting(other, now)
            for other in self._occupancy.list_tasks(worker)
        )

    def _is_starting(self, task: Task, now: float) -> bool:
        seconds = self._occupancy.get_running_seconds(task.id, now)
        return seconds < START_WATCH_SECONDS

    def _drop_started(self, now: float) -> None:
        for worker, task in list(self._starting_alone.items()):
            current = self._occupancy.get(task.id)
            is_held = current is not None and current.attempt == task.attempt
            if not is_held or not self._is_starting(task, now):
                del self._starting_alone[worker]

    def _has_probation_task(self, record: WorkerRecord) -> bool:
        on_probation = self._quarantine.is_on_probation(record.name)
        return on_probation and bool(record.commitments)

    def _drop_reservations(self, now: float) -> None:
        for reservation in list(self.reservations.values()):
            is_pending = self.queue.is_pending(reservation.task)
            useful = (
                reservation.worker in self.index and now <= reservation.until
            )
            if not is_pending or not useful:
                del self.reservations[reservation.task]

    def _reserve_or_preempt(
        self,
        draft: Draft,
        queue_pass: QueuePass,
        group: Group,
        task: Task,
        now: float,
        result: PlacementResult,
    ) -> None:
        reservation = self.reservations.get(task.id)
        starts_alone = must_start_alone(task)
        if reservation is not None:
            if not starts_alone and task.demand.fits(
                self.index.get_free(reservation.worker)
            ):
                # The reserved worker has enough free resources, so something
                # else blocks the task.
                del self.reservations[task.id]
            return
        if starts_alone and self._reserve_alone(task, now):
            return
        if group.tier < BATCH:
            self._preempt(draft, task, now, result)
            return
        has_room = self.index.choose(task) is not None
        if has_room or task.failures:
            return
        # Others of its size may fit on the workers that it avoids.
        if not task.crashes:
            queue_pass.record_unplaceable(task.demand)
        pending_seconds = self.queue.get_pending_seconds(task.id, now)
        reserved = any(not r.urgent for r in self.reservations.values())
        if pending_seconds >= RESERVE_AFTER_SECONDS and not reserved:
            self._reserve(task, now)

    def _reserve_alone(self, task: Task, now: float) -> bool:
        """Reserves a worker with room until no attempt is starting there.

        Returns:
          Whether a worker has room.
        """
        pending_seconds = self.queue.get_pending_seconds(task.id, now)
        cost = self._make_cost(task, now, pending_seconds)
        cost = self._exclude_reserved(task.clear_crashes(), cost, now)
        worker = self.index.choose(self._reset_failed_workers(task), cost)
        if worker is None:
            return False
        until = now + START_WATCH_SECONDS + PREEMPTION_RESERVATION_SECONDS
        self.reservations[task.id] = Reservation(
            task.id, worker.name, now, until, urgent=True
        )
        return True

    def _preempt(
        self, draft: Draft, task: Task, now: float, result: PlacementResult
    ) -> None:
        reserved_workers = {
            reservation.worker for reservation in self.reservations.values()
        }
        avoided = task.avoided_workers
        candidates = (
            (record, list(self._list_victims(draft, record.name)))
            for record in self._list_candidates(task.demand)
            if record.name not in reserved_workers
            and record.name not in avoided
        )
        chosen = choose_victims(
            task.demand,
            candidates,
            lambda victim: self._get_eviction_cost(victim, now),
        )
        if chosen is None:
            return
        for victim in chosen.victims:
            if draft.is_full:
                result.more = True
                break
            self._budget.force_spend(now)
            moved = draft.transition(
                victim, Transition.EVICT, reason=f'makes room for {task.id}'
            )
            self._on_change(moved)
        result.workers.add(chosen.worker)
        until = now + PREEMPTION_RESERVATION_SECONDS
        self.reservations[task.id] = Reservation(
            task.id, chosen.worker, now, until, urgent=True
        )

    def _list_victims(self, draft: Draft, worker: str) -> Iterator[Task]:
        for listed in self._occupancy.list_tasks(worker):
            task = draft.get_task(listed.id)
            if task is None or task.attempt != listed.attempt:
                continue
            if is_evictable(task) or task.phase is Phase.EVICTING:
                yield task

    def _get_eviction_cost(self, victim: Task, now: float) -> float:
        """Returns the cost of evicting a job, in seconds of lost work.

        The job's run time approximates its progress since the last
        checkpoint, whose time is not reported. Jobs of teams with a large
        fair share cost less, so they are evicted first.
        """
        excess = 1 + EXCESS_WEIGHT * self._fair.get_share(victim.team)
        lost = 1 + self._occupancy.get_running_seconds(victim.id, now)
        return lost * (1 + victim.evictions) / excess

    def _reserve(self, task: Task, now: float) -> None:
        avoided = self._reset_failed_workers(task).avoided_workers
        candidates = (
            (record, self._occupancy.list_tasks(record.name))
            for record in self._list_candidates(task.demand)
            if record.name not in avoided
        )
        found = find_reservation(
            task, candidates, lambda t: self._estimate_end(t, now)
        )
        if found is not None:
            worker, ready = found
            until = max(now, ready) + RESERVATION_SECONDS
            self.reservations[task.id] = Reservation(
                task.id, worker, ready, until
            )

    def _estimate_end(self, task: Task, now: float) -> float:
        if task.is_service:
            return math.inf
        ran = self._occupancy.get_running_seconds(task.id, now)
        return now + max(1.0, self._sizes.get_seconds(task) - ran)

    def _list_candidates(self, demand: Demand) -> Iterator[WorkerRecord]:
        """Yields open workers that could hold a demand, in rotating order."""
        return self.index.rotate(demand)

    def explain(self, task: Task) -> str:
        """Returns why a task is still pending."""
        if task.id in self.reservations:
            reservation = self.reservations[task.id]
            return f'room is being freed on {reservation.worker}'
        sized = self._apply_learned_size(task)
        if not task.is_service and not self._fair.allows(
            task.team, sized.demand
        ):
            return 'the quota of the team is used up'
        if self.index.choose(sized) is None:
            return 'no worker has room now'
        return 'would disturb the services where there is room'


def is_batch_job(task: Task) -> bool:
    """Returns whether a task is a job of batch urgency."""
    return not task.is_service and task.urgency.value == 'batch'
