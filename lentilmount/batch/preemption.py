"""Selects jobs to preempt, and workers to reserve for large tasks."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable

import attrs

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Demand, Phase, Room

MAX_EXAMINED_WORKERS = 64
"""Maximum number of workers examined for one task; bounds the decision time."""


@attrs.frozen
class Eviction:
    """Jobs to evict from one worker to free resources on it."""

    worker: str
    victims: tuple[Task, ...]


@attrs.frozen
class Reservation:
    """A worker reserved for a pending task.

    Attributes:
      task: Id of the pending task.
      worker: Name of the reserved worker.
      ready: Monotonic time when the task is expected to fit; jobs expected to
        end earlier may still be placed on the worker (backfill).
      until: Monotonic time when the reservation expires.
      urgent: Whether jobs were evicted for the task, so that no other task,
        urgent or not, may use the freed resources.
    """

    task: str
    worker: str
    ready: float
    until: float
    urgent: bool = False


def choose_victims(
    demand: Demand,
    workers: Iterable[tuple[WorkerRecord, Iterable[Task]]],
    cost: Callable[[Task], float],
) -> Eviction | None:
    """Returns the cheapest eviction after which a demand fits, or None.

    Args:
      demand: The resources needed.
      workers: Open workers with the jobs on them that may be evicted.
      cost: Returns the cost of evicting a job.
    """
    best: Eviction | None = None
    lowest = math.inf
    for record, tasks in itertools.islice(workers, MAX_EXAMINED_WORKERS):
        if not demand.fits(record.capacity):
            continue
        victims = _pick_victims(demand, record.free, tasks, cost)
        if victims is None:
            continue
        total = sum(map(cost, victims))
        if total < lowest:
            lowest = total
            best = Eviction(record.name, tuple(victims))
    return best


def _pick_victims(
    demand: Demand,
    free: Room,
    tasks: Iterable[Task],
    cost: Callable[[Task], float],
) -> list[Task] | None:
    available = free
    candidates = []
    for task in tasks:
        if task.phase is Phase.EVICTING or task.phase is Phase.CANCELLING:
            available = available.add(task.demand)
        elif task.phase in (Phase.RUNNING, Phase.STARTING):
            candidates.append(task)
    picked: list[Task] = []
    for task in sorted(candidates, key=cost):
        if demand.fits(available):
            break
        picked.append(task)
        available = available.add(task.demand)
    if not demand.fits(available):
        return None
    # Jobs picked early may be superfluous after a larger one was picked.
    for task in sorted(picked, key=cost, reverse=True):
        without = available.subtract(task.demand)
        if demand.fits(without):
            picked.remove(task)
            available = without
    return picked


def find_reservation(
    task: Task,
    workers: Iterable[tuple[WorkerRecord, Iterable[Task]]],
    get_end: Callable[[Task], float],
) -> tuple[str, float] | None:
    """Returns the worker on which a task will fit first, and the time.

    Source: Lifka, "The ANL/IBM SP Scheduling System", 1995 (EASY backfill).

    Args:
      task: The pending task.
      workers: Open workers with the tasks on them.
      get_end: Returns the monotonic time when a task is expected to end.
    """
    best: tuple[float, str] | None = None
    for record, current in itertools.islice(workers, MAX_EXAMINED_WORKERS):
        if not task.demand.fits(record.capacity):
            continue
        ready = _find_ready_time(task.demand, record.free, current, get_end)
        if ready is not None and (best is None or ready < best[0]):
            best = (ready, record.name)
    return (best[1], best[0]) if best else None


def _find_ready_time(
    demand: Demand,
    free: Room,
    tasks: Iterable[Task],
    get_end: Callable[[Task], float],
) -> float | None:
    ends = sorted(((get_end(t), t.id, t) for t in tasks), key=lambda e: e[:2])
    for end, _, task in ends:
        if math.isinf(end):
            return None
        free = free.add(task.demand)
        if demand.fits(free):
            return end
    return None
