"""The configuration in force, its routes, and how old it may be."""

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
    """Looks up the route of a path without testing each route.

    Attributes:
      routes: Routes by host and prefix.
      lengths: Lengths of the prefixes of each host, in descending order.
    """

    routes: Mapping[tuple[str, str], Route]
    lengths: Mapping[str, Sequence[int]]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None."""
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
    """Holds the newest known configuration.

    Attributes:
      current: The decoded configuration, or None before there is one.
      row: Its row in the store.
      position: Version of the store up to which changes are known.
      changed: Set when another configuration comes into force.

    Args:
      monotonic: Clock for durations.
      apply_timeout: Time within which a change must be in force.
      outage_until: Returns the monotonic time until which the store was
        unavailable to all daemons. No daemon served requests until then. If
        that time counted, the routes would be outdated once the store is back,
        and all daemons would refuse requests that they could serve again.
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
        self._outage_until = outage_until
        self._index = _index(())
        self._confirmed_at = -math.inf
        self._updated = asyncio.Event()
        self.row: RawRow | None = None
        self.position = 0
        self.changed = asyncio.Event()

    @property
    def is_outdated(self) -> bool:
        """Whether a newer configuration may already have to be in force.

        A daemon that receives no changes continues with the old routes: it
        accepts jobs for a deleted queue and refuses those for a new one.
        Callers that get an error instead ask another daemon.
        """
        return self.age > self.apply_timeout

    @property
    def age(self) -> float:
        """Time in seconds since which a newer configuration may exist."""
        return self.monotonic() - self.as_of

    @property
    def as_of(self) -> float:
        """Monotonic time since which a newer one may be in force elsewhere."""
        return max(self._confirmed_at, self._outage_until())

    @property
    def version(self) -> int:
        """Version of the row in force; 0 before there is one."""
        return 0 if self.row is None else self.row.version

    def confirm(self, as_of: float, position: int | None = None) -> None:
        """Records that at a monotonic time no newer configuration existed.

        Args:
          as_of: Monotonic time in seconds.
          position: Version of the store at that time, if known.
        """
        self._confirmed_at = max(self._confirmed_at, as_of)
        self.position = max(self.position, position or 0)

    def apply_row(self, row: RawRow, age: float = 0.0) -> None:
        """Puts a row in force if it is newer than the current one.

        Answers of different calls can arrive out of order; without the check an
        older one would bring back a deleted route.

        Args:
          row: The row.
          age: Seconds since the call that returned it was sent.
        """
        if row.version <= self.version or row.removed:
            return
        try:
            decoded = decode_configuration(row.value)
        except InvalidError as error:
            log.error('Row version {} is ignored: {}', row.version, error)
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
        self._updated.set()
        self._updated = asyncio.Event()

    async def wait_for_newer(self, version: int, seconds: float) -> None:
        """Waits for a row newer than a version, with a timeout."""
        if self.version <= version:
            await wait_with_timeout(self._updated, seconds)

    def find(self, host: str, path: str) -> tuple[Route, str] | None:
        """Returns the route of a request and the rest of its path, or None."""
        route = self._index.find(host, path)
        return None if route is None else (route, path[len(route.prefix) :])
