"""Who owns a service: whoever holds its lease."""

from __future__ import annotations

import asyncio
import itertools
import random
import uuid
from collections.abc import Awaitable, Callable

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.candidates import Candidates
from lentilmount.control.keys import make_owner_key
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import (
    PROMISE_SECONDS,
    Owner,
    OwnerSettings,
)
from lentilmount.coordination.leases import Lease, LeaseKeeper
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.advice import AdviceCalls
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerCalls

log = logbook.Logger('campaign')

LEASE_SECONDS = 2.0
"""How long an owner's lease is good for without renewal. With a look each half
second a new owner is at work within 3 s of a kill; renewals come each half
second, so three may be lost."""

SLOWEST_CLOCK = 0.98
"""Rate of a worker's clock at the slowest, as the platform tells."""

LAPSE_MARGIN_SECONDS = 0.3
"""For a call of the previous owner on its way, and for workers to act."""

NAME_SEPARATOR = '.'
"""Between the host's name and the process's own part in a holder's name."""

POLL_SECONDS = 0.5
JITTER_SECONDS = 0.1

HEAD_START_SECONDS = 1.2
"""For how long a free lease is left to larger hosts: two of their looks at it.
Where none of them comes, a takeover takes so much longer."""

LEAST_TENURE_SECONDS = 3.0
"""How long an owner works before it hands over to a larger host. A larger host
that answers and yet does not take the lease costs a gap of about a second each
time, so it must not come more often than takeovers of other causes do."""

LARGER_POLL_SECONDS = 1.0
"""Between two rounds of questions to larger hosts: one call each."""


def make_name(host: str) -> str:
    """Makes a holder's name that no other process ever has."""
    return f'{host}{NAME_SEPARATOR}{uuid.uuid4().hex[:8]}'


def is_same_host(name: str, other: str) -> bool:
    """Tells whether two holders' names were made on one host."""
    host, _, _ = name.rpartition(NAME_SEPARATOR)
    return bool(host) and other.rpartition(NAME_SEPARATOR)[0] == host


@attrs.define
class Campaign:
    """Takes a service's lease when it is free, and owns it then.

    Attributes:
      settings: The service.
      table: Where the lease is.
      name: A name that no other process ever has.
      clock: The clocks.
      make_calls: Builds what workers are called with, for an epoch.
      is_outage: Tells whether no daemon at all reaches the store.
      advice: How the advice service is called, if there is one.
      metrics: What the daemon counts.
      candidates: The hosts that may own it.
      hears: Asks the daemon at an address whether the store answers it.
      owner: The owner that runs here, if any.
    """

    settings: OwnerSettings
    table: PlatformTable
    name: str
    clock: Clock
    make_calls: Callable[[int], WorkerCalls]
    is_outage: Callable[[], bool]
    advice: AdviceCalls | None
    metrics: ControlMetrics
    candidates: Candidates
    hears: Callable[[str], Awaitable[bool]]
    owner: Owner | None = None
    _stopping: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Campaigns until told to stop."""
        keeper = LeaseKeeper(
            self.table,
            self.name,
            LEASE_SECONDS,
            self.clock.monotonic,
            self._is_gone,
        )
        key = make_owner_key(self.settings.service)
        while not self._stopping.is_set():
            try:
                lease = await keeper.try_acquire(key, defer=self._defer())
            except UnavailableError as error:
                log.warning('Cannot look at the lease: {}', error)
                lease = None
            if lease is not None and not self._stopping.is_set():
                await self._own(keeper, lease)
            pause = POLL_SECONDS + random.uniform(0, JITTER_SECONDS)
            await asyncio.sleep(pause)

    def _is_gone(self, holder: str) -> bool:
        """Whether a holder is an earlier process of this host.

        A host runs one process at a time. After all of them were killed at
        once, the owner's host need not wait for the lease of the dead owner:
        work goes on 2 s earlier.
        """
        return is_same_host(self.name, holder)

    def _defer(self) -> float:
        return HEAD_START_SECONDS if self.candidates.may_be_outranked else 0.0

    async def _own(self, keeper: LeaseKeeper, lease: Lease) -> None:
        log.info(
            'Taken: {}.', self.settings.service, extra={'epoch': lease.epoch}
        )
        self.metrics.count_takeover(self.settings.service)
        owner = Owner(
            self.settings,
            self.table,
            keeper,
            lease,
            self.make_calls(lease.epoch),
            self.clock,
            self._get_lapse_seconds(),
            keeper.has_seen_writes(lease.key) or lease.epoch == 1,
            self.is_outage,
            self.advice,
            self.metrics,
        )
        self.owner = owner
        handover = asyncio.create_task(self._hand_over(owner, lease))
        try:
            await owner.run()
        except UnavailableError as error:
            log.warning('Cannot load the jobs: {}', error)
        finally:
            handover.cancel()
            self.owner = None
        if owner.lost:
            return
        if await keeper.release(lease):
            log.info('Released: {}.', self.settings.service)
        else:
            log.warning(
                'Could not release {}: its lease has to run out.',
                self.settings.service,
            )

    async def _hand_over(self, owner: Owner, lease: Lease) -> None:
        """Gives the service up once a much larger host can own it.

        Small hosts get it when all larger ones are gone or cut off. Kept after
        that, every order would go through a link that is full: on 245 workers
        and 5 Mbit/s quick jobs were served by 0.00 of their worth, and by 0.87
        from a large host.
        """
        await asyncio.sleep(LEAST_TENURE_SECONDS)
        while True:
            heir = await self._find_heir()
            if heir and self.clock.monotonic() < lease.valid_until:
                break
            await asyncio.sleep(LARGER_POLL_SECONDS)
        log.info(
            'Handing {} over to a larger host.',
            self.settings.service,
            extra={'epoch': lease.epoch, 'heir': heir},
        )
        owner.stop()

    async def _find_heir(self) -> str:
        """Returns the address of a larger host that hears the store, or ''."""
        larger = self.candidates.list_larger()
        answers = await asyncio.gather(*map(self.hears, larger))
        heard = itertools.compress(larger, answers)
        return next(heard, '')

    def _get_lapse_seconds(self) -> float:
        """Returns when leases of the previous owner have surely run out.

        It heard of the store at the latest when its lease began, renews for
        the promised time from then, and workers' clocks may be slow.
        """
        promised = PROMISE_SECONDS - LEASE_SECONDS
        lease = self.settings.lease_seconds / SLOWEST_CLOCK
        return promised + lease + LAPSE_MARGIN_SECONDS

    def stop(self) -> None:
        """Gives the service up."""
        self._stopping.set()
        if self.owner is not None:
            self.owner.stop()
