"""Making room: which jobs to evict, and which worker to keep free."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable

import attrs

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Demand, Phase, Room

PROBES = 64
"""Workers that are looked at for one task; bounds the time of a decision."""


@attrs.frozen
class Eviction:
    """Jobs to evict from one worker to make room."""

    worker: str
    victims: tuple[Task, ...]


@attrs.frozen
class Reservation:
    """A worker kept for a task that waits for room.

    Attributes:
      task: Id of the task that waits.
      worker: The worker kept for it.
      ready: Monotonic time when there should be room; what surely ends
        earlier may use the worker until then.
      until: Monotonic time when the reservation lapses.
      urgent: Whether jobs were evicted for it, so that nobody else, urgent or
        not, may take the room.
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
    """Returns the cheapest eviction that makes room for a demand, or None."""
    best: Eviction | None = None
    lowest = math.inf
    for record, tasks in itertools.islice(workers, PROBES):
        if not demand.fits(record.capacity):
            continue
        victims = _pick(demand, record.free, tasks, cost)
        if victims is None:
            continue
        total = sum(map(cost, victims))
        if total < lowest:
            lowest = total
            best = Eviction(record.name, tuple(victims))
    return best


def _pick(
    demand: Demand,
    free: Room,
    tasks: Iterable[Task],
    cost: Callable[[Task], float],
) -> list[Task] | None:
    coming = free
    able = []
    for task in tasks:
        if task.phase is Phase.EVICTING or task.phase is Phase.CANCELLING:
            coming = coming.add(task.demand)
        elif task.phase in (Phase.RUNNING, Phase.STARTING):
            able.append(task)
    picked: list[Task] = []
    for task in sorted(able, key=cost):
        if demand.fits(coming):
            break
        picked.append(task)
        coming = coming.add(task.demand)
    if not demand.fits(coming):
        return None
    # A cheap one taken early may not be needed beside a large one.
    for task in sorted(picked, key=cost, reverse=True):
        without = coming.subtract(task.demand)
        if demand.fits(without):
            picked.remove(task)
            coming = without
    return picked


def find_reservation(
    task: Task,
    workers: Iterable[tuple[WorkerRecord, Iterable[Task]]],
    get_end: Callable[[Task], float],
) -> tuple[str, float] | None:
    """Returns the worker with room for a task first, and when.

    Source: Lifka, "The ANL/IBM SP Scheduling System", 1995 (EASY backfill).

    Args:
      task: The task that waits.
      workers: Open workers and what runs on them.
      get_end: When a task should end.
    """
    best: tuple[float, str] | None = None
    for record, held in itertools.islice(workers, PROBES):
        if not task.demand.fits(record.capacity):
            continue
        ready = _find_time(task.demand, record.free, held, get_end)
        if ready is not None and (best is None or ready < best[0]):
            best = (ready, record.name)
    return (best[1], best[0]) if best else None


def _find_time(
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
