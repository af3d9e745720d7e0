"""Following changes: a stream that goes on from a cursor.

A cursor holds a position in each change log of the table, so any daemon can
carry on from any other's cursor.
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
    Feed,
    Place,
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

LOOK_SECONDS = 0.1
"""Between two looks at what is known, one for all watchers."""

IDLE_SECONDS = 1.0
"""How long a watcher rests at most, before it looks whether to go on."""

BOOKMARK_SECONDS = 15.0


@attrs.frozen
class WatchFilter:
    """Which changes are wanted.

    Attributes:
      teams: Teams whose resources are visible; None for everything.
      kind: Only this kind, if given.
      team: Only this team, if given.
      name: Only names that begin so.
    """

    teams: frozenset[str] | None = None
    kind: Kind | None = None
    team: str = ''
    name: str = ''

    def accepts(self, kind: Kind, team: str, name: str) -> bool:
        """Tells whether a change of a resource is wanted."""
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
      cursor: Where a watch goes on after this line.
      event: An event's kind; applied or deleted for the configuration;
        bookmark for a line that only moves the cursor.
      resource: The resource after the change; None for a bookmark.
      task: Id of the task that changed, or ''.
    """

    cursor: str
    event: str
    resource: dict[str, Any] | None = None
    task: str = ''


BOOKMARK = 'bookmark'


class Watcher:
    """Follows the change logs for any number of callers.

    Args:
      table: Where the logs are.
      slices: The names of all slices.
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
        self._feed = Feed(table)
        self._news = asyncio.Event()
        self._looker: asyncio.Task[None] | None = None
        self._followers = 0

    def make_cursor(self) -> str:
        """Returns a cursor that holds all that is known now."""
        newest = self._get_newest()
        return encode_cursor(
            {log: Place(newest.get(log, 0)) for log in self._logs}
        )

    async def read_cursor(self, cursor: str) -> Positions:
        """Checks where a watch is to go on.

        Raises:
          InvalidError: It is none of ours, or tells of changes that nobody
            has made yet.
          LentilmountError: Of kind GONE; see `Feed.read`.
          StoreError: The table does not answer.
        """
        positions = decode_cursor(cursor or self.make_cursor())
        if not positions.keys() <= set(self._logs):
            raise make_cursor_error('is of another deployment')
        try:
            newest = await self._read_newest(positions)
            for log, place in positions.items():
                if place.number + bool(place.taken) > newest[log]:
                    raise make_cursor_error(
                        f'is from the future: {log} is at {newest[log]}, '
                        f'not {place.number}'
                    )
                if place.number < newest[log]:
                    await self._feed.read(log, place.number)
        except UnavailableError as error:
            raise StoreError('the table service does not answer') from error
        return {log: positions.get(log, Place()) for log in self._logs}

    async def _read_newest(self, positions: Positions) -> dict[str, int]:
        """Returns how long the logs are; asks the table where it must.

        Another daemon may have given a cursor that is ahead of what this
        one has seen.
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
        """Yields notices for ever, and None at times when there is none.

        Raises:
          LentilmountError: Of kind GONE; see `Feed.read`.
        """
        self._followers += 1
        if self._looker is None:
            self._looker = asyncio.create_task(self._look())
        try:
            async for notice in self._follow(positions, wanted):
                yield notice
        finally:
            self._followers -= 1
            if not self._followers and self._looker is not None:
                self._looker.cancel()
                self._looker = None

    async def _look(self) -> None:
        """Wakes all watchers when there is something new.

        If each looked for itself, the daemon's processor time would rise with
        the number of watchers although nothing happens.
        """
        known: dict[str, int] = {}
        while True:
            newest = dict(self._get_newest())
            if newest != known:
                known = newest
                self._news.set()
                self._news = asyncio.Event()
            await asyncio.sleep(LOOK_SECONDS)

    async def _follow(
        self, positions: Positions, wanted: WatchFilter
    ) -> AsyncIterator[Notice | None]:
        loop = asyncio.get_running_loop()
        told = loop.time()
        yield Notice(encode_cursor(positions), BOOKMARK)
        while True:
            news = self._news
            for row in await self._read_more(positions):
                for notice in _tell_entry(row, positions, wanted):
                    told = loop.time()
                    yield notice
            if loop.time() - told >= BOOKMARK_SECONDS:
                told = loop.time()
                yield Notice(encode_cursor(positions), BOOKMARK)
            if self._is_current(positions):
                yield None
                await wait_with_timeout(news, IDLE_SECONDS)

    def _is_current(self, positions: Positions) -> bool:
        newest = self._get_newest()
        return all(
            place.number >= newest.get(log, 0)
            for log, place in positions.items()
        )

    async def _read_more(self, positions: Positions) -> list[Row]:
        newest = self._get_newest()
        for log, place in positions.items():
            if place.number < newest.get(log, 0):
                try:
                    return await self._feed.read(log, place.number)
                except UnavailableError:
                    # Nothing is lost: the position stays, and the entries
                    # are read once the table is back.
                    await asyncio.sleep(LOOK_SECONDS)
        return []


def _make_head_key(log: str) -> Key:
    return REVISION_KEY if log == CONFIGURATION_LOG else make_slice_key(log)


def _read_head(log: str, row: Row) -> int:
    if log == CONFIGURATION_LOG:
        return row.version
    return int(row.body['data'].get('sequence', 0))


def _tell_entry(
    row: Row, positions: Positions, wanted: WatchFilter
) -> Iterator[Notice]:
    """Yields the notices of one entry, and moves the position on."""
    log = row.key.partition.partition('/')[2]
    number, taken = get_number(row), positions[log].taken
    if log == CONFIGURATION_LOG:
        parts = [_tell_configuration(row, wanted)]
    else:
        changes = read_changes(row)
        parts = [_tell_task(event, task, wanted) for event, task in changes]
    for index, notice in enumerate(parts):
        if index < taken:
            continue
        is_last = index + 1 == len(parts)
        positions[log] = (
            Place(number) if is_last else Place(number - 1, index + 1)
        )
        if notice is not None:
            yield attrs.evolve(notice, cursor=encode_cursor(positions))
    positions[log] = Place(number)


def _tell_configuration(row: Row, wanted: WatchFilter) -> Notice | None:
    kind, team, name = row.body['path'].split('/')
    if not wanted.accepts(Kind(kind), team, name):
        return None
    if row.body['resource'] is None:
        gone = Metadata(name, team, get_number(row))
        return Notice('', 'deleted', _describe(Kind(kind), gone))
    resource = structure_resource(row.body['resource'])
    return Notice('', 'applied', _describe(resource.kind, resource.metadata))


def _tell_task(event: str, task: Task, wanted: WatchFilter) -> Notice | None:
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
