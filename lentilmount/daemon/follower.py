"""Follows the table: the configuration's revision and the slices' logs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable

import logbook

from lentilmount.batch.records import (
    Task,
    make_change_key,
    make_slice_key,
    read_changes,
)
from lentilmount.codec import structure, structure_resource
from lentilmount.configuration import (
    CONFIGURATION_LOG,
    Change,
    Configuration,
)
from lentilmount.coordination.table import (
    Row,
    Table,
    UnavailableError,
    scan_all,
)
from lentilmount.events import EventKind, EventLog
from lentilmount.routing.directory import Directory
from lentilmount.rows import RESOURCES, REVISION_KEY

log = logbook.Logger('follower')


PAGE = 200


def read_change(row: Row) -> Change:
    """Reads a row of the configuration's log."""
    resource = row.body['resource']
    return Change(
        int(row.key.sort),
        row.body['path'],
        structure_resource(resource) if resource else None,
    )


class Follower:
    """Keeps the configuration and the directory up to the table.

    Attributes:
      sequences: The newest change taken in of each slice.
      store_up: Whether the table answered last time.
    """

    def __init__(
        self,
        table: Table,
        configuration: Configuration,
        directory: Directory,
        slices: Iterable[str],
        events: EventLog,
        poll_seconds: float,
    ):
        self.sequences: dict[str, int] = {}
        self.store_up = True
        self._table = table
        self._configuration = configuration
        self._directory = directory
        self._slices = list(slices)
        self._events = events
        self._poll_seconds = poll_seconds
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Makes the follower look now."""
        self._wake.set()

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            try:
                await self.look()
                self._note_store(True)
            except UnavailableError:
                self._note_store(False)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self._poll_seconds)
            self._wake.clear()

    def _note_store(self, up: bool) -> None:
        if up == self.store_up:
            return
        self.store_up = up
        kind = EventKind.STORE_UP if up else EventKind.STORE_DOWN
        self._events.record('follower', kind)
        log.warning('The table service is {}.', 'back' if up else 'down')

    async def look(self) -> None:
        """Reads what is new, in one call where nothing is."""
        keys = [make_slice_key(name) for name in self._slices]
        rows = await self._table.read([REVISION_KEY, *keys])
        if REVISION_KEY in rows:
            await self._follow_configuration(rows[REVISION_KEY].version)
        for name, key in zip(self._slices, keys, strict=True):
            if key in rows:
                data = rows[key].body['data']
                # Entries that were not read yet may have been pruned.
                if self.sequences.get(name, 0) + 1 < data.get('oldest', 1):
                    self.sequences.pop(name, None)
                await self._follow_slice(name, int(data.get('sequence', 0)))

    async def _follow_configuration(self, newest: int) -> None:
        configuration = self._configuration
        configuration.note(newest)
        if newest <= configuration.revision:
            return
        if not configuration.is_ready:
            rows = await scan_all(self._table, RESOURCES)
            configuration.load(
                newest, [structure_resource(row.body) for row in rows]
            )
        while configuration.revision < newest:
            before = configuration.revision
            after = make_change_key(CONFIGURATION_LOG, before)
            rows = await self._table.scan(after.partition, after.sort, PAGE)
            configuration.apply(read_change(row) for row in rows)
            if configuration.revision == before:
                break
        self._events.record(
            'configuration',
            EventKind.REVISION,
            cause=f'revision {configuration.revision}',
        )

    async def _follow_slice(self, name: str, newest: int) -> None:
        if name not in self.sequences:
            rows = await scan_all(self._table, f'task/{name}')
            tasks = [structure(row.body, Task) for row in rows]
            self._directory.load(name, tasks)
            self.sequences[name] = newest
        while self.sequences[name] < newest:
            after = make_change_key(name, self.sequences[name])
            rows = await self._table.scan(after.partition, after.sort, PAGE)
            if not rows:
                break
            for row in rows:
                for _, task in read_changes(row):
                    self._directory.update(name, task)
            self.sequences[name] = int(rows[-1].key.sort)
