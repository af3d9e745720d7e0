"""Leases with epochs on rows of the table.

Clocks of different processes are never compared. The holder counts its lease
from before it sent the write that renewed it; other processes count from when
they first read that write. Each takeover increases the epoch, and every write
of the holder expects the version of the lease's row, so a holder that resumes
after its lease has expired cannot write.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from lentilmount.coordination.table import (
    ABSENT,
    Check,
    ConflictError,
    Key,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import commit, make_token

HasEnded = Callable[[str], bool]
"""Returns whether the process with a holder's name has certainly ended."""


CLOCK_DRIFT = 0.01
"""Upper bound of the relative difference in rate of two monotonic clocks."""


class LeaseLostError(Exception):
    """The lease is held by another process, or may be."""


@attrs.frozen
class LeaseRecord:
    """Content of a lease's row before a takeover.

    Attributes:
      data: Data of the row, apart from its holder and epoch.
      holder: Previous holder, or '' if the lease was released or never held.
      epoch: Epoch of the previous holder; 0 if there was none.
      seen_at: Monotonic time in seconds by which the row had certainly been
        written.
    """

    data: dict[str, Any]
    holder: str
    epoch: int
    seen_at: float


UpdateData = Callable[[LeaseRecord], dict[str, Any]]
"""Returns a lease's data at a takeover, given the previous row."""


def copy_data(record: LeaseRecord) -> dict[str, Any]:
    """Returns the previous data of a lease unchanged."""
    return dict(record.data)


@attrs.frozen
class Renewal:
    """A write that renews a lease.

    Attributes:
      token: Token of the transaction.
      sent_at: Monotonic time before it was first sent, in seconds.
      put: Write of the lease's row.
    """

    token: str
    sent_at: float
    put: Put


@attrs.define
class Lease:
    """A lease that this process acquired and has not found lost.

    Attributes:
      key: Key of the lease's row.
      holder: Name of the holder.
      epoch: Fencing token; increases with each takeover.
      version: Version of the row after the last write of this process.
      renewed_at: Monotonic time before the last renewal was sent, in seconds.
      valid_until: Monotonic time until which no other process can have taken
        the lease, in seconds.
      data: Further data in the row.
      unconfirmed: The last write, while it is unknown whether it was applied.
    """

    key: Key
    holder: str
    epoch: int
    version: int
    renewed_at: float
    valid_until: float
    data: dict[str, Any]
    unconfirmed: Renewal | None = None

    def make_put(self) -> Put:
        """Returns the write that renews the lease, for use in a transaction."""
        data = dict(self.data)
        body = {'holder': self.holder, 'epoch': self.epoch, 'data': data}
        return Put(self.key, body, self.version)

    def make_check(self) -> Check:
        """Returns the condition that the lease is still held."""
        return Check(self.key, self.version)


class LeaseKeeper:
    """Acquires, renews and releases leases for one holder.

    Args:
      table: Table that stores the leases.
      holder: Globally unique name of this process (name and incarnation).
      duration: Seconds for which a lease is valid without renewal.
      monotonic: Returns the monotonic time in seconds.
      has_ended: Returns whether another holder's process has ended; its leases
        can be taken without waiting.
    """

    def __init__(
        self,
        table: Table,
        holder: str,
        duration: float,
        monotonic: Callable[[], float],
        has_ended: HasEnded = lambda holder: False,
    ):
        self._table = table
        self._holder = holder
        self._duration = duration
        self._monotonic = monotonic
        self._has_ended = has_ended
        self._observed: dict[Key, tuple[int, float]] = {}
        self._with_observed_writes: set[Key] = set()
        self._rows: dict[Key, Row | None] = {}

    async def try_acquire(
        self, key: Key, update_data: UpdateData = copy_data, delay: float = 0.0
    ) -> Lease | None:
        """Acquires a lease if it is free or has certainly expired.

        A lease that this keeper held before is acquired at once, with a higher
        epoch, so that writes under the earlier epoch fail.

        Args:
          key: Key of the lease's row.
          update_data: Returns the data to store at the takeover, given the
            previous row; data that other processes need from a holder has to
            be in its first write.
          delay: Seconds for which a free lease is left to other processes.

        Returns:
          The lease, or None if another process holds it.

        Raises:
          UnavailableError: The table does not respond.
        """
        try:
            rows = await self._table.read([key])
        except UnavailableError:
            # While the table is unavailable no holder can renew. If the time
            # of the outage counted, the lease would seem expired afterwards
            # and go to the first process that reads the table.
            self._observed.pop(key, None)
            self._with_observed_writes.discard(key)
            raise
        return await self.try_take(key, rows.get(key), update_data, delay)

    async def try_take(
        self,
        key: Key,
        row: Row | None,
        update_data: UpdateData = copy_data,
        delay: float = 0.0,
    ) -> Lease | None:
        """Acquires a lease whose row was just read; see `try_acquire`."""
        self._rows[key] = row
        if not self._is_free(key, row, delay):
            return None
        lease = Lease(
            key=key,
            holder=self._holder,
            epoch=row.body['epoch'] + 1 if row else 1,
            version=row.version if row else ABSENT,
            renewed_at=0.0,
            valid_until=0.0,
            data=update_data(self._read_record(key, row)),
        )
        try:
            await self.renew(lease)
        except LeaseLostError:
            return None
        return lease

    def _read_record(self, key: Key, row: Row | None) -> LeaseRecord:
        now = self._monotonic()
        if row is None:
            return LeaseRecord({}, '', 0, now)
        version, seen_at = self._observed.get(key, (ABSENT, now))
        return LeaseRecord(
            row.body['data'],
            row.body['holder'],
            row.body['epoch'],
            seen_at if version == row.version else now,
        )

    def get_holder(self, key: Key) -> str:
        """Returns the holder that the newest read found, or ''."""
        row = self._rows.get(key)
        return row.body['holder'] if row is not None else ''

    def get_row(self, key: Key) -> Row | None:
        """Returns the row that the newest read found, or None."""
        return self._rows.get(key)

    def get_unchanged_seconds(self, key: Key) -> float:
        """Returns the seconds for which a lease's row was seen unchanged.

        It is 0 if the newest read failed or found another version.
        """
        known = self._observed.get(key)
        return 0.0 if known is None else self._monotonic() - known[1]

    def has_observed_last_write(self, key: Key) -> bool:
        """Returns whether the last holder's writes were observed to the end.

        This is so if the holder released the lease, or was seen to renew it
        and no read has failed since. Otherwise the holder may have continued
        to work without the table.
        """
        return key in self._with_observed_writes

    def _is_free(self, key: Key, row: Row | None, delay: float) -> bool:
        holder = row.body['holder'] if row is not None else ''
        if row is not None and holder in ('', self._holder):
            self._with_observed_writes.add(key)
        is_ours = holder in ('', self._holder) or self._has_ended(holder)
        if is_ours and not delay:
            return True
        wait = delay
        if holder:
            wait += self._duration * (1 + CLOCK_DRIFT)
        return self._measure_unchanged_seconds(key, row) > wait

    def _measure_unchanged_seconds(self, key: Key, row: Row | None) -> float:
        """Returns the seconds for which a lease's row was seen unchanged."""
        now = self._monotonic()
        version = ABSENT if row is None else row.version
        known = self._observed.get(key)
        if known is not None and known[0] == version:
            return now - known[1]
        if known is not None:
            self._with_observed_writes.add(key)
        self._observed[key] = (version, now)
        return 0.0

    async def renew(
        self,
        lease: Lease,
        operations: list[Operation] | None = None,
        token: str = '',
    ) -> None:
        """Writes the lease's row and `operations` in one transaction.

        Args:
          lease: The lease to renew.
          operations: Further operations of the transaction.
          token: Token of the transaction; a new one if empty.

        Raises:
          LeaseLostError: Another process took the lease; nothing was written.
          ConflictError: Another row conflicted; the lease is still held.
          UnavailableError: It is unknown whether the transaction was applied.
            Call again with the same token and operations before any other
            write.
        """
        # A resent write may have been applied the first time, so the lease
        # counts from the first time it was sent. Counted from the last time,
        # the holder would trust its lease for longer than the processes that
        # read the first write.
        # A resent write must be identical, even if the data changed since.
        token = token or make_token()
        renewal = lease.unconfirmed
        if renewal is None or renewal.token != token:
            renewal = Renewal(token, self._monotonic(), lease.make_put())
        lease.unconfirmed = renewal
        try:
            version = await commit(
                self._table,
                [renewal.put, *(operations or [])],
                lease.key,
                token=token,
            )
        except ConflictError as error:
            if lease.key in error.keys:
                raise LeaseLostError(str(lease.key)) from error
            raise
        lease.unconfirmed = None
        lease.version = version
        lease.renewed_at = renewal.sent_at
        lease.valid_until = renewal.sent_at + self._duration

    async def release(self, lease: Lease) -> bool:
        """Releases the lease, so that others need not wait for its expiry.

        Returns:
          Whether the release is known to have been written.
        """
        body = {'holder': '', 'epoch': lease.epoch, 'data': lease.data}
        try:
            await commit(
                self._table,
                [Put(lease.key, body, lease.version)],
                lease.key,
            )
        except (ConflictError, UnavailableError):
            return False
        lease.valid_until = 0.0
        return True
