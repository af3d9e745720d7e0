"""Shares the shapes (total capacities) of workers between all slices.

A job must not be refused because its slice is small or does not know its
workers yet. So each owner publishes the shapes of its workers in the row of
its lease, which it writes anyway, and reads those of the other slices.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Mapping

from lentilmount.batch.records import WorkerRecord, make_slice_key
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.table import Row, Table, UnavailableError
from lentilmount.resources import Demand, Room
from lentilmount.slices import get_zone

REFRESH_SECONDS = 5.0
SHAPES_FIELD = 'shapes'
"""Field of the lease's data with the shapes; absent until all are known."""


def publish_shapes(
    data: dict[str, object], records: Iterable[WorkerRecord]
) -> None:
    """Writes the shapes of a slice's workers to its lease's data.

    Nothing is published until every worker has reported its capacity, since a
    missing shape could cause a job to be refused that could run.

    Args:
      data: Data of the lease, which is changed.
      records: The slice's worker records.
    """
    known = list(records)
    if not known or not all(record.boot for record in known):
        return
    shapes = {record.capacity for record in known}
    data[SHAPES_FIELD] = [
        unstructure(shape) for shape in sorted(shapes, key=_rank)
    ]


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
