"""Which worker a task goes to: an index of what is free."""

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
"""Classes of free memory for each doubling."""

SCORE_BOUND = 2 ** (1 / CLASSES_PER_OCTAVE)
"""A choice scores at most this many times the best fitting worker's score.

Within a class free memory differs by less than this factor, accelerators not
at all, and the first that fits has the fewest free processors.
"""

PROBES = 8
"""Fitting workers of one class that are compared where cost matters."""

ENOUGH_WORKERS = 32
"""Workers that a task may go to, after which no more are looked for."""

MOST_WORKERS = 48
"""Workers that are asked for their cost for one task; bounds its time."""

MEMORY_A_CORE = 4096
CORES_AN_ACCELERATOR = 64
"""High, so that jobs without need of them go elsewhere while they can."""

Cost = Callable[[WorkerRecord], float]
"""What a worker costs beside its free room, in cores; infinite to refuse."""

_Class = tuple[int, int]


def measure_room(room: Room) -> float:
    """Returns one size for an amount, in cores."""
    return (
        room.cores
        + room.memory_mb / MEMORY_A_CORE
        + CORES_AN_ACCELERATOR * room.accelerators
    )


@attrs.frozen
class _Entry:
    """An open worker as the index holds it."""

    record: WorkerRecord
    free: Room
    services: tuple[str, ...]
    place: _Class


class WorkerIndex:
    """Workers that may get new work, by what they have free.

    Workers are in classes of equal free accelerators and nearly equal free
    memory, and in each class in the order of free processors. A search looks
    into each class by bisection; the number of classes depends on the shapes
    of the workers and not on how many there are.
    """

    def __init__(self) -> None:
        self._grown: dict[str, Room] = {}
        self._seen: dict[str, WorkerRecord] = {}
        self._entries: dict[str, _Entry] = {}
        self._classes: dict[_Class, list[tuple[float, str]]] = {}
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
        """Takes over every record that changed since the last time."""
        able = dict.fromkeys(reachable)
        for name in [n for n in self._seen if n not in able]:
            self.remove(name)
        for name in able:
            record = records.get(name)
            if record is not None and self._seen.get(name) is not record:
                self.update(record)

    def update(self, record: WorkerRecord) -> None:
        """Takes over a worker's record."""
        old = self._entries.get(record.name)
        self._take_out(record.name)
        self._seen[record.name] = record
        if not record.is_open:
            return
        free = record.free
        services = tuple(
            name.rpartition('/')[0]
            for name in record.commitments
            if name.startswith('Service/')
        )
        place = (free.accelerators, _classify(free.memory_mb))
        entry = _Entry(record, free, services, place)
        self._entries[record.name] = entry
        bisect.insort(
            self._classes.setdefault(place, []), (free.cores, record.name)
        )
        for service in services:
            racks = self._racks.setdefault(service, collections.Counter())
            racks[record.rack] += 1
        if old is None or _has_grown(old.free, free):
            self._grown[record.name] = free

    def pop_grown(self) -> list[Room]:
        """Returns what is free on workers that got more room, once.

        A demand that fitted nowhere need not be tried until it fits there.
        """
        grown, self._grown = self._grown, {}
        return list(grown.values())

    def remove(self, name: str) -> None:
        """Takes a worker out."""
        self._take_out(name)
        self._seen.pop(name, None)

    def _take_out(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        members = self._classes[entry.place]
        del members[bisect.bisect_left(members, (entry.free.cores, name))]
        if not members:
            del self._classes[entry.place]
        for service in entry.services:
            racks = self._racks[service]
            racks[entry.record.rack] -= 1
            if not racks.total():
                del self._racks[service]

    def get_free(self, name: str) -> Room:
        """Returns what an open worker has free; nothing for another."""
        entry = self._entries.get(name)
        return entry.free if entry else Room()

    def rotate(self, demand: Demand) -> Iterator[WorkerRecord]:
        """Yields the open workers that could hold a demand if empty.

        Each call begins where the last one ended, so that who looks at some
        of them only comes to look at all of them in time.
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
        """Returns the worker for a task, or None.

        A job goes where the least room is left, which keeps large rooms and
        accelerators for those who need them. A service spreads out: to a
        worker without siblings, then to the rack with the fewest.
        """
        if task.is_service:
            return self._choose_spread(task, cost)
        if cost is None:
            return self._choose_least(task)
        best: tuple[float, str] | None = None
        accepted = 0
        for asked, entry in enumerate(self._probe_all(task)):
            if asked >= MOST_WORKERS or accepted >= ENOUGH_WORKERS:
                break
            extra = cost(entry.record)
            if math.isinf(extra):
                continue
            accepted += 1
            score = (measure_room(entry.free) + extra, entry.record.name)
            if best is None or score < best:
                best = score
        return self._entries[best[1]].record if best else None

    def _choose_least(self, task: Task) -> WorkerRecord | None:
        best: tuple[float, str] | None = None
        for members in self._list_classes(task.demand):
            for entry in self._probe(task, members, 1):
                score = (measure_room(entry.free), entry.record.name)
                if best is None or score < best:
                    best = score
        return self._entries[best[1]].record if best else None

    def _probe_all(self, task: Task, spread: bool = False) -> Iterator[_Entry]:
        """Yields fitting workers, some of each class, then all the others."""
        classes = list(self._list_classes(task.demand))
        if spread:
            classes.reverse()
        seen = set()
        for members in classes:
            for entry in self._probe(task, members, PROBES, spread):
                seen.add(entry.record.name)
                yield entry
        for members in classes:
            for entry in self._probe(task, members, len(members), spread):
                if entry.record.name not in seen:
                    yield entry

    def _list_classes(
        self, demand: Demand
    ) -> Iterator[list[tuple[float, str]]]:
        least = _classify(demand.memory_mb)
        for place in sorted(self._classes):
            if place[0] >= demand.accelerators and place[1] >= least:
                yield self._classes[place]

    def _probe(
        self,
        task: Task,
        members: list[tuple[float, str]],
        probes: int,
        spread: bool = False,
    ) -> Iterator[_Entry]:
        start = bisect.bisect_left(members, (task.demand.cores - 1e-9, ''))
        order = range(start, len(members))
        found = 0
        for position in reversed(order) if spread else order:
            entry = self._entries[members[position][1]]
            if not task.demand.fits(entry.free):
                continue
            if entry.record.name in task.failed_on:
                continue
            yield entry
            found += 1
            if found >= probes:
                return

    def _choose_spread(
        self, task: Task, cost: Cost | None
    ) -> WorkerRecord | None:
        racks = self._racks.get(task.resource, collections.Counter())
        best: tuple[int, int, float, str] | None = None
        probed = self._probe_all(task, spread=True)
        for entry in itertools.islice(probed, ENOUGH_WORKERS):
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
    """Says why no worker could ever hold a demand, or returns None.

    Args:
      demand: What is asked.
      shapes: What workers have in all; no shape is no knowledge.
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
    """Returns by which share of the demand it is too large for a shape."""
    return (
        max(0.0, 1 - shape.cores / demand.cores)
        + max(0.0, 1 - shape.memory_mb / demand.memory_mb)
        + max(0.0, 1 - shape.accelerators / max(demand.accelerators, 1))
        * (demand.accelerators > 0)
    )
