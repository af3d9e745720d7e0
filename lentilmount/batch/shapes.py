"""Shares the shapes (total capacities) of workers between all slices.

A job must not be refused because its slice is small or does not know its
workers yet. So each owner publishes the shapes of its workers in the row of
its lease, which it writes anyway, and reads those of the other slices.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from lentilmount.batch.records import WorkerRecord, make_slice_key
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.table import Row, Table, UnavailableError
from lentilmount.resources import Demand, Room
from lentilmount.slices import get_zone

REFRESH_SECONDS = 5.0
SHAPES_FIELD = 'shapes'
"""Field of the lease's data with the shapes; absent until all are known."""


SHRUNK_FIELD = 'shrunk'
"""Field of the lease's data with the workers that were larger since boot."""


@attrs.frozen
class _Shape:
    """The largest capacity that a worker has reported since its boot."""

    boot: str
    capacity: Room


class ShapePublisher:
    """Writes the shapes of a slice's workers to its lease's data.

    A worker may shrink for a while. A job that fits on it afterwards must wait
    and not be refused, so the largest capacity since the worker's boot counts.

    Args:
      data: Data of the lease, which is changed.
    """

    def __init__(self, data: dict[str, Any]):
        self._data = data
        self._shapes = {
            name: structure(plain, _Shape)
            for name, plain in data.get(SHRUNK_FIELD, {}).items()
        }

    def publish(self, records: Iterable[WorkerRecord]) -> None:
        """Publishes the shapes once every worker has reported its capacity.

        A missing shape could cause a job to be refused that could run.

        Args:
          records: The slice's worker records.
        """
        known = list(records)
        if not known or not all(record.boot for record in known):
            return
        self._shapes = {record.name: self._enlarge(record) for record in known}
        capacities = {shape.capacity for shape in self._shapes.values()}
        self._data[SHAPES_FIELD] = [
            unstructure(capacity) for capacity in sorted(capacities, key=_rank)
        ]
        self._data[SHRUNK_FIELD] = {
            record.name: unstructure(self._shapes[record.name])
            for record in known
            if self._shapes[record.name].capacity != record.capacity
        }

    def _enlarge(self, record: WorkerRecord) -> _Shape:
        known = self._shapes.get(record.name)
        if known is None or known.boot != record.boot:
            return _Shape(record.boot, record.capacity)
        capacity = Room(
            max(known.capacity.cores, record.capacity.cores),
            max(known.capacity.memory_mb, record.capacity.memory_mb),
            max(known.capacity.accelerators, record.capacity.accelerators),
        )
        return _Shape(record.boot, capacity)


def _rank(shape: Room) -> tuple[float, int, int]:
    return shape.cores, shape.memory_mb, shape.accelerators


class WorkerShapes:
    """Cache of the worker shapes of all slices.

    Args:
      table: The table with the slices' leases.
      slices: Names of all slices of the deployment.
      monotonic: Clock for durations.
    """

    def __init__(
        self,
        table: Table,
        slices: tuple[str, ...],
        monotonic: Callable[[], float],
    ):
        self._table = table
        self._slices = slices
        self._monotonic = monotonic
        self._shapes: Mapping[str, frozenset[Room]] = {}
        self._read_at: float | None = None

    async def refresh(self) -> None:
        """Reads the shapes again if the cached ones are too old."""
        now = self._monotonic()
        if self._read_at is not None and now < self._read_at + REFRESH_SECONDS:
            return
        self._read_at = now
        with contextlib.suppress(UnavailableError):
            keys = [make_slice_key(name) for name in self._slices]
            rows = await self._table.read(keys)
            self.update(rows.values())

    def update(self, rows: Iterable[Row]) -> None:
        """Updates the cache from the rows of the slices' leases."""
        self._shapes = {
            row.key.sort: frozenset(
                structure(plain, Room)
                for plain in row.body['data'][SHAPES_FIELD]
            )
            for row in rows
            if SHAPES_FIELD in row.body['data']
        }

    def list_shapes(self, zone: str = '') -> list[Room]:
        """Returns all shapes of a zone, or of all zones.

        Returns none unless all slices of the zone have published theirs.
        """
        names = [n for n in self._slices if not zone or get_zone(n) == zone]
        if not all(name in self._shapes for name in names):
            return []
        return sorted({s for n in names for s in self._shapes[n]}, key=_rank)

    def select(self, demand: Demand, slices: list[str]) -> list[str]:
        """Returns the slices that may have a worker large enough for a demand.

        Slices that have not published their shapes are included. If no slice
        qualifies, all are returned, and the owner refuses with a reason.

        Args:
          demand: The resources needed.
          slices: Names of the slices to choose from.
        """
        matching = [name for name in slices if self._may_hold(demand, name)]
        return matching or slices

    def _may_hold(self, demand: Demand, name: str) -> bool:
        shapes = self._shapes.get(name)
        return shapes is None or any(demand.fits(shape) for shape in shapes)
