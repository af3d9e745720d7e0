"""The configuration in force, and how old it may be."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import logbook

from lentilmount.errors import InvalidError
from lentilmount.platform.documents import (
    Route,
    RoutingConfiguration,
    decode_configuration,
)
from lentilmount.platform.store import RawRow
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('configuration')


@attrs.frozen
class _RouteIndex:
    """Finds the route of a path without a look at each of them.

    Attributes:
      routes: By host and prefix.
      lengths: Of a host's prefixes, the longest first.
    """

    routes: Mapping[tuple[str, str], Route]
    lengths: Mapping[str, Sequence[int]]

    def find(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix of a path."""
        for length in self.lengths.get(host, ()):
            found = self.routes.get((host, path[:length]))
            if found is not None:
                return found
        return None


def _index(routes: Iterable[Route]) -> _RouteIndex:
    found: dict[tuple[str, str], Route] = {}
    lengths: dict[str, set[int]] = {}
    for route in routes:
        found.setdefault((route.host, route.prefix), route)
        lengths.setdefault(route.host, set()).add(len(route.prefix))
    descending = {
        host: sorted(known, reverse=True) for host, known in lengths.items()
    }
    return _RouteIndex(found, descending)


class RouteTable:
    """The newest configuration that is known.

    Attributes:
      current: The configuration, decoded.
      row: Its row in the store.
      position: Version of the store up to which changes are known.
      changed: Set when another one comes into force.

    Args:
      monotonic: The clock for durations.
      apply_timeout: In which a change is to be in force.
      outage_until: Tells up to when the store was surely away for all daemons.
        Until then nobody was served by any routes; if they counted as outdated
        as soon as the store is back, all daemons would refuse what they could
        serve again.
    """

    def __init__(
        self,
        monotonic: Callable[[], float],
        apply_timeout: float,
        outage_until: Callable[[], float] = lambda: -math.inf,
    ):
        self.current: RoutingConfiguration | None = None
        self.monotonic = monotonic
        self.apply_timeout = apply_timeout
        self._away_until = outage_until
        self._index = _index(())
        self._confirmed_at = -math.inf
        self._accepted = asyncio.Event()
        self.row: RawRow | None = None
        self.position = 0
        self.changed = asyncio.Event()

    @property
    def is_outdated(self) -> bool:
        """Whether a newer one may have to be in force by now.

        A daemon that hears of no change goes on by the old routes: it accepts
        jobs on a queue that is gone, and knows nothing of a new one. Callers
        that are told so ask another daemon.
        """
        return self.age > self.apply_timeout

    @property
    def age(self) -> float:
        """Seconds since when a newer configuration may have been written."""
        return self.monotonic() - self.as_of

    @property
    def as_of(self) -> float:
        """Monotonic time since when a newer one may be in force elsewhere."""
        return max(self._confirmed_at, self._away_until())

    @property
    def version(self) -> int:
        """Version of the row in force; 0 before there is one."""
        return 0 if self.row is None else self.row.version

    def confirm(self, as_of: float, position: int | None = None) -> None:
        """Notes that at a monotonic time there was none newer than is known.

        Args:
          as_of: The time.
          position: The store's version then, if it is known.
        """
        self._confirmed_at = max(self._confirmed_at, as_of)
        self.position = max(self.position, position or 0)

    def apply_row(self, row: RawRow, age: float = 0.0) -> None:
        """Takes over a row if it is newer than what is in force.

        Answers of different calls overtake each other; without the check an
        older one would bring back a route that was removed.

        Args:
          row: The row.
          age: Seconds since the call that told of it was sent.
        """
        if row.version <= self.version or row.removed:
            return
        try:
            decoded = decode_configuration(row.value)
        except InvalidError as error:
            log.error('Row version {} is left out: {}', row.version, error)
            return
        log.info(
            'In force: configuration {}, {} routes.',
            decoded.version,
            len(decoded.routes),
            extra={
                'row_version': row.version,
                'bytes': len(row.value),
                'age': round(age, 3),
            },
        )
        self.row = row
        self.current = decoded
        self._index = _index(decoded.routes)
        self.changed.set()
        self._accepted.set()
        self._accepted = asyncio.Event()

    async def wait_for_newer(self, version: int, seconds: float) -> None:
        """Waits until a row newer than a version is in force, or in vain."""
        if self.version <= version:
            await wait_with_timeout(self._accepted, seconds)

    def find(self, host: str, path: str) -> tuple[Route, str] | None:
        """Finds the queue of a request, and the rest of its path."""
        best = self._index.find(host, path)
        return None if best is None else (best, path[len(best.prefix) :])
