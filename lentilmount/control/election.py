"""Elects the owner of a service: the daemon that holds its lease."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.candidates import Candidates
from lentilmount.control.estimate_data import decode_estimates
from lentilmount.control.keys import make_owner_key
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner_modules import is_owner_loaded, load_owner
from lentilmount.control.owner_settings import (
    RENEW_WITHOUT_STORE_SECONDS,
    OwnerSettings,
)
from lentilmount.control.owner_watch import (
    NAME_SEPARATOR,
    OwnerWatch,
    get_host,
)
from lentilmount.coordination.leases import (
    CLOCK_DRIFT,
    Lease,
    LeaseKeeper,
    LeaseRecord,
)
from lentilmount.coordination.table import ABSENT, Key, UnavailableError
from lentilmount.platform.advice import AdviceClient
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.admission import AdmissionGate
from lentilmount.waiting import wait_with_timeout

if TYPE_CHECKING:
    from lentilmount.control.owner import Owner
    from lentilmount.scheduling.takeover import InheritedLeases

log = logbook.Logger('campaign')

LEASE_SECONDS = 2.0
"""Duration of an owner's lease without renewal. With a check every half second
a new owner starts within 3 s of the kill of another; renewals are sent every
half second, so three may be lost."""

SLOWEST_CLOCK = 0.98
"""Lowest rate of a worker's clock that the platform allows."""

EXPIRY_MARGIN_SECONDS = 0.3
"""Margin for a call of the previous owner in flight, and for workers to act on
an expired lease."""

POLL_SECONDS = 0.5
JITTER_SECONDS = 0.1

LARGER_HOST_HEAD_START_SECONDS = 1.2
"""Delay before a small host takes a free lease: two checks by larger hosts. A
takeover takes that much longer where none of them takes it."""

HELD_LEASE_HEAD_START_SECONDS = 4.0
"""The same for a lease that was not released, if larger hosts are known. Its
holder may be alive and its renewals late, as while the store is slow, and the
write by which a small host takes the lease may take effect later still. A small
owner then has the work of hundreds of workers until it hands over."""

MIN_TENURE_SECONDS = 3.0
"""Shortest time from the end of loading until an owner hands over to a larger
host. A handover takes about a second, a quarter of the time at most, where the
larger host takes the lease."""

MAX_TENURE_SECONDS = 60.0
"""Upper bound of that time where larger hosts did not take the lease. Each
failed handover costs over 2 s without an owner, so the time doubles after each,
until the cost is one part in thirty."""

LOAD_AHEAD_SECONDS = 1.0
"""Time before a lease may be taken at which the modules of an owner are loaded:
a lease of 2 s that is renewed each half second has then missed two renewals,
and two checks follow before it ends."""

FIRST_POLL_SECONDS = 0.1
"""Interval between checks of a lease until the other hosts are known, which
takes a few ms after a restart; a restarted owner should resume at once."""

LARGER_POLL_SECONDS = 1.0
"""Interval between rounds of calls to larger hosts, one call each."""


def make_name(host: str) -> str:
    """Returns a holder name that no other process ever has."""
    return f'{host}{NAME_SEPARATOR}{uuid.uuid4().hex[:8]}'


def is_same_host(name: str, other: str) -> bool:
    """Returns whether two holder names were made on the same host."""
    host = get_host(name)
    return bool(host) and get_host(other) == host


@attrs.define
class ServiceElection:
    """Acquires the lease on a service when it is free, and runs its owner.

    Attributes:
      settings: Settings of the service.
      table: Table with the row of the lease.
      name: Holder name that no other process ever has.
      clock: Wall and monotonic clocks.
      make_worker_client: Creates the client for workers, for an epoch.
      is_outage: Returns whether the store is unavailable to all daemons.
      advice: Client for the advice service, or None where there is none.
      metrics: Metrics of the daemon.
      candidates: Hosts that may own the service.
      may_own: Asks the daemon at an address whether it could own the service.
      gate: Judges the jobs that arrive at this daemon, or None if all jobs are
        accepted.
      owner: The owner running in this process, or None.
      owner_host: Name of the host of another process that holds the lease, or
        ''.
    """

    settings: OwnerSettings
    table: PlatformTable
    name: str
    clock: Clock
    make_worker_client: Callable[[int], WorkerClient]
    is_outage: Callable[[], bool]
    advice: AdviceClient | None
    metrics: ControlMetrics
    candidates: Candidates
    may_own: Callable[[str], Awaitable[bool]]
    gate: AdmissionGate | None = None
    owner: Owner | None = None
    owner_host: str = ''
    _stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    _are_all_recorded: bool = True
    _is_early: bool = False
    _inherited: InheritedLeases | None = None
    _tenure: float = 0.0
    _watch: OwnerWatch = attrs.field(init=False)
    _handover_epoch: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the watch of the process that holds the lease."""
        self._watch = OwnerWatch(self.candidates)

    async def run(self) -> None:
        """Acquires the lease and runs the owner, repeatedly, until `stop`."""
        watching = asyncio.create_task(self._watch.run())
        try:
            await self._compete()
        finally:
            watching.cancel()

    async def _compete(self) -> None:
        keeper = LeaseKeeper(
            self.table,
            self.name,
            LEASE_SECONDS,
            self.clock.monotonic,
            self._has_ended,
        )
        key = make_owner_key(self.settings.service)
        while not self._stopping.is_set():
            delay = self._choose_delay(keeper.get_holder(key))
            read_at = self.clock.monotonic()
            try:
                lease = await keeper.try_acquire(
                    key, functools.partial(self._update_data, keeper), delay
                )
            except UnavailableError as error:
                log.warning('Cannot read the lease: {}', error)
                lease = None
            else:
                self._observe_estimates(keeper, key, read_at)
            holder = '' if lease else keeper.get_holder(key)
            self.owner_host = get_host(holder)
            self._watch.watch(holder)
            if lease is not None and self._stopping.is_set():
                # Stopped while the lease was being acquired. If it were kept,
                # the service would have no owner until it expires.
                await keeper.release(lease)
            elif lease is not None:
                await self._run_owner(keeper, lease)
            # The next read is due as if nothing had been loaded.
            took = load_owner() if self._may_own_soon(keeper, delay) else 0.0
            is_complete = self.candidates.is_complete
            pause = POLL_SECONDS if is_complete else FIRST_POLL_SECONDS
            await wait_with_timeout(
                self._watch.has_ended,
                max(0.0, pause + random.uniform(0, JITTER_SECONDS) - took),
            )
            self._watch.has_ended.clear()

    def _may_own_soon(self, keeper: LeaseKeeper, delay: float) -> bool:
        """Returns whether this host may take the lease within a second or so.

        That is so for the standbys of the owner, which take it when its process
        has ended, and for each host that has seen no renewal for a while.

        Args:
          keeper: Has just read the lease.
          delay: Seconds for which this host leaves a free lease to others.
        """
        if is_owner_loaded():
            return False
        if self.owner_host and self.candidates.is_standby(self.owner_host):
            return True
        key = make_owner_key(self.settings.service)
        wait = delay + (LEASE_SECONDS if keeper.get_holder(key) else 0.0)
        return keeper.get_unchanged_seconds(key) > wait - LOAD_AHEAD_SECONDS

    def _observe_estimates(
        self, keeper: LeaseKeeper, key: Key, read_at: float
    ) -> None:
        """Passes the estimates in a lease row on; none if nobody holds it."""
        row = keeper.get_row(key)
        if self.gate is None:
            return
        if row is None or not row.body['holder']:
            self.gate.observe(ABSENT, {}, read_at)
            return
        estimates = decode_estimates(row.body['data'])
        self.gate.observe(row.version, estimates, read_at)

    def _has_ended(self, holder: str) -> bool:
        """Returns whether the process of a holder is known to have ended.

        It is an earlier process of this host, or its host refuses connections.
        A host runs one process at a time, so the lease of its earlier process
        need not expire. After all daemons were killed at once, work resumes 2 s
        earlier.
        """
        return is_same_host(self.name, holder) or self._watch.is_ended(holder)

    def _update_data(
        self, keeper: LeaseKeeper, record: LeaseRecord
    ) -> dict[str, Any]:
        """Stores what the lease row contained; returns its new data.

        Leases on workers that were recorded at a release are left out of the
        row: while it lists them, they cannot be renewed, and it would do so
        until the next write.
        """
        load_owner()
        from lentilmount.control.lease_data import (  # noqa: PLC0415
            LeaseData,
            decode_lease_data,
        )
        from lentilmount.scheduling.takeover import (  # noqa: PLC0415
            InheritedLeases,
        )

        data = decode_lease_data(record.data, record.epoch)
        is_held = record.holder != ''
        is_observed = keeper.has_observed_last_write(
            make_owner_key(self.settings.service)
        )
        self._are_all_recorded = not data.has_unrecorded_starts and (
            is_observed or record.epoch == 0
        )
        self._is_early = self._watch.is_ended(record.holder)
        inherited = InheritedLeases(
            data.remaining,
            record.seen_at,
            is_held,
            data.unrecorded_seconds if is_observed else None,
        )
        self._inherited = inherited
        now = self.clock.monotonic()
        new_data = LeaseData(
            not self._are_all_recorded,
            inherited.list_remaining(CLOCK_DRIFT, now) if is_held else {},
            inherited.get_unrecorded_seconds(CLOCK_DRIFT, now),
        )
        return new_data.encode(record.epoch + 1)

    def _choose_delay(self, holder: str) -> float:
        """Returns for how long a lease is left to larger hosts.

        Args:
          holder: Holder of the lease; '' if it was released or is not known.
        """
        if not self.candidates.may_have_larger:
            return 0.0
        is_held = bool(holder) and not self._has_ended(holder)
        if is_held and self.candidates.list_larger():
            return HELD_LEASE_HEAD_START_SECONDS
        return LARGER_HOST_HEAD_START_SECONDS

    async def _run_owner(self, keeper: LeaseKeeper, lease: Lease) -> None:
        log.info(
            'Taken: {}.', self.settings.service, extra={'epoch': lease.epoch}
        )
        from lentilmount.control.lease_data import (  # noqa: PLC0415
            decode_lease_data,
        )
        from lentilmount.control.owner import Owner  # noqa: PLC0415

        assert self._inherited is not None
        self.metrics.count_takeover(self.settings.service)
        owner = Owner(
            self.settings,
            self.table,
            keeper,
            lease,
            self.make_worker_client(lease.epoch),
            self.clock,
            self._get_lease_expiry_seconds(),
            self._are_all_recorded,
            self.is_outage,
            self.advice,
            self.metrics,
            self._inherited,
            self.candidates.list_largest,
            self.gate,
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
        data = decode_lease_data(lease.data, lease.epoch)
        final_data = attrs.evolve(data, remaining=owner.list_lease_seconds())
        lease.data = final_data.encode(lease.epoch)
        if await keeper.release(lease):
            log.info('Released: {}.', self.settings.service)
        else:
            log.warning(
                'Could not release {}: nobody owns it until its lease expires.',
                self.settings.service,
            )

    async def _hand_over(self, owner: Owner, lease: Lease) -> None:
        """Stops the owner once a much larger host can own the service.

        A small host owns it while all larger ones are gone or cut off. If it
        kept the service after that, every command would pass through a
        saturated link: with 245 workers and 5 Mbit/s, short jobs earned 0.00 of
        their value, and 0.87 from a large host.
        """
        await owner.loaded.wait()
        await asyncio.sleep(self._choose_tenure(lease))
        while True:
            successor = await self._find_successor()
            if successor and self.clock.monotonic() < lease.valid_until:
                break
            await asyncio.sleep(LARGER_POLL_SECONDS)
        log.info(
            'Handing {} over to a larger host.',
            self.settings.service,
            extra={'epoch': lease.epoch, 'heir': successor},
        )
        self._handover_epoch = lease.epoch
        owner.stop()

    def _choose_tenure(self, lease: Lease) -> float:
        """Returns how long to own the service before a larger host is asked.

        An epoch just after one that this host handed over means that no other
        host took the lease.
        """
        was_not_taken = (
            self._handover_epoch and lease.epoch == self._handover_epoch + 1
        )
        longer = min(2 * self._tenure, MAX_TENURE_SECONDS)
        self._tenure = longer if was_not_taken else MIN_TENURE_SECONDS
        return self._tenure

    async def _find_successor(self) -> str:
        """Returns the address of a larger host that can own it, or ''."""
        larger = self.candidates.list_larger()
        answers = await asyncio.gather(*map(self.may_own, larger))
        willing = itertools.compress(larger, answers)
        return next(willing, '')

    def _get_lease_expiry_seconds(self) -> float:
        """Returns the seconds until leases of the previous owner have expired.

        Its last contact with the store was no later than the start of its last
        lease period, unless the lease was taken before its end. It renews
        worker leases for `RENEW_WITHOUT_STORE_SECONDS` from then, and workers'
        clocks may be slow.
        """
        offline_renewal = RENEW_WITHOUT_STORE_SECONDS
        if not self._is_early:
            offline_renewal -= LEASE_SECONDS
        lease = self.settings.lease_seconds / SLOWEST_CLOCK
        return offline_renewal + lease + EXPIRY_MARGIN_SECONDS

    def stop(self) -> None:
        """Stops the owner and releases the lease."""
        self._stopping.set()
        if self.owner is not None:
            self.owner.stop()
