"""Reads which zones are cordoned: workers there get no new tasks."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
import logbook

from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import PlatformTable

log = logbook.Logger('cordons')


@attrs.define(eq=False)
class Cordons:
    """The cordoned zones, as last read from the store.

    They are read as often as the list of workers. The store's feed would tell
    sooner, but it also tells each change of the configuration, and after an
    outage or a loss of history only a new read shows that a row is gone.

    Attributes:
      table: Table that operators write to.
      monotonic: Returns monotonic time in seconds.
      seconds: Time after which no task may be started in a zone that was
        cordoned.
      zones: The cordoned zones.
      as_of: Monotonic time at which they were requested; minus infinity until
        they have been read.
    """

    table: PlatformTable
    monotonic: Callable[[], float]
    seconds: float = math.inf
    zones: frozenset[str] = frozenset()
    as_of: float = -math.inf

    @property
    def valid_until(self) -> float:
        """Monotonic time until which tasks may be started by them."""
        if math.isinf(self.as_of):
            return -math.inf
        return self.as_of + self.seconds

    async def refresh(self) -> None:
        """Reads them; what was known before stays if that fails."""
        sent_at = self.monotonic()
        try:
            zones = await self.table.list_cordoned_zones()
        except UnavailableError as error:
            log.warning('Cannot read the cordons: {}', error)
            return
        if sent_at > self.as_of:
            self.as_of = sent_at
            self.zones = zones
