"""This daemon's row among the members in the table, and the others' rows.

The rows tell a new daemon whom to talk to. Who is up is for heartbeats to
tell; a row only says that a daemon of that name was started last.
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
REFRESH_ROUNDS = 3
"""A daemon writes its row anew once in this many looks at the rows."""

STALE_ROUNDS = 12
"""Looks for which a row has to stand still before it is deleted."""


@attrs.define
class _Seen:
    """How long a row has been as it is."""

    version: int
    rounds: int = 0


class Registry:
    """Keeps the member rows.

    Args:
      table: Where the rows are.
      membership: Learns from the rows.
      look_seconds: Between two looks once others are known.
      monotonic: The clock for durations.

    Attributes:
      replaced: Whether another daemon was started under this one's name.
    """

    def __init__(
        self,
        table: Table,
        membership: Membership,
        look_seconds: float,
        monotonic: Callable[[], float],
    ):
        self.replaced = False
        self._table = table
        self._membership = membership
        self._look_seconds = look_seconds
        self._monotonic = monotonic
        self._version = ABSENT
        self._announced = False
        self._rounds = 0
        self._seen: dict[str, _Seen] = {}

    async def run(self) -> None:
        """Looks at the rows until cancelled."""
        while True:
            try:
                await self.look()
            except UnavailableError:
                log.debug('The member rows cannot be read.')
            others = len(self._membership.list_active()) > 1
            pause = self._look_seconds if others else 1.0
            pause = min(pause, self._look_seconds)
            await asyncio.sleep(pause * random.uniform(*JITTER))

    async def look(self) -> None:
        """Reads every row, keeps this daemon's, deletes those of the dead.

        Raises:
          UnavailableError: The table does not answer.
        """
        rows = {
            row.key.sort: row for row in await scan_all(self._table, MEMBERS)
        }
        await self._keep(rows.get(self._membership.local_member.name))
        self._membership.add_listed(Member(**r.body) for r in rows.values())
        self._rounds += 1
        for row in rows.values():
            await self._prune(row)

    async def _keep(self, row: Row | None) -> None:
        me = self._membership.local_member
        if not self._announced:
            # The last one started under a name has it: a predecessor that
            # was only paused finds its row changed when it wakes.
            if row is not None:
                self._membership.raise_incarnation_above(
                    row.body['incarnation']
                )
            await self._write(row.version if row else ABSENT)
            self._announced = True
            return
        if row is not None and row.body['address'] == me.address:
            # Also a write of ours whose answer was lost, or that came late.
            self._version = row.version
        elif row is not None:
            if not self.replaced:
                log.error('Another daemon has the name {}.', me.name)
            self.replaced = True
            return
        rival = self._membership.name_conflict
        if rival is not None:
            # The row is still ours, so the rival is the older one.
            self._membership.raise_incarnation_above(rival.incarnation)
        if row is None or rival or self._rounds % REFRESH_ROUNDS == 0:
            await self._write(self._version if row else ABSENT)

    async def _write(self, version: int) -> None:
        me = self._membership.local_member
        key = Key(MEMBERS, me.name)
        try:
            await commit(
                self._table, [Put(key, attrs.asdict(me), version)], key
            )
        except ConflictError:
            # Somebody wrote in between; the next look tells who.
            return
        self._version = version + 1

    async def _prune(self, row: Row) -> None:
        name = row.key.sort
        seen = self._seen.get(name)
        if seen is None or seen.version != row.version:
            self._seen[name] = _Seen(row.version)
            return
        seen.rounds += 1
        if name == self._membership.local_member.name or self._membership.is_up(
            name
        ):
            return
        if seen.rounds >= STALE_ROUNDS:
            del self._seen[name]
            await self._delete(row)

    async def _delete(self, row: Row) -> None:
        try:
            await self._table.transact(
                make_token(), [Delete(row.key, row.version)]
            )
        except ConflictError:
            return
        log.info('The row of {} is deleted; it is gone.', row.key.sort)
