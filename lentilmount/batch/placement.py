"""Which worker a task goes to."""

from __future__ import annotations

from collections.abc import Iterable

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Demand, Room


def choose_worker(
    task: Task, workers: Iterable[WorkerRecord]
) -> WorkerRecord | None:
    """Returns the worker that is left with the least room, or None.

    Services spread out instead: each replica goes to a worker that has none
    of its siblings, and has the most room.
    """
    fitting = [
        worker
        for worker in workers
        if worker.is_open
        and task.demand.fits(worker.free)
        and worker.name not in task.failed_on
    ]
    if not fitting:
        return None
    if task.is_service:
        return min(fitting, key=lambda w: _rank_spread(task, w))
    return min(fitting, key=lambda w: (_measure(w.free), w.name))


def _rank_spread(task: Task, worker: WorkerRecord) -> tuple[int, float, str]:
    siblings = sum(
        commitment.startswith(task.resource + '/')
        for commitment in worker.commitments
    )
    return siblings, -_measure(worker.free), worker.name


def _measure(room: Room) -> float:
    return room.cores + room.memory_mb / 4096 + 8 * room.accelerators


def explain_refusal(
    demand: Demand, workers: Iterable[WorkerRecord]
) -> str | None:
    """Says why no worker could ever hold a demand, or returns None."""
    shapes = [worker.capacity for worker in workers]
    if not shapes or any(demand.fits(shape) for shape in shapes):
        return None
    largest = Room(
        max(shape.cores for shape in shapes),
        max(shape.memory_mb for shape in shapes),
        max(shape.accelerators for shape in shapes),
    )
    return (
        f'no worker has {demand.cores:g} cores, {demand.memory_mb} MiB and '
        f'{demand.accelerators} accelerators; the most of each is '
        f'{largest.cores:g}, {largest.memory_mb} and {largest.accelerators}'
    )
