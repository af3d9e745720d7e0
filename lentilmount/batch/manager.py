"""Acquires the leases of slices and runs an owner for each slice held."""

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
ERROR_PAUSE_SECONDS = 5.0
"""Pause before a slice is acquired again after an unexpected error."""

ROWS_PER_SECOND = 400.0
"""Rate limit on writes of all slices together; urgent writes are exempt."""

RELEASED_POLL_SECONDS = 0.02


class SliceManager:
    """Acquires, runs and releases slices.

    Args:
      table: The table with the slices' leases.
      workers: Client for the workers.
      configuration: The operators' configuration.
      membership: The members that this daemon knows.
      events: The event log.
      options: Options of the owners.
      slices_per_zone: Number of slices that a zone's workers are split into.
      monotonic: Clock for durations.
      announce_release: Called with the name of a released slice, to notify
        the next owner without waiting for its poll.
      ownership: Decides which daemon should own a slice; created if None.

    Attributes:
      owners: The owners of the slices that this daemon holds, by slice.
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
        ownership: OwnershipPolicy | None = None,
    ):
        self.owners: dict[str, Owner] = {}
        self.hosts: list[Host] = []
        self._grouped_hosts: list[Host] = []
        self._hosts_by_slice: dict[str, list[Host]] = {}
        self._table = table
        self._workers = workers
        self._configuration = configuration
        self._ownership = ownership or OwnershipPolicy(
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
        local_member = membership.local_member
        self._keeper = LeaseKeeper(
            table,
            f'{local_member.name}/{local_member.incarnation}',
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
        """Acquires and runs slices until cancelled."""
        async with asyncio.TaskGroup() as group:
            for slice_name in self._options.slices:
                group.create_task(self._manage_slice(slice_name))

    def stop(self) -> None:
        """Releases the slices held and acquires no more."""
        self._stopping = True
        for owner in self.owners.values():
            owner.stop()

    async def wait_released(self) -> None:
        """Waits until all slices held are released."""
        while self._owning:
            await asyncio.sleep(RELEASED_POLL_SECONDS)

    def wake(self, slice_name: str) -> None:
        """Checks a slice now: its inbox if owned, otherwise its lease."""
        if slice_name in self.owners:
            self.owners[slice_name].wake()
        elif slice_name in self._wakes:
            self._wakes[slice_name].set()

    async def _manage_slice(self, slice_name: str) -> None:
        while True:
            with contextlib.suppress(UnavailableError):
                if not self._stopping and await self._should_acquire(
                    slice_name
                ):
                    lease = await self._keeper.try_acquire(
                        make_slice_key(slice_name),
                        lambda record: (
                            self._ledger_options.extend_offline_renewal(
                                record.data
                            )
                        ),
                    )
                    if lease is not None:
                        await self._run_slice(slice_name, lease)
            await wait_with_timeout(self._wakes[slice_name], POLL_SECONDS)
            self._wakes[slice_name].clear()

    async def _should_acquire(self, slice_name: str) -> bool:
        if self._ownership.is_preferred(slice_name):
            return True
        if not self._ownership.is_candidate(slice_name):
            return False
        rows = await self._table.read([make_slice_key(slice_name)])
        row = rows.get(make_slice_key(slice_name))
        version = row.version if row else 0
        held = row is not None and bool(row.body['holder'])
        if held and version != self._versions.get(slice_name):
            self._ownership.record_held(slice_name)
        self._versions[slice_name] = version
        return self._ownership.should_acquire(slice_name)

    @contextlib.asynccontextmanager
    async def _watch(
        self, slice_name: str, owner: Owner
    ) -> AsyncIterator[None]:
        task = asyncio.create_task(self._watch_ownership(slice_name, owner))
        try:
            yield
        finally:
            task.cancel()

    async def _watch_ownership(self, slice_name: str, owner: Owner) -> None:
        while not self._ownership.should_hand_over(slice_name):
            await asyncio.sleep(POLL_SECONDS)
        log.info('Slice {} is handed over to the preferred daemon.', slice_name)
        owner.stop()

    async def _run_slice(self, slice_name: str, lease: Lease) -> None:
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
            # The rows differ from the copy in memory or cannot be read; the
            # next owner loads them again.
            cause = str(group.exceptions[0])
        except* Exception as group:
            # An error in one slice must not end the daemon: the next daemon
            # would acquire the slice, meet the same error and end as well.
            log.exception('Slice {} failed.', slice_name)
            cause = str(group.exceptions[0])
            pause = ERROR_PAUSE_SECONDS
        finally:
            self.owners.pop(slice_name, None)
        await self._keeper.release(ledger.lease)
        self._events.record(
            'slices', EventKind.SLICE_LOST, slice_name, cause=cause
        )
        log.info('Slice {} lost: {}.', slice_name, cause)
        await asyncio.sleep(pause)

    def _list_hosts(self, slice_name: str) -> list[Host]:
        if self._grouped_hosts is not self.hosts:
            self._grouped_hosts = self.hosts
            self._hosts_by_slice.clear()
            for host in self.hosts:
                host_slice = find_worker_slice(
                    host.zone, host.name, self._slices_per_zone
                )
                self._hosts_by_slice.setdefault(host_slice, []).append(host)
        return self._hosts_by_slice.get(slice_name, [])
