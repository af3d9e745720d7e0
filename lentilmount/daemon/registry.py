"""Maintains this daemon's member row in the table, and reads those of others.

A new daemon finds its peers through these rows. Whether a daemon is up is
decided by heartbeats alone; a row only identifies the daemon that was started
last under a name.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs
import logbook

from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.table import (
    ABSENT,
    ConflictError,
    Delete,
    Key,
    Put,
    Row,
    Table,
    UnavailableError,
    scan_all,
)
from lentilmount.coordination.transactions import commit, make_token

log = logbook.Logger('members')

MEMBERS = 'member'
JITTER = (0.75, 1.25)
REFRESH_POLLS = 3
"""A daemon rewrites its row once in this many polls."""

STALE_POLLS = 12
"""Polls without a change of a row after which it is deleted."""


@attrs.define
class _RowAge:
    """Number of polls since a row last changed."""

    version: int
    unchanged_polls: int = 0


class Registry:
    """Maintains the member rows.

    Args:
      table: The table service.
      membership: The known daemons; members found in rows are added.
      poll_seconds: Mean period between two polls once other daemons are
        active; until then it is at most 1 s.
      monotonic: Clock for durations, in seconds.

    Attributes:
      replaced: Whether another daemon was started later under the same name.
    """

    def __init__(
        self,
        table: Table,
        membership: Membership,
        poll_seconds: float,
        monotonic: Callable[[], float],
    ):
        self.replaced = False
        self._table = table
        self._membership = membership
        self._poll_seconds = poll_seconds
        self._monotonic = monotonic
        self._version = ABSENT
        self._is_registered = False
        self._poll_count = 0
        self._row_ages: dict[str, _RowAge] = {}

    async def run(self) -> None:
        """Polls the rows until cancelled."""
        while True:
            try:
                await self.poll()
            except UnavailableError:
                log.debug(
                    'The member rows cannot be read; the table does not answer.'
                )
            others = len(self._membership.list_active()) > 1
            pause = self._poll_seconds if others else 1.0
            pause = min(pause, self._poll_seconds)
            await asyncio.sleep(pause * random.uniform(*JITTER))

    async def poll(self) -> None:
        """Reads all rows, updates this daemon's, and deletes stale ones.

        Raises:
          UnavailableError: The table does not answer.
        """
        rows = {
            row.key.sort: row for row in await scan_all(self._table, MEMBERS)
        }
        await self._update_own_row(rows.get(self._membership.local_member.name))
        self._membership.add_listed(Member(**r.body) for r in rows.values())
        self._poll_count += 1
        for row in rows.values():
            await self._prune(row)

    async def _update_own_row(self, row: Row | None) -> None:
        local = self._membership.local_member
        if not self._is_registered:
            # The daemon started last under a name owns it. A predecessor that
            # was only paused finds its row changed when it resumes.
            if row is not None:
                self._membership.raise_incarnation_above(
                    row.body['incarnation']
                )
            await self._write(row.version if row else ABSENT)
            self._is_registered = True
            return
        if row is not None and row.body['address'] == local.address:
            # Covers own writes whose answer was lost, or that came late.
            self._version = row.version
        elif row is not None:
            if not self.replaced:
                log.error(
                    'Another daemon was started under the name {}; '
                    'give each daemon its own name.',
                    local.name,
                )
            self.replaced = True
            return
        duplicate = self._membership.name_conflict
        if duplicate is not None:
            # The row is still this daemon's, so the duplicate started earlier.
            self._membership.raise_incarnation_above(duplicate.incarnation)
        if row is None or duplicate or self._poll_count % REFRESH_POLLS == 0:
            await self._write(self._version if row else ABSENT)

    async def _write(self, version: int) -> None:
        local = self._membership.local_member
        key = Key(MEMBERS, local.name)
        try:
            await commit(
                self._table, [Put(key, attrs.asdict(local), version)], key
            )
        except ConflictError:
            # Another daemon wrote the row meanwhile; the next poll reads it.
            return
        self._version = version + 1

    async def _prune(self, row: Row) -> None:
        name = row.key.sort
        row_age = self._row_ages.get(name)
        if row_age is None or row_age.version != row.version:
            self._row_ages[name] = _RowAge(row.version)
            return
        row_age.unchanged_polls += 1
        if name == self._membership.local_member.name or self._membership.is_up(
            name
        ):
            return
        if row_age.unchanged_polls >= STALE_POLLS:
            del self._row_ages[name]
            await self._delete(row)

    async def _delete(self, row: Row) -> None:
        try:
            await self._table.transact(
                make_token(), [Delete(row.key, row.version)]
            )
        except ConflictError:
            return
        log.info(
            'The member row of {} is deleted; that daemon is down.',
            row.key.sort,
        )
