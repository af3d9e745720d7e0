"""The configuration in force, and how a daemon keeps up with it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import logbook

from lentilmount.control.feeds import RETRY_SECONDS, Feed
from lentilmount.errors import InvalidError
from lentilmount.platform.documents import (
    Route,
    RoutingConfiguration,
    decode_configuration,
)
from lentilmount.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    PlatformTable,
    RawRow,
)

log = logbook.Logger('configuration')

FEED_SECONDS = 0.8
"""Longest time for which the feed is asked to wait."""

FEED_SHARE = 0.25
"""The same as a share of the time in which a change is due. What a call told is
as old as the call, so two of them in a row have to fit into that time, also
from a store that is slow."""

WATCH_SECONDS = 0.1
"""Between two looks at the age of the configuration."""


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

    Args:
      monotonic: The clock for durations.
      apply_seconds: In which a change is to be in force.
      away_until: Tells up to when the store was surely away for all daemons.
        Nothing was written before, and nothing can be accepted by old routes:
        called outdated as soon as the store is back, all daemons would refuse
        what they could serve again.
    """

    def __init__(
        self,
        monotonic: Callable[[], float],
        apply_seconds: float,
        away_until: Callable[[], float] = lambda: -math.inf,
    ):
        self.current: RoutingConfiguration | None = None
        self.monotonic = monotonic
        self.apply_seconds = apply_seconds
        self._away_until = away_until
        self._version = 0
        self._index = _index(())
        self._confirmed_at = -math.inf
        self.changed = asyncio.Event()

    @property
    def is_outdated(self) -> bool:
        """Whether a newer one may have to be in force by now.

        A daemon that hears of no change goes on by the old routes: it accepts
        jobs on a queue that is gone, and knows nothing of a new one. Callers
        that are told so ask another daemon.
        """
        return self.age > self.apply_seconds

    @property
    def age(self) -> float:
        """Seconds since when a newer configuration may have been written."""
        as_of = max(self._confirmed_at, self._away_until())
        return self.monotonic() - as_of

    def confirm(self, as_of: float) -> None:
        """Notes that at a monotonic time there was none newer than is known."""
        self._confirmed_at = max(self._confirmed_at, as_of)

    def offer(self, row: RawRow, age: float = 0.0) -> None:
        """Takes over a row if it is newer than what is in force.

        Answers of different calls overtake each other; without the check an
        older one would bring back a route that was removed.

        Args:
          row: The row.
          age: Seconds since the call that told of it was sent.
        """
        if row.version <= self._version or row.removed:
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
        self._version = row.version
        self.current = decoded
        self._index = _index(decoded.routes)
        self.changed.set()

    def find(self, host: str, path: str) -> tuple[Route, str] | None:
        """Finds the queue of a request, and the rest of its path."""
        best = self._index.find(host, path)
        return None if best is None else (best, path[len(best.prefix) :])


async def watch_age(routes: RouteTable) -> None:
    """Logs when the configuration becomes outdated, and when it is no more."""
    was_outdated = True
    while True:
        if routes.is_outdated is not was_outdated:
            was_outdated = routes.is_outdated
            if was_outdated:
                log.warning(
                    'The configuration may be outdated.',
                    extra={'age': round(routes.age, 3)},
                )
            else:
                log.info('The configuration is up to date.')
        await asyncio.sleep(WATCH_SECONDS)


async def follow_configuration(
    table: PlatformTable, routes: RouteTable
) -> None:
    """Keeps a route table up to date for as long as it runs."""
    feed = Feed(
        table,
        CONFIGURATION_TABLE,
        min(FEED_SECONDS, FEED_SHARE * routes.apply_seconds),
        is_large=True,
        monotonic=routes.monotonic,
    )
    while True:
        for row in await feed.read():
            if row.key == CONFIGURATION_KEY:
                routes.offer(row, routes.monotonic() - feed.as_of)
        routes.confirm(feed.as_of)
        if routes.current is None and feed.position is not None:
            # The operators have not written it yet.
            feed.position = None
            await asyncio.sleep(RETRY_SECONDS)
