"""Which shapes of worker there are, in every slice.

A job must not be refused because the slice that judges it is small or has not
met its workers yet. So each owner publishes the shapes of its workers in the
row of its lease, which it writes anyway, and reads those of the others.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Mapping

from lentilmount.batch.records import WorkerRecord, make_slice_key
from lentilmount.codec import structure, unstructure
from lentilmount.coordination.table import Row, Table, UnavailableError
from lentilmount.resources import Demand, Room
from lentilmount.slices import get_zone

READ_SECONDS = 5.0
FIELD = 'shapes'
"""Where the lease's row carries the shapes; absent until all are known."""


def publish_shapes(
    data: dict[str, object], records: Iterable[WorkerRecord]
) -> None:
    """Puts the shapes of a slice's workers into its lease's data.

    Nothing is published before each worker has told its capacity: a shape
    that is missing would get a job refused that could run.
    """
    known = list(records)
    if not known or not all(record.boot for record in known):
        return
    shapes = {record.capacity for record in known}
    data[FIELD] = [unstructure(shape) for shape in sorted(shapes, key=_rank)]


def _rank(shape: Room) -> tuple[float, int, int]:
    return shape.cores, shape.memory_mb, shape.accelerators


class WorkerShapes:
    """The shapes of every slice, as last read.

    Args:
      table: Where the leases' rows are.
      slices: Every slice of the deployment.
      monotonic: The clock for durations.
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
        """Reads the shapes again if some time has passed."""
        now = self._monotonic()
        if self._read_at is not None and now < self._read_at + READ_SECONDS:
            return
        self._read_at = now
        with contextlib.suppress(UnavailableError):
            keys = [make_slice_key(name) for name in self._slices]
            rows = await self._table.read(keys)
            self.take_in(rows.values())

    def take_in(self, rows: Iterable[Row]) -> None:
        """Takes over the rows of the slices' leases."""
        self._shapes = {
            row.key.sort: frozenset(
                structure(plain, Room) for plain in row.body['data'][FIELD]
            )
            for row in rows
            if FIELD in row.body['data']
        }

    def list_shapes(self, zone: str = '') -> list[Room]:
        """Returns all shapes of a zone, or of all zones.

        Nothing is returned unless every slice has published its shapes.
        """
        names = [n for n in self._slices if not zone or get_zone(n) == zone]
        if not all(name in self._shapes for name in names):
            return []
        return sorted({s for n in names for s in self._shapes[n]}, key=_rank)

    def select(self, demand: Demand, slices: list[str]) -> list[str]:
        """Returns the slices that may have a worker for a demand.

        A slice that has not published counts as one that may; where none
        may, all are returned, and the owner gives the refusal its reason.
        """
        able = [name for name in slices if self._may_hold(demand, name)]
        return able or slices

    def _may_hold(self, demand: Demand, name: str) -> bool:
        shapes = self._shapes.get(name)
        return shapes is None or any(demand.fits(shape) for shape in shapes)
