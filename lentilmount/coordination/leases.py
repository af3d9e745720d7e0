"""Leases with epochs on rows of the table.

Nobody compares clocks. A holder counts its lease from before it sent the
write that renewed it; everybody else counts from when they first saw that
write. Each takeover raises the epoch, and every write of the holder expects
the version of the lease's row, so a holder that wakes up late writes nothing.
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
"""Whether the process that a holder's name belongs to has surely ended."""


CLOCK_DRIFT = 0.01
"""Two monotonic clocks differ in rate by less than this share."""


class LeaseLostError(Exception):
    """The lease is held by another, or may be."""


@attrs.frozen
class LeaseRecord:
    """What a lease's row told before the lease was taken.

    Attributes:
      data: What it carried beside its holder and epoch.
      holder: Who held it, or '' where it was given up or never held.
      epoch: The last holder's; 0 if there was none.
      seen_at: Monotonic time by which it had surely been written.
    """

    data: dict[str, Any]
    holder: str
    epoch: int
    seen_at: float


UpdateData = Callable[[LeaseRecord], dict[str, Any]]
"""Makes a lease's data at a takeover from what the row told."""


def copy_data(record: LeaseRecord) -> dict[str, Any]:
    """Leaves a lease's data as they are."""
    return dict(record.data)


@attrs.frozen
class Renewal:
    """A write of a lease's row: its token, when it was first sent, the row."""

    token: str
    sent_at: float
    put: Put


@attrs.define
class Lease:
    """A lease that this process holds, as far as it knows.

    Attributes:
      key: The lease's row.
      holder: Who holds it.
      epoch: Raised by each takeover; the fencing token.
      version: Version of the row after our last write.
      renewed_at: Monotonic time before the last write that renewed it.
      valid_until: Monotonic time up to which nobody else can have taken it.
      data: What else the row carries.
      unconfirmed: The last write, as long as its fate is not known.
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
        """Returns the write that renews the lease; put it in a transaction."""
        data = dict(self.data)
        body = {'holder': self.holder, 'epoch': self.epoch, 'data': data}
        return Put(self.key, body, self.version)

    def make_check(self) -> Check:
        """Returns the condition that the lease is still ours."""
        return Check(self.key, self.version)


class LeaseKeeper:
    """Acquires, renews and releases leases for one holder.

    Args:
      table: Where the leases are.
      holder: A name no other process ever has (name and incarnation).
      duration: Seconds a lease is good for without renewal.
      monotonic: The clock for durations.
      has_ended: Tells of other holders whether their processes have ended;
        their leases need not be waited for.
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

    async def try_acquire(
        self, key: Key, update_data: UpdateData = copy_data, delay: float = 0.0
    ) -> Lease | None:
        """Takes a lease if it is free or surely lapsed.

        A lease that this keeper held before is taken at once, with a higher
        epoch, so that writes of its earlier use fail.

        Args:
          key: The lease's row.
          update_data: Gives the row's data after the takeover from those
            before; what others must know of a holder has to be in its first
            write.
          delay: Seconds for which a free lease is left to others.

        Returns:
          The lease, or None where another holds it.

        Raises:
          UnavailableError: The table does not answer.
        """
        try:
            rows = await self._table.read([key])
        except UnavailableError:
            # While the table was away nobody could renew. Without this the
            # holder would seem lapsed when it comes back, and lose its lease
            # to whoever happens to be answered first.
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
        """Takes a lease whose row was just read; see `try_acquire`."""
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

    def has_observed_last_write(self, key: Key) -> bool:
        """Tells whether the last holder's writes were followed to the end.

        It is so if the holder gave the lease up, or was seen to renew it with
        no failed reading since; if not, the holder may have acted on without
        the table.
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
        """Returns for how long a lease's row was seen unchanged, in seconds."""
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

        Raises:
          LeaseLostError: Another took the lease; nothing was written.
          ConflictError: Another row conflicted; the lease is still ours.
          UnavailableError: It is not known whether it was applied. Call
            again with the same token and operations before anything else.
        """
        # A write sent again may have taken effect the first time. Counted
        # from the last time, the holder would believe in its lease for longer
        # than those do who saw the first write.
        # And it has to be the same write, whatever became of the data since.
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
        """Gives the lease up, so that another need not wait for its end.

        Returns:
          Whether that is known to have been written.
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
