"""Watches: streams of changes that continue from a cursor.

A cursor holds a position in each change log of the table, so every daemon can
continue from a cursor of any other.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

import attrs

from lentilmount.batch.records import Task, make_slice_key, read_changes
from lentilmount.codec import structure_resource
from lentilmount.configuration import CONFIGURATION_LOG
from lentilmount.coordination.table import Key, Row, Table, UnavailableError
from lentilmount.errors import StoreError
from lentilmount.queries.feed import (
    ChangeLogReader,
    LogPosition,
    Positions,
    decode_cursor,
    encode_cursor,
    get_number,
    make_cursor_error,
)
from lentilmount.queries.statuses import make_status
from lentilmount.resources import Kind, Metadata, Status
from lentilmount.rows import REVISION_KEY
from lentilmount.waiting import wait_with_timeout

POLL_SECONDS = 0.1
"""Period in seconds of checking for new entries, once for all watches; also the
pause after a failed read of the table."""

IDLE_SECONDS = 1.0
"""Maximum time in seconds without a yield, so that the consumer of an idle
watch can end it."""

BOOKMARK_SECONDS = 15.0
"""Period in seconds of bookmarks on an idle watch."""


@attrs.frozen
class WatchFilter:
    """Filter of a watch.

    Attributes:
      teams: Teams whose resources are visible; None for all teams.
      kind: Only this kind, if given.
      team: Only this team, if given.
      name: Only names with this prefix.
    """

    teams: frozenset[str] | None = None
    kind: Kind | None = None
    team: str = ''
    name: str = ''

    def accepts(self, kind: Kind, team: str, name: str) -> bool:
        """Returns whether a change of a resource is visible and matches."""
        owner = name if kind is Kind.TEAM else team
        return (
            (self.teams is None or owner in self.teams)
            and (self.kind is None or kind is self.kind)
            and (not self.team or owner == self.team)
            and name.startswith(self.name)
        )


@attrs.frozen
class Notice:
    """One line of a watch.

    Attributes:
      cursor: Cursor from which a watch continues after this line.
      event: Kind of event; "applied" or "deleted" for the configuration;
        "bookmark" for a line that only advances the cursor.
      resource: The resource after the change; None for a bookmark.
      task: Id of the task that changed, or ''.
    """

    cursor: str
    event: str
    resource: dict[str, Any] | None = None
    task: str = ''


BOOKMARK = 'bookmark'


class Watcher:
    """Serves any number of watches from the change logs.

    Args:
      table: Table with the change logs.
      slices: Names of all slices.
      get_newest: Returns the number of the newest known entry of each log.
    """

    def __init__(
        self,
        table: Table,
        slices: tuple[str, ...],
        get_newest: Callable[[], dict[str, int]],
    ):
        self._table = table
        self._logs = (CONFIGURATION_LOG, *slices)
        self._get_newest = get_newest
        self._reader = ChangeLogReader(table)
        self._new_entries = asyncio.Event()
        self._poller: asyncio.Task[None] | None = None
        self._active_watches = 0

    def make_cursor(self) -> str:
        """Returns a cursor after the newest known entry of each log."""
        newest = self._get_newest()
        return encode_cursor(
            {log: LogPosition(newest.get(log, 0)) for log in self._logs}
        )

    async def read_cursor(self, cursor: str) -> Positions:
        """Decodes a cursor and checks that a watch can continue from it.

        Raises:
          InvalidError: The cursor is malformed, belongs to another deployment,
            or is ahead of the logs.
          LentilmountError: Of kind GONE; see `ChangeLogReader.read`.
          StoreError: The table service is unavailable.
        """
        positions = decode_cursor(cursor or self.make_cursor())
        if not positions.keys() <= set(self._logs):
            raise make_cursor_error('is of another deployment')
        try:
            newest = await self._read_newest(positions)
            for log, position in positions.items():
                if position.number + bool(position.taken) > newest[log]:
                    raise make_cursor_error(
                        f'is from the future: {log} is at {newest[log]}, '
                        f'not {position.number}'
                    )
                if position.number < newest[log]:
                    await self._reader.read(log, position.number)
        except UnavailableError as error:
            raise StoreError('the table service does not answer') from error
        return {log: positions.get(log, LogPosition()) for log in self._logs}

    async def _read_newest(self, positions: Positions) -> dict[str, int]:
        """Returns the number of the newest entry of each log.

        Reads the table if the positions are ahead of what this daemon knows:
        the cursor may be from a daemon that has read newer entries.
        """
        newest = {log: self._get_newest().get(log, 0) for log in self._logs}
        if all(
            newest[log] >= p.number + bool(p.taken)
            for log, p in positions.items()
        ):
            return newest
        keys = {log: _make_head_key(log) for log in self._logs}
        rows = await self._table.read(list(keys.values()))
        for log, key in keys.items():
            if key in rows:
                newest[log] = max(newest[log], _read_head(log, rows[key]))
        return newest

    async def follow(
        self, positions: Positions, wanted: WatchFilter
    ) -> AsyncIterator[Notice | None]:
        """Yields notices without end, and None while there is nothing new.

        Raises:
          LentilmountError: Of kind GONE; see `ChangeLogReader.read`.
        """
        self._active_watches += 1
        if self._poller is None:
            self._poller = asyncio.create_task(self._poll())
        try:
            async for notice in self._follow(positions, wanted):
                yield notice
        finally:
            self._active_watches -= 1
            if not self._active_watches and self._poller is not None:
                self._poller.cancel()
                self._poller = None

    async def _poll(self) -> None:
        """Wakes all watches when a log has new entries.

        If each watch polled by itself, the CPU time of an idle daemon would
        grow with the number of watches.
        """
        known: dict[str, int] = {}
        while True:
            newest = dict(self._get_newest())
            if newest != known:
                known = newest
                self._new_entries.set()
                self._new_entries = asyncio.Event()
            await asyncio.sleep(POLL_SECONDS)

    async def _follow(
        self, positions: Positions, wanted: WatchFilter
    ) -> AsyncIterator[Notice | None]:
        loop = asyncio.get_running_loop()
        last_notice_time = loop.time()
        yield Notice(encode_cursor(positions), BOOKMARK)
        while True:
            new_entries = self._new_entries
            for row in await self._read_next_entries(positions):
                for notice in _make_notices(row, positions, wanted):
                    last_notice_time = loop.time()
                    yield notice
            if loop.time() - last_notice_time >= BOOKMARK_SECONDS:
                last_notice_time = loop.time()
                yield Notice(encode_cursor(positions), BOOKMARK)
            if self._is_current(positions):
                yield None
                await wait_with_timeout(new_entries, IDLE_SECONDS)

    def _is_current(self, positions: Positions) -> bool:
        newest = self._get_newest()
        return all(
            position.number >= newest.get(log, 0)
            for log, position in positions.items()
        )

    async def _read_next_entries(self, positions: Positions) -> list[Row]:
        newest = self._get_newest()
        for log, position in positions.items():
            if position.number < newest.get(log, 0):
                try:
                    return await self._reader.read(log, position.number)
                except UnavailableError:
                    # No entry is lost: the position stays, and the entries are
                    # read once the table is available again.
                    await asyncio.sleep(POLL_SECONDS)
        return []


def _make_head_key(log: str) -> Key:
    return REVISION_KEY if log == CONFIGURATION_LOG else make_slice_key(log)


def _read_head(log: str, row: Row) -> int:
    if log == CONFIGURATION_LOG:
        return row.version
    return int(row.body['data'].get('sequence', 0))


def _make_notices(
    row: Row, positions: Positions, wanted: WatchFilter
) -> Iterator[Notice]:
    """Yields the notices of one log entry and advances the position."""
    log = row.key.partition.partition('/')[2]
    number, taken = get_number(row), positions[log].taken
    if log == CONFIGURATION_LOG:
        notices = [_make_configuration_notice(row, wanted)]
    else:
        changes = read_changes(row)
        notices = [
            _make_task_notice(event, task, wanted) for event, task in changes
        ]
    for index, notice in enumerate(notices):
        if index < taken:
            continue
        is_last = index + 1 == len(notices)
        positions[log] = (
            LogPosition(number)
            if is_last
            else LogPosition(number - 1, index + 1)
        )
        if notice is not None:
            yield attrs.evolve(notice, cursor=encode_cursor(positions))
    positions[log] = LogPosition(number)


def _make_configuration_notice(row: Row, wanted: WatchFilter) -> Notice | None:
    kind, team, name = row.body['path'].split('/')
    if not wanted.accepts(Kind(kind), team, name):
        return None
    if row.body['resource'] is None:
        metadata = Metadata(name, team, get_number(row))
        return Notice('', 'deleted', _describe(Kind(kind), metadata))
    resource = structure_resource(row.body['resource'])
    return Notice('', 'applied', _describe(resource.kind, resource.metadata))


def _make_task_notice(
    event: str, task: Task, wanted: WatchFilter
) -> Notice | None:
    kind, team, name = task.resource.split('/')
    if not wanted.accepts(Kind(kind), team, name):
        return None
    return Notice('', event, _describe_task(task), task.id)


def _describe(
    kind: Kind, metadata: Metadata, status: Status | None = None
) -> dict[str, Any]:
    plain: dict[str, Any] = {
        'kind': kind.value,
        'metadata': attrs.asdict(metadata),
    }
    if status is not None:
        plain['status'] = {**attrs.asdict(status), 'phase': status.phase.value}
    return plain


def _describe_task(task: Task) -> dict[str, Any]:
    kind, team, name = task.resource.split('/')
    return _describe(Kind(kind), Metadata(name, team), make_status(task))
