"""Chooses a worker for each task, from an index of free resources."""

from __future__ import annotations

import bisect
import collections
import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Demand, Room

CLASSES_PER_OCTAVE = 4
"""Number of size classes for each doubling of free memory."""

SCORE_BOUND = 2 ** (1 / CLASSES_PER_OCTAVE)
"""Upper bound on a chosen worker's score over the best fitting one's.

Within a class free memory differs by less than this factor and free
accelerators are equal, and the first fitting worker has the fewest free cores.
"""

CANDIDATES_PER_CLASS = 8
"""Fitting workers compared in each class when a cost function is given."""

ENOUGH_CANDIDATES = 32
"""Number of acceptable workers after which the search ends."""

MAX_PRICED_WORKERS = 48
"""Maximum number of workers priced for one task; bounds the search time."""

MEMORY_MB_PER_CORE = 4096
CORES_PER_ACCELERATOR = 64
"""High, so that jobs that need no accelerator avoid workers that have some."""

Cost = Callable[[WorkerRecord], float]
"""Cost of a worker in addition to its free resources, in cores.

Infinite if the task must not be placed there.
"""

_SizeClass = tuple[int, int]


def measure_room(room: Room) -> float:
    """Returns the size of an amount of resources as one number, in cores."""
    return (
        room.cores
        + room.memory_mb / MEMORY_MB_PER_CORE
        + CORES_PER_ACCELERATOR * room.accelerators
    )


@attrs.frozen
class _Entry:
    """The index entry of an open worker."""

    record: WorkerRecord
    free: Room
    services: tuple[str, ...]
    size_class: _SizeClass


class WorkerIndex:
    """Index of the workers that accept new tasks, by free resources.

    Workers are grouped into classes of equal free accelerators and nearly
    equal free memory, and sorted by free cores in each class. A search
    bisects each class; the number of classes depends on the shapes of the
    workers and not on their number.
    """

    def __init__(self) -> None:
        self._grown: dict[str, Room] = {}
        self._seen: dict[str, WorkerRecord] = {}
        self._entries: dict[str, _Entry] = {}
        self._classes: dict[_SizeClass, list[tuple[float, str]]] = {}
        self._racks: dict[str, collections.Counter[str]] = {}
        self._order: list[str] = []
        self._cursor = 0

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def synchronize(
        self, records: Mapping[str, WorkerRecord], reachable: Iterable[str]
    ) -> None:
        """Updates the entries of all records changed since the last call.

        Args:
          records: All worker records by name.
          reachable: Names of the reachable workers; others are removed.
        """
        current = dict.fromkeys(reachable)
        for name in [n for n in self._seen if n not in current]:
            self.remove(name)
        for name in current:
            record = records.get(name)
            if record is not None and self._seen.get(name) is not record:
                self.update(record)

    def update(self, record: WorkerRecord) -> None:
        """Updates the entry of one worker."""
        old = self._entries.get(record.name)
        self._remove_entry(record.name)
        self._seen[record.name] = record
        if not record.is_open:
            return
        free = record.free
        services = tuple(
            name.rpartition('/')[0]
            for name in record.commitments
            if name.startswith('Service/')
        )
        size_class = (free.accelerators, _classify(free.memory_mb))
        entry = _Entry(record, free, services, size_class)
        self._entries[record.name] = entry
        bisect.insort(
            self._classes.setdefault(size_class, []), (free.cores, record.name)
        )
        for service in services:
            racks = self._racks.setdefault(service, collections.Counter())
            racks[record.rack] += 1
        if old is None or _has_grown(old.free, free):
            self._grown[record.name] = free

    def pop_grown(self) -> list[Room]:
        """Returns the free resources of workers that gained some, and resets.

        A demand that fitted nowhere need not be retried until it fits one of
        these.
        """
        grown, self._grown = self._grown, {}
        return list(grown.values())

    def remove(self, name: str) -> None:
        """Removes a worker."""
        self._remove_entry(name)
        self._seen.pop(name, None)

    def _remove_entry(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        members = self._classes[entry.size_class]
        del members[bisect.bisect_left(members, (entry.free.cores, name))]
        if not members:
            del self._classes[entry.size_class]
        for service in entry.services:
            racks = self._racks[service]
            racks[entry.record.rack] -= 1
            if not racks.total():
                del self._racks[service]

    def get_free(self, name: str) -> Room:
        """Returns the free resources of an open worker, none for another."""
        entry = self._entries.get(name)
        return entry.free if entry else Room()

    def rotate(self, demand: Demand) -> Iterator[WorkerRecord]:
        """Yields the open workers that could hold a demand if empty.

        Each call resumes where the last one ended, so that a caller that
        examines only a few of them per call covers all of them over time.
        """
        if len(self._order) != len(self._entries):
            self._order = sorted(self._entries)
        count = len(self._order)
        for _ in range(count):
            self._cursor = (self._cursor + 1) % count
            entry = self._entries.get(self._order[self._cursor])
            if entry and demand.fits(entry.record.capacity):
                yield entry.record

    def list_open(self) -> Iterator[WorkerRecord]:
        """Yields the open workers."""
        return (entry.record for entry in self._entries.values())

    def choose(
        self, task: Task, cost: Cost | None = None
    ) -> WorkerRecord | None:
        """Returns the worker to place a task on, or None.

        A job goes to the best fitting worker, which keeps large blocks of
        free resources and accelerators for the tasks that need them. The
        replicas of a service are spread: to a worker that runs no other
        replica, then to the rack that runs the fewest.

        Args:
          task: The task.
          cost: Cost of each worker in addition to its free resources.
        """
        if task.is_service:
            return self._choose_spread(task, cost)
        if cost is None:
            return self._choose_best_fit(task)
        best: tuple[float, str] | None = None
        accepted = 0
        for priced, entry in enumerate(self._find_all_fitting(task)):
            if priced >= MAX_PRICED_WORKERS or accepted >= ENOUGH_CANDIDATES:
                break
            extra = cost(entry.record)
            if math.isinf(extra):
                continue
            accepted += 1
            score = (measure_room(entry.free) + extra, entry.record.name)
            if best is None or score < best:
                best = score
        return self._entries[best[1]].record if best else None

    def _choose_best_fit(self, task: Task) -> WorkerRecord | None:
        best: tuple[float, str] | None = None
        for members in self._list_classes(task.demand):
            for entry in self._find_fitting(task, members, 1):
                score = (measure_room(entry.free), entry.record.name)
                if best is None or score < best:
                    best = score
        return self._entries[best[1]].record if best else None

    def _find_all_fitting(
        self, task: Task, spread: bool = False
    ) -> Iterator[_Entry]:
        """Yields fitting workers: a few of each class, then the others."""
        classes = list(self._list_classes(task.demand))
        if spread:
            classes.reverse()
        seen = set()
        for members in classes:
            for entry in self._find_fitting(
                task, members, CANDIDATES_PER_CLASS, spread
            ):
                seen.add(entry.record.name)
                yield entry
        for members in classes:
            for entry in self._find_fitting(
                task, members, len(members), spread
            ):
                if entry.record.name not in seen:
                    yield entry

    def _list_classes(
        self, demand: Demand
    ) -> Iterator[list[tuple[float, str]]]:
        min_memory_class = _classify(demand.memory_mb)
        for size_class in sorted(self._classes):
            if (
                size_class[0] >= demand.accelerators
                and size_class[1] >= min_memory_class
            ):
                yield self._classes[size_class]

    def _find_fitting(
        self,
        task: Task,
        members: list[tuple[float, str]],
        count_limit: int,
        spread: bool = False,
    ) -> Iterator[_Entry]:
        start = bisect.bisect_left(members, (task.demand.cores - 1e-9, ''))
        order = range(start, len(members))
        avoided = task.avoided_workers
        found = 0
        for position in reversed(order) if spread else order:
            entry = self._entries[members[position][1]]
            if not task.demand.fits(entry.free):
                continue
            if entry.record.name in avoided:
                continue
            yield entry
            found += 1
            if found >= count_limit:
                return

    def _choose_spread(
        self, task: Task, cost: Cost | None
    ) -> WorkerRecord | None:
        racks = self._racks.get(task.resource, collections.Counter())
        best: tuple[int, int, float, str] | None = None
        fitting = self._find_all_fitting(task, spread=True)
        for entry in itertools.islice(fitting, ENOUGH_CANDIDATES):
            extra = cost(entry.record) if cost else 0.0
            rank = (
                entry.services.count(task.resource),
                racks[entry.record.rack],
                extra - measure_room(entry.free),
                entry.record.name,
            )
            if best is None or rank < best:
                best = rank
        return self._entries[best[3]].record if best else None


def _classify(memory_mb: int) -> int:
    return int(CLASSES_PER_OCTAVE * math.log2(max(memory_mb, 0) + 1))


def _has_grown(old: Room, new: Room) -> bool:
    return (
        new.cores > old.cores
        or new.memory_mb > old.memory_mb
        or new.accelerators > old.accelerators
    )


def explain_refusal(demand: Demand, shapes: Iterable[Room]) -> str | None:
    """Returns why no worker could ever hold a demand, or None.

    Args:
      demand: The resources asked for.
      shapes: Total capacities of the workers; empty if they are unknown.
    """
    known = list(shapes)
    if not known or any(demand.fits(shape) for shape in known):
        return None
    nearest = min(known, key=lambda shape: _measure_excess(demand, shape))
    return (
        f'no worker has {demand.cores:g} cores, {demand.memory_mb} MiB and '
        f'{demand.accelerators} accelerators; the nearest shape that would '
        f'fit is {min(demand.cores, nearest.cores):g}, '
        f'{min(demand.memory_mb, nearest.memory_mb)} and '
        f'{min(demand.accelerators, nearest.accelerators)}'
    )


def _measure_excess(demand: Demand, shape: Room) -> float:
    """Returns the share of the demand that exceeds a shape, summed."""
    return (
        max(0.0, 1 - shape.cores / demand.cores)
        + max(0.0, 1 - shape.memory_mb / demand.memory_mb)
        + max(0.0, 1 - shape.accelerators / max(demand.accelerators, 1))
        * (demand.accelerators > 0)
    )
