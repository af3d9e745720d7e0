"""Who owns a service: whoever holds its lease."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.candidates import Candidates
from lentilmount.control.keys import make_owner_key
from lentilmount.control.lease_data import LeaseData, decode
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import (
    RENEW_WITHOUT_STORE_SECONDS,
    Owner,
    OwnerSettings,
)
from lentilmount.coordination.leases import (
    CLOCK_DRIFT,
    Lease,
    LeaseKeeper,
    LeaseRecord,
)
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.advice import AdviceClient
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.takeover import InheritedLeases

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

LARGER_HOST_HEAD_START_SECONDS = 1.2
"""For how long a free lease is left to larger hosts: two of their looks at it.
Where none of them comes, a takeover takes so much longer."""

MIN_TENURE_SECONDS = 3.0
"""How long an owner works, from when it has read all jobs, before it hands over
to a larger host. Then a handover, which takes about a second where the larger
host comes, costs a quarter of the time at most."""

MAX_TENURE_SECONDS = 60.0
"""The same where larger hosts have not come. Each time costs over 2 s without
an owner, so the tenure doubles with each, up to a share of one in thirty."""

FIRST_POLL_SECONDS = 0.1
"""Between two looks at a lease until the other hosts are known: that takes a
few ms after a restart, and a restarted owner should go on at once."""

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
class ServiceElection:
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
      may_own: Asks the daemon at an address whether it could own it.
      owner: The owner that runs here, if any.
    """

    settings: OwnerSettings
    table: PlatformTable
    name: str
    clock: Clock
    make_calls: Callable[[int], WorkerClient]
    is_outage: Callable[[], bool]
    advice: AdviceClient | None
    metrics: ControlMetrics
    candidates: Candidates
    may_own: Callable[[str], Awaitable[bool]]
    owner: Owner | None = None
    _stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    _are_all_recorded: bool = True
    _inherited: InheritedLeases = attrs.Factory(InheritedLeases)
    _tenure: float = 0.0
    _handed_over: int = 0

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
                lease = await keeper.try_acquire(
                    key,
                    functools.partial(self._take_data, keeper),
                    self._defer(),
                )
            except UnavailableError as error:
                log.warning('Cannot look at the lease: {}', error)
                lease = None
            if lease is not None and self._stopping.is_set():
                # Stopped while the lease was taken: kept, nobody would own the
                # service until it has run out.
                await keeper.release(lease)
            elif lease is not None:
                await self._own(keeper, lease)
            known = self.candidates.is_complete
            pause = POLL_SECONDS if known else FIRST_POLL_SECONDS
            await asyncio.sleep(pause + random.uniform(0, JITTER_SECONDS))

    def _is_gone(self, holder: str) -> bool:
        """Whether a holder is an earlier process of this host.

        A host runs one process at a time. After all of them were killed at
        once, the owner's host need not wait for the lease of the dead owner:
        work goes on 2 s earlier.
        """
        return is_same_host(self.name, holder)

    def _take_data(
        self, keeper: LeaseKeeper, told: LeaseRecord
    ) -> dict[str, Any]:
        """Takes in what the row told; returns what it tells until we write.

        What a release told of all workers is dropped from the row: kept, their
        leases could not be renewed before the next write.
        """
        data = decode(told.data, told.epoch)
        is_held = told.holder != ''
        is_seen = keeper.has_observed_last_write(
            make_owner_key(self.settings.service)
        )
        self._are_all_recorded = not data.has_unrecorded_starts and (
            is_seen or told.epoch == 0
        )
        inherited = InheritedLeases(
            data.remaining,
            told.seen_at,
            is_held,
            data.unrecorded_seconds if is_seen else None,
        )
        self._inherited = inherited
        now = self.clock.monotonic()
        kept = LeaseData(
            not self._are_all_recorded,
            inherited.list_remaining(CLOCK_DRIFT, now) if is_held else {},
            inherited.get_unrecorded_seconds(CLOCK_DRIFT, now),
        )
        return kept.encode(told.epoch + 1)

    def _defer(self) -> float:
        return (
            LARGER_HOST_HEAD_START_SECONDS
            if self.candidates.may_have_larger
            else 0.0
        )

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
            self._are_all_recorded,
            self.is_outage,
            self.advice,
            self.metrics,
            self._inherited,
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
        if owner.lost_reason:
            return
        data = decode(lease.data, lease.epoch)
        told = attrs.evolve(data, remaining=owner.list_remaining())
        lease.data = told.encode(lease.epoch)
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
        await owner.at_work.wait()
        await asyncio.sleep(self._choose_tenure(lease))
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
        self._handed_over = lease.epoch
        owner.stop()

    def _choose_tenure(self, lease: Lease) -> float:
        """Returns how long to own before a larger host is asked.

        A lease that follows our own handover was not taken by the heir.
        """
        is_back = self._handed_over and lease.epoch == self._handed_over + 1
        longer = min(2 * self._tenure, MAX_TENURE_SECONDS)
        self._tenure = longer if is_back else MIN_TENURE_SECONDS
        return self._tenure

    async def _find_heir(self) -> str:
        """Returns the address of a larger host that can own it, or ''."""
        larger = self.candidates.list_larger()
        answers = await asyncio.gather(*map(self.may_own, larger))
        heard = itertools.compress(larger, answers)
        return next(heard, '')

    def _get_lapse_seconds(self) -> float:
        """Returns when leases of the previous owner have surely run out.

        It heard of the store at the latest when its lease began, renews for
        the promised time from then, and workers' clocks may be slow.
        """
        promised = RENEW_WITHOUT_STORE_SECONDS - LEASE_SECONDS
        lease = self.settings.lease_seconds / SLOWEST_CLOCK
        return promised + lease + LAPSE_MARGIN_SECONDS

    def stop(self) -> None:
        """Gives the service up."""
        self._stopping.set()
        if self.owner is not None:
            self.owner.stop()
