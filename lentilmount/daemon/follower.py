"""Keeps the configuration and the directory up to date.

The table is looked at on a timer. Peers say in their heartbeats what they
have; what they have and this daemon has not is asked of them first, so that
a change spreads at once, costs the table little, and reaches daemons that
are cut off from the table.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Awaitable, Callable, Iterable

import logbook

from lentilmount.batch.records import make_slice_key
from lentilmount.codec import encode, structure_resource
from lentilmount.configuration import CONFIGURATION_LOG, Change, Configuration
from lentilmount.coordination.table import Row, Table, UnavailableError
from lentilmount.daemon.heartbeats import News
from lentilmount.daemon.slicelog import SliceLogs
from lentilmount.events import EventKind, EventLog
from lentilmount.queries.revisions import read_changes, read_snapshot
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.rows import REVISION_KEY
from lentilmount.waiting import wait_with_timeout
from lentilmount.wire import peer_pb2

log = logbook.Logger('follower')

JITTER = (0.75, 1.25)
"""Daemons that start or heal together must not look at the same moment."""

FOREIGN_SLICES_AT_ONCE = 4
"""Slices looked at beside those this daemon is there for; they rotate."""

FetchChanges = Callable[
    [str, str, int], Awaitable['peer_pb2.ChangesReply | None']
]


class Follower:
    """Follows the table and the peers.

    Args:
      table: The table.
      configuration: What to keep up to date.
      directory: What to keep up to date.
      slices: Every slice.
      events: The time line.
      poll_seconds: Between two looks at the table.
      is_reader: Tells whether this daemon reads a slice's log for others.
      fetch: Asks a peer's address for the changes of a log after a number.
      announce: Called when there is something new to tell peers.

    Attributes:
      store_up: Whether the table answered last time.
    """

    def __init__(
        self,
        table: Table,
        configuration: Configuration,
        directory: UpstreamDirectory,
        slices: Iterable[str],
        events: EventLog,
        poll_seconds: float,
        is_reader: Callable[[str], bool],
        fetch: FetchChanges,
        announce: Callable[[], None],
    ):
        self.store_up = False
        self.logs = SliceLogs(table, directory)
        self._table = table
        self._configuration = configuration
        self._slices = list(slices)
        self._rotation = itertools.cycle(self._slices)
        self._events = events
        self._poll_seconds = poll_seconds
        self._is_reader = is_reader
        self._fetch = fetch
        self._announce = announce
        self._announced: tuple[int, dict[str, int]] = (0, {})
        self._told_revision = News()
        self._origins: dict[str, str] = {}
        self._told_slices: dict[str, tuple[int, str]] = {}
        self._wake = asyncio.Event()
        self._heard = asyncio.Event()

    def wake(self) -> None:
        """Makes the follower look at the table now."""
        self._wake.set()

    def hear(self, news: News) -> None:
        """Takes note of what a peer has."""
        self._configuration.note(news.revision)
        if news.revision > self._told_revision.revision:
            self._told_revision = news
        if news.revision > self._configuration.revision:
            self._heard.set()
        for name, sequence in news.sequences.items():
            if self.logs.note_head(name, sequence):
                self._origins[name] = news.zone
        for name, sequence in news.services.items():
            if sequence >= self._told_slices.get(name, (0, ''))[0]:
                self._told_slices[name] = (sequence, news.sender)
            if sequence > self.logs.get_sequence(name):
                self._heard.set()

    def get_news(self) -> News:
        """Returns what there is to tell peers."""
        return News(
            self._configuration.revision,
            self.logs.heads,
            self.logs.list_services(),
            origins=self._origins,
        )

    async def run(self) -> None:
        """Follows until cancelled."""
        # Apart, as a look at a table that is out takes seconds, and what
        # peers have must not wait for that.
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_table())
            group.create_task(self._follow_peers())

    async def _follow_table(self) -> None:
        while True:
            self._wake.clear()
            await self._try_look()
            self._announce_news()
            await wait_with_timeout(self._wake, self._get_pause())

    async def _follow_peers(self) -> None:
        while True:
            await self._heard.wait()
            self._heard.clear()
            await self.ask_peers()
            self._announce_news()

    def _announce_news(self) -> None:
        news = (self._configuration.revision, self.logs.list_services())
        if news != self._announced:
            self._announced = news
            self._announce()

    def _get_pause(self) -> float:
        return self._poll_seconds * random.uniform(*JITTER)

    async def _try_look(self) -> None:
        try:
            await self.look()
            self._note_store(True)
        except UnavailableError:
            self._note_store(False)

    def _note_store(self, up: bool) -> None:
        if up == self.store_up:
            return
        self.store_up = up
        kind = EventKind.STORE_UP if up else EventKind.STORE_DOWN
        self._events.record('follower', kind)
        log.info('The table service is {}.', 'up' if up else 'down')

    async def look(self) -> None:
        """Reads what is new, in one call where nothing is.

        Raises:
          UnavailableError: The table does not answer.
        """
        names = self._choose_slices()
        keys = [make_slice_key(name) for name in names]
        rows = await self._table.read([REVISION_KEY, *keys])
        if REVISION_KEY in rows:
            await self._follow_configuration(rows[REVISION_KEY])
        for name, key in zip(names, keys, strict=True):
            if key not in rows:
                continue
            head = int(rows[key].body['data'].get('sequence', 0))
            if self.logs.note_head(name, head):
                self._origins.pop(name, None)
            await self.logs.follow(name, rows[key])

    def _choose_slices(self) -> list[str]:
        mine = [name for name in self._slices if self._is_reader(name)]
        rest = [name for name in self._slices if name not in mine]
        unknown = [n for n in rest if self.logs.get_sequence(n) < 0]
        # Peers tell of the rest; looking at one in turn mends what a lost
        # reader leaves behind.
        turn = [n for n in itertools.islice(self._rotation, 1) if n in rest]
        others = unknown[:FOREIGN_SLICES_AT_ONCE] or turn
        return [*mine, *others]

    async def _follow_configuration(self, counter: Row) -> None:
        newest, configuration = counter.version, self._configuration
        configuration.note(newest)
        before = configuration.revision
        if newest <= before:
            return
        changes = None
        if before:
            changes = await read_changes(self._table, before, newest)
        if changes is not None:
            configuration.apply(changes)
        else:
            snapshot = await read_snapshot(self._table)
            if snapshot is not None:
                configuration.load(*snapshot)
        self._note_revision(before)

    def _note_revision(self, before: int) -> None:
        revision = self._configuration.revision
        if revision > before:
            self._events.record(
                'configuration',
                EventKind.REVISION,
                cause=f'revision {revision}',
            )

    async def ask_peers(self) -> None:
        """Gets what peers said that they have and this daemon has not."""
        told = self._told_revision
        before = self._configuration.revision
        if told.revision > before:
            reply = await self._fetch(told.sender, CONFIGURATION_LOG, before)
            if reply is not None:
                self.take_changes(reply)
            self._note_revision(before)
            if self._configuration.is_behind:
                self._told_revision = News()
                self._wake.set()
        for name, (sequence, sender) in list(self._told_slices.items()):
            known = self.logs.get_sequence(name)
            if sequence > known and name in self._slices:
                reply = await self._fetch(sender, name, known)
                if reply is not None:
                    self.logs.take(name, reply)
                del self._told_slices[name]

    def take_changes(self, reply: peer_pb2.ChangesReply) -> None:
        """Puts a peer's answer in force; what is old of it is ignored."""
        if reply.snapshot:
            resources = [
                structure_resource(json.loads(change.body))
                for change in reply.changes
            ]
            self._configuration.load(reply.newest, resources)
            return
        self._configuration.apply(
            Change(
                change.revision,
                change.path,
                structure_resource(json.loads(change.body))
                if change.body
                else None,
            )
            for change in reply.changes
        )

    def answer(self, request: peer_pb2.ChangesRequest) -> peer_pb2.ChangesReply:
        """Answers a peer that is behind."""
        if request.log != CONFIGURATION_LOG:
            return self.logs.answer(request.log, request.after)
        configuration = self._configuration
        changes = configuration.list_after(request.after)
        snapshot = changes is None
        if changes is None:
            changes = [
                Change(configuration.revision, resource.path, resource)
                for resource in configuration.list_all()
            ]
        return peer_pb2.ChangesReply(
            changes=[
                peer_pb2.Change(
                    revision=change.revision,
                    path=change.path,
                    body=encode(change.resource) if change.resource else b'',
                )
                for change in changes
            ],
            newest=configuration.revision,
            snapshot=snapshot,
        )
