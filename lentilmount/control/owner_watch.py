"""Notices that the process that owns a service has ended.

Load pattern: an owner starts hundreds of tasks per second when its process is
killed. Its lease expires 2 s later, and the work that waits by then delays all
that follows on a fleet that is nearly full. The host of a killed process is
still there and refuses connections at once, so a few hosts that could take the
service over try to connect.

A refused connection frees only the lease. If the process still runs, its writes
fail from then on, and workers reject its commands.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import logbook

from lentilmount.control.candidates import Candidates

log = logbook.Logger('campaign')

WATCH_SECONDS = 0.2
"""Interval between connections to the owner."""

CONNECT_SECONDS = 0.3
"""Timeout of a connection; the network latency between zones is 1.5 ms."""

CONFIRM_SECONDS = 0.05
"""Delay before a second connection confirms that the first was refused."""

NAME_SEPARATOR = '.'
"""Separates the host's name from the process's suffix in a holder's name."""

Connect = Callable[[str], Awaitable[bool]]
"""Returns whether an address refuses a connection."""


def get_host(holder: str) -> str:
    """Returns the name of the host on which a holder's process runs, or ''."""
    return holder.rpartition(NAME_SEPARATOR)[0]


async def is_refused(address: str) -> bool:
    """Returns whether an address refuses a connection.

    That is so where the host is there and no process listens. A host that is
    gone, cut off or frozen does not answer.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        return False
    writer.close()
    return False


@attrs.define
class OwnerWatch:
    """Watches the process that holds the lease on a service.

    Attributes:
      candidates: The daemons that may own the service.
      connect: Connects to an address.
      has_ended: Set when the watched process is found to have ended.
    """

    candidates: Candidates
    connect: Connect = is_refused
    has_ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    _holder: str = ''
    _ended_holder: str = ''

    def watch(self, holder: str) -> None:
        """Sets the name of the process to watch; '' for none."""
        self._holder = holder

    def is_ended(self, holder: str) -> bool:
        """Returns whether a process is known to have ended."""
        return bool(holder) and holder == self._ended_holder

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            await self.check()
            # Random, so that not all standbys connect at the same moment.
            await asyncio.sleep(WATCH_SECONDS * random.uniform(0.8, 1.2))

    async def check(self) -> None:
        """Connects to the owner's host, if this host is one of its standbys."""
        holder = self._holder
        host = get_host(holder)
        if not host or self.is_ended(holder):
            return
        address = self.candidates.find_address(host)
        if not address or not self.candidates.is_standby(host):
            return
        if not await self.connect(address):
            return
        await asyncio.sleep(CONFIRM_SECONDS)
        if self._holder == holder and await self.connect(address):
            log.warning('The owner has ended.', extra={'holder': holder})
            self._ended_holder = holder
            self.has_ended.set()
