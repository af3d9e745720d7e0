"""Which slices this daemon owns: taken by lease, run until lost."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import logbook

from lentilmount.batch.ledger import Ledger, LedgerOptions
from lentilmount.batch.owner import Owner, OwnerOptions
from lentilmount.batch.ownership import OwnershipOptions, OwnershipPolicy
from lentilmount.batch.records import make_slice_key
from lentilmount.configuration import Configuration
from lentilmount.coordination.leases import (
    Lease,
    LeaseKeeper,
    LeaseLostError,
)
from lentilmount.coordination.membership import Membership
from lentilmount.coordination.table import (
    MAX_OPERATIONS,
    ConflictError,
    Table,
    UnavailableError,
)
from lentilmount.events import EventKind, EventLog
from lentilmount.slices import find_worker_slice
from lentilmount.upstream.hosts import Host
from lentilmount.upstream.workers import SyncClient
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('slices')

POLL_SECONDS = 1.0
FAULT_SECONDS = 5.0
"""How long a slice is left alone after a fault in its own rows or code."""

ROWS_PER_SECOND = 400.0
"""Most rows that all slices together write, but for what is urgent."""

RELEASED_POLL_SECONDS = 0.02


class SliceManager:
    """Takes, runs and gives up slices.

    Args:
      table: Where the slices' leases are.
      workers: How workers are reached.
      configuration: What operators declared.
      membership: Who is there.
      events: The time line.
      options: How an owner works.
      slices_per_zone: Shares into which a zone's workers are split.
      monotonic: The clock for durations.
      announce_release: Called when a slice was given up, so that the next
        owner need not find out by itself.
      preference: Who should own what; one of its own if not given.

    Attributes:
      owners: The slices that this daemon runs.
      hosts: The host list as last read.
    """

    def __init__(
        self,
        table: Table,
        workers: SyncClient,
        configuration: Configuration,
        membership: Membership,
        events: EventLog,
        options: OwnerOptions,
        slices_per_zone: int,
        monotonic: Callable[[], float],
        announce_release: Callable[[str], None] = lambda _: None,
        preference: OwnershipPolicy | None = None,
    ):
        self.owners: dict[str, Owner] = {}
        self.hosts: list[Host] = []
        self._split_hosts: list[Host] = []
        self._by_slice: dict[str, list[Host]] = {}
        self._table = table
        self._workers = workers
        self._configuration = configuration
        self._preference = preference or OwnershipPolicy(
            membership, OwnershipOptions(options.slices), monotonic
        )
        self._announce_release = announce_release
        self._wakes = {name: asyncio.Event() for name in options.slices}
        self._versions: dict[str, int] = {}
        self._owning: set[str] = set()
        self._events = events
        self._options = options
        self._slices_per_zone = slices_per_zone
        self._monotonic = monotonic
        me = membership.local_member
        self._keeper = LeaseKeeper(
            table,
            f'{me.name}/{me.incarnation}',
            options.lease_seconds,
            monotonic,
        )
        rows = ROWS_PER_SECOND / max(1, len(options.slices))
        self._ledger_options = LedgerOptions(
            rows_per_second=rows,
            burst_rows=max(rows, MAX_OPERATIONS),
            offline_renewal_seconds=options.sessions.offline_renewal_seconds,
            task_lease_seconds=options.sessions.lease_seconds,
        )
        self._stopping = False

    async def run(self) -> None:
        """Looks after every slice until cancelled."""
        async with asyncio.TaskGroup() as group:
            for slice_name in self._options.slices:
                group.create_task(self._look_after(slice_name))

    def stop(self) -> None:
        """Makes this daemon give its slices up and take no more."""
        self._stopping = True
        for owner in self.owners.values():
            owner.stop()

    async def wait_released(self) -> None:
        """Waits until every slice that was owned is released."""
        while self._owning:
            await asyncio.sleep(RELEASED_POLL_SECONDS)

    def wake(self, slice_name: str) -> None:
        """Looks at a slice now: its inbox, or whether it is free."""
        if slice_name in self.owners:
            self.owners[slice_name].wake()
        elif slice_name in self._wakes:
            self._wakes[slice_name].set()

    async def _look_after(self, slice_name: str) -> None:
        while True:
            with contextlib.suppress(UnavailableError):
                if not self._stopping and await self._is_mine(slice_name):
                    lease = await self._keeper.try_acquire(
                        make_slice_key(slice_name),
                        lambda told: (
                            self._ledger_options.extend_offline_renewal(
                                told.data
                            )
                        ),
                    )
                    if lease is not None:
                        await self._own(slice_name, lease)
            await wait_with_timeout(self._wakes[slice_name], POLL_SECONDS)
            self._wakes[slice_name].clear()

    async def _is_mine(self, slice_name: str) -> bool:
        if self._preference.is_preferred(slice_name):
            return True
        if not self._preference.is_candidate(slice_name):
            return False
        rows = await self._table.read([make_slice_key(slice_name)])
        row = rows.get(make_slice_key(slice_name))
        version = row.version if row else 0
        held = row is not None and bool(row.body['holder'])
        if held and version != self._versions.get(slice_name):
            self._preference.record_held(slice_name)
        self._versions[slice_name] = version
        return self._preference.should_acquire(slice_name)

    @contextlib.asynccontextmanager
    async def _watch(
        self, slice_name: str, owner: Owner
    ) -> AsyncIterator[None]:
        task = asyncio.create_task(self._watch_preference(slice_name, owner))
        try:
            yield
        finally:
            task.cancel()

    async def _watch_preference(self, slice_name: str, owner: Owner) -> None:
        while not self._preference.should_hand_over(slice_name):
            await asyncio.sleep(POLL_SECONDS)
        log.info('Slice {} goes to a daemon that has fewer.', slice_name)
        owner.stop()

    async def _own(self, slice_name: str, lease: Lease) -> None:
        self._owning.add(slice_name)
        try:
            await self._run_owner(slice_name, lease)
        finally:
            self._owning.discard(slice_name)
        self._announce_release(slice_name)

    async def _run_owner(self, slice_name: str, lease: Lease) -> None:
        self._events.record('slices', EventKind.SLICE_TAKEN, slice_name)
        log.info('Slice {} taken, epoch {}.', slice_name, lease.epoch)
        ledger = Ledger(
            slice_name,
            self._table,
            self._keeper,
            lease,
            self._events,
            self._ledger_options,
            self._monotonic,
        )
        pause = 0.0
        try:
            await ledger.load()
            owner = Owner(
                ledger,
                self._table,
                self._workers,
                self._configuration,
                lambda: self._list_hosts(slice_name),
                self._options,
                self._monotonic,
            )
            self.owners[slice_name] = owner
            if self._stopping:
                owner.stop()
            async with self._watch(slice_name, owner):
                await owner.run()
            cause = 'given up'
        except* LeaseLostError:
            cause = 'taken by another daemon'
        except* (ConflictError, UnavailableError) as group:
            # The rows are not as in memory, or could not be read; whoever
            # owns the slice next reads them again.
            cause = str(group.exceptions[0])
        except* Exception as group:
            # One slice's fault must not end the daemon: the next daemon would
            # take the slice, meet the same fault and end as well.
            log.exception('Slice {} failed.', slice_name)
            cause = str(group.exceptions[0])
            pause = FAULT_SECONDS
        finally:
            self.owners.pop(slice_name, None)
        await self._keeper.release(ledger.lease)
        self._events.record(
            'slices', EventKind.SLICE_LOST, slice_name, cause=cause
        )
        log.info('Slice {} lost: {}.', slice_name, cause)
        await asyncio.sleep(pause)

    def _list_hosts(self, slice_name: str) -> list[Host]:
        if self._split_hosts is not self.hosts:
            self._split_hosts = self.hosts
            self._by_slice.clear()
            for host in self.hosts:
                where = find_worker_slice(
                    host.zone, host.name, self._slices_per_zone
                )
                self._by_slice.setdefault(where, []).append(host)
        return self._by_slice.get(slice_name, [])
