"""Placing what is pending: order, room, shares, reservations, preemption."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from lentilmount.batch.budget import EvictionBudget
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
"""How long a batch job waits before a worker is kept free for it."""

RESERVED_SECONDS = 600.0
PREEMPTED_SECONDS = 20.0
"""How long freed room is kept for the urgent task that it was freed for."""

RENEW_SECONDS = 1.0
"""How old the capacity and the teams' weights in the fair share may be."""

EXCESS_WEIGHT = 10.0
"""Lost work of a team with a whole weighted share counts so much less."""

FAILED_TRIES = 8
"""Batch groups that may fail to be placed in one pass. The others are tried
in the next one, and what came meanwhile and is urgent goes first there."""


@attrs.define
class PlacementResult:
    """What one pass did.

    Attributes:
      workers: Workers whose links have news.
      more: Whether the transaction filled up before the queue was done.
    """

    workers: set[str] = attrs.Factory(set)
    more: bool = False


class Scheduler:
    """Places pending tasks into a draft of the ledger."""

    def __init__(
        self,
        occupancy: Occupancy,
        sizes: SizeLearner,
        overruns: OverrunDetector,
        fair: FairShare,
        budget: EvictionBudget,
        quarantine: Quarantine,
        make_cost: Callable[[Task, float, float], Cost],
        note: Callable[[Task], None],
        limit: Callable[[Task, str], Task],
    ):
        self.queue = PendingQueue()
        self.index = WorkerIndex()
        self.reservations: dict[str, Reservation] = {}
        self._renew_at = -math.inf
        self._occupancy = occupancy
        self._sizes = sizes
        self._overruns = overruns
        self._fair = fair
        self._budget = budget
        self._quarantine = quarantine
        self._make_cost = make_cost
        self._note = note
        self._limit = limit

    def synchronize(
        self,
        records: Mapping[str, WorkerRecord],
        reachable: Iterable[str],
        now: float,
    ) -> None:
        """Takes over what changed of the workers."""
        self.index.synchronize(records, reachable)
        for room in self.index.pop_grown():
            self.queue.unblock(room)
        if now >= self._renew_at:
            self._renew_at = now + RENEW_SECONDS
            total = Room()
            for record in records.values():
                total = total.add(record.capacity)
            self._fair.set_capacity(total)

    def place(self, draft: Draft, now: float, wall: float) -> PlacementResult:
        """Places as many pending tasks as fit into one transaction."""
        done = PlacementResult()
        self._drop_reservations(now)
        failed = 0
        work = QueuePass(self.queue, self._fair.get_share, now, wall)
        while True:
            if draft.is_full:
                done.more = True
                return done
            taken = work.pop()
            if taken is None or failed >= FAILED_TRIES:
                return done
            group, task_id = taken
            task = draft.get_task(task_id)
            if task is None or task.phase is not Phase.PENDING:
                self.queue.remove(task_id)
                work.requeue(group)
                continue
            task = self._size(task)
            if self._try_place(draft, work, group, task, now, done):
                work.requeue(group)
            else:
                work.block(group, task.demand)
                failed += group.tier == BATCH

    def _try_place(
        self,
        draft: Draft,
        work: QueuePass,
        group: Group,
        task: Task,
        now: float,
        done: PlacementResult,
    ) -> bool:
        if not task.is_service and not self._fair.allows(
            task.team, task.demand
        ):
            return False
        worker = None
        if not work.is_too_large(task.demand):
            pending_seconds = self.queue.get_pending_seconds(task.id, now)
            cost = self._make_cost(task, now, pending_seconds)
            cost = self._keep_off(task, cost, now)
            worker = self.index.choose(self._forgive(task), cost)
        if worker is not None:
            placed = draft.place(self._limit(task, worker.name), worker)
            self.index.update(draft.get_worker(worker.name))
            self.reservations.pop(task.id, None)
            self._note(placed)
            done.workers.add(worker.name)
            return True
        self._find_way(draft, work, group, task, now, done)
        return False

    def _size(self, task: Task) -> Task:
        """Gives a job the size that was learned for it."""
        if task.is_service:
            return task
        declared = task.declared or task.demand
        need = self._overruns.get_need(task)
        demand = need or self._sizes.get_demand(task, declared)
        if demand != declared and not self._could_hold(demand):
            demand = declared
        return attrs.evolve(task, demand=demand, declared=declared, share=1.0)

    def _forgive(self, task: Task) -> Task:
        """Lets a job that failed on every open worker try them again."""
        if not task.failed_on:
            return task
        names = {record.name for record in self.index.list_open()}
        if names - set(task.failed_on):
            return task
        return attrs.evolve(task, failed_on=())

    def _could_hold(self, demand: Demand) -> bool:
        return any(demand.fits(r.capacity) for r in self.index.list_open())

    def _keep_off(self, task: Task, cost: Cost, now: float) -> Cost:
        """Adds to a cost the workers that are kept for others."""
        kept = {
            held.worker: held
            for held in self.reservations.values()
            if held.task != task.id
        }
        end = now + self._sizes.get_seconds(task)
        restricted = is_batch(task)
        if task.is_service:
            kept = {}

        def price(record: WorkerRecord) -> float:
            held = kept.get(record.name)
            if held and (restricted or held.urgent) and end > held.ready:
                return math.inf
            if self._is_probed(record):
                return math.inf
            return cost(record)

        return price

    def _is_probed(self, record: WorkerRecord) -> bool:
        probed = self._quarantine.is_on_probation(record.name)
        return probed and bool(record.commitments)

    def _drop_reservations(self, now: float) -> None:
        for held in list(self.reservations.values()):
            waiting = self.queue.is_pending(held.task)
            useful = held.worker in self.index and now <= held.until
            if not waiting or not useful:
                del self.reservations[held.task]

    def _find_way(
        self,
        draft: Draft,
        work: QueuePass,
        group: Group,
        task: Task,
        now: float,
        done: PlacementResult,
    ) -> None:
        held = self.reservations.get(task.id)
        if held is not None:
            if task.demand.fits(self.index.get_free(held.worker)):
                # There is room, and something else keeps the task off.
                del self.reservations[task.id]
            return
        if group.tier < BATCH:
            self._preempt(draft, task, now, done)
            return
        has_room = self.index.choose(task) is not None
        if has_room or task.failed_on:
            return
        work.record_unplaceable(task.demand)
        pending_seconds = self.queue.get_pending_seconds(task.id, now)
        reserved = any(not r.urgent for r in self.reservations.values())
        if pending_seconds >= RESERVE_AFTER_SECONDS and not reserved:
            self._reserve(task, now)

    def _preempt(
        self, draft: Draft, task: Task, now: float, done: PlacementResult
    ) -> None:
        kept = {held.worker for held in self.reservations.values()}
        able = (
            (record, list(self._list_victims(draft, record.name)))
            for record in self._list_probes(task.demand)
            if record.name not in kept and record.name not in task.failed_on
        )
        chosen = choose_victims(
            task.demand, able, lambda victim: self._price(victim, now)
        )
        if chosen is None:
            return
        for victim in chosen.victims:
            if draft.is_full:
                done.more = True
                break
            self._budget.force_spend(now)
            moved = draft.transition(
                victim, Transition.EVICT, reason=f'makes room for {task.id}'
            )
            self._note(moved)
        done.workers.add(chosen.worker)
        until = now + PREEMPTED_SECONDS
        self.reservations[task.id] = Reservation(
            task.id, chosen.worker, now, until, urgent=True
        )

    def _list_victims(self, draft: Draft, worker: str) -> Iterator[Task]:
        for held in self._occupancy.list_tasks(worker):
            task = draft.get_task(held.id)
            if task is None or task.attempt != held.attempt:
                continue
            if is_evictable(task) or task.phase is Phase.EVICTING:
                yield task

    def _price(self, victim: Task, now: float) -> float:
        """Returns what evicting a job costs, in seconds of lost work.

        Its run time stands for its progress since the last checkpoint, whose
        time is not reported. A team over its fair share loses work first.
        """
        excess = 1 + EXCESS_WEIGHT * self._fair.get_share(victim.team)
        lost = 1 + self._occupancy.get_running_seconds(victim.id, now)
        return lost * (1 + victim.evictions) / excess

    def _reserve(self, task: Task, now: float) -> None:
        able = (
            (record, self._occupancy.list_tasks(record.name))
            for record in self._list_probes(task.demand)
        )
        found = find_reservation(task, able, lambda t: self._get_end(t, now))
        if found is not None:
            worker, ready = found
            until = max(now, ready) + RESERVED_SECONDS
            self.reservations[task.id] = Reservation(
                task.id, worker, ready, until
            )

    def _get_end(self, task: Task, now: float) -> float:
        if task.is_service:
            return math.inf
        ran = self._occupancy.get_running_seconds(task.id, now)
        return now + max(1.0, self._sizes.get_seconds(task) - ran)

    def _list_probes(self, demand: Demand) -> Iterator[WorkerRecord]:
        """Yields open workers that could hold a demand, in changing order."""
        return self.index.rotate(demand)

    def explain(self, task: Task) -> str:
        """Says why a pending task waits."""
        if task.id in self.reservations:
            held = self.reservations[task.id]
            return f'room is being freed on {held.worker}'
        sized = self._size(task)
        if not task.is_service and not self._fair.allows(
            task.team, sized.demand
        ):
            return 'the quota of the team is used up'
        if self.index.choose(sized) is None:
            return 'no worker has room now'
        return 'would disturb the services where there is room'


def is_batch(task: Task) -> bool:
    """Tells whether a task gives way to all others."""
    return not task.is_service and task.urgency.value == 'batch'
