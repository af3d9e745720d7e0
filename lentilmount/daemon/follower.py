"""Keeps the configuration and the upstream directory up to date.

The table is polled periodically. Heartbeats report which versions a peer has;
what this daemon lacks is fetched from that peer first. So a change spreads at
once, costs the table few reads, and reaches daemons that cannot reach the
table.
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
from lentilmount.daemon.heartbeats import VersionReport
from lentilmount.daemon.slicelog import SliceLogs
from lentilmount.events import EventKind, EventLog
from lentilmount.queries.revisions import read_changes, read_snapshot
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.rows import REVISION_KEY
from lentilmount.waiting import wait_with_timeout
from lentilmount.wire import peer_pb2

log = logbook.Logger('follower')

JITTER = (0.75, 1.25)
"""Range of random factors on the poll interval.

Daemons that start or reconnect together must not poll at the same moment.
"""

MAX_OTHER_SLICES_PER_POLL = 4
"""Maximum number of never read slices that one poll adds to those that this
daemon reads for others."""

FetchChanges = Callable[
    [str, str, int], Awaitable['peer_pb2.ChangesReply | None']
]


class Follower:
    """Follows configuration and slice logs through the table and peers.

    Args:
      table: The table service.
      configuration: The configuration to keep up to date.
      directory: The directory of upstreams to keep up to date.
      slices: Names of all slices.
      events: Log of this daemon's events.
      poll_seconds: Mean period between two polls of the table.
      is_reader: Returns whether this daemon reads a slice's log for others.
      fetch: Fetches from a peer, given its address, a log's name and a
        sequence number, the changes after that number.
      announce: Called when this daemon has new versions to report to peers.

    Attributes:
      store_up: Whether the last poll of the table succeeded.
      knows_upstreams: Whether this daemon has ever known the upstreams of all
        slices that were known to exist, of the newest configuration.
      logs: The services of each slice, and the positions of their logs.
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
        self.knows_upstreams = False
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
        self._newest_report = VersionReport()
        self._origins: dict[str, str] = {}
        self._peer_sequences: dict[str, tuple[int, str]] = {}
        self._reported_slices: set[str] = set()
        self._missing_slices: set[str] = set()
        self._has_polled = False
        self._wake = asyncio.Event()
        self._peer_ahead = asyncio.Event()

    def wake(self) -> None:
        """Makes the follower poll the table now."""
        self._wake.set()

    def handle_report(self, report: VersionReport) -> None:
        """Records which versions a peer has; newer ones are fetched from it."""
        self._configuration.record_known_revision(report.revision)
        if report.revision > self._newest_report.revision:
            self._newest_report = report
        if report.revision > self._configuration.revision:
            self._peer_ahead.set()
        for name, sequence in report.sequences.items():
            if self.logs.update_head(name, sequence):
                self._origins[name] = report.zone
        self._reported_slices.update(report.services)
        for name, sequence in report.services.items():
            if sequence >= self._peer_sequences.get(name, (0, ''))[0]:
                self._peer_sequences[name] = (sequence, report.sender)
            if sequence > self.logs.get_sequence(name):
                self._peer_ahead.set()

    def get_report(self) -> VersionReport:
        """Returns the versions to report to peers."""
        return VersionReport(
            self._configuration.revision,
            self.logs.heads,
            self.logs.list_services(),
            origins=self._origins,
        )

    async def run(self) -> None:
        """Follows until cancelled."""
        # Two tasks: a poll of an unavailable table takes seconds, and changes
        # from peers must not wait for it.
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_table())
            group.create_task(self._follow_peers())

    async def _follow_table(self) -> None:
        while True:
            self._wake.clear()
            await self._try_poll()
            self._announce_changes()
            await wait_with_timeout(self._wake, self._choose_pause())

    async def _follow_peers(self) -> None:
        while True:
            await self._peer_ahead.wait()
            self._peer_ahead.clear()
            await self.fetch_from_peers()
            self._announce_changes()

    def _check_upstreams(self) -> None:
        if not self.knows_upstreams and self._configuration.is_ready:
            self.knows_upstreams = self._has_polled and not self._list_unread()

    def _list_unread(self) -> list[str]:
        """Lists the slices whose upstreams this daemon does not know yet.

        Without the table only those count that peers have reported.
        """
        expected = self._slices if self.store_up else self._reported_slices
        return [
            name
            for name in expected
            if name in self._slices
            and name not in self._missing_slices
            and self.logs.get_sequence(name) < 0
        ]

    def _announce_changes(self) -> None:
        self._check_upstreams()
        report = (self._configuration.revision, self.logs.list_services())
        if report != self._announced:
            self._announced = report
            self._announce()

    def _choose_pause(self) -> float:
        return self._poll_seconds * random.uniform(*JITTER)

    async def _try_poll(self) -> None:
        try:
            await self.poll_table()
            self._record_store_state(True)
        except UnavailableError:
            self._record_store_state(False)
        self._has_polled = True

    def _record_store_state(self, up: bool) -> None:
        if up == self.store_up:
            return
        self.store_up = up
        kind = EventKind.STORE_UP if up else EventKind.STORE_DOWN
        self._events.record('follower', kind)
        log.info('The table service is {}.', 'up' if up else 'down')

    async def poll_table(self) -> None:
        """Reads changes from the table; takes one call where there are none.

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
                self._missing_slices.add(name)
                continue
            self._missing_slices.discard(name)
            head = int(rows[key].body['data'].get('sequence', 0))
            if self.logs.update_head(name, head):
                self._origins.pop(name, None)
            await self.logs.read_new_changes(name, rows[key])

    def _choose_slices(self) -> list[str]:
        read_here = [name for name in self._slices if self._is_reader(name)]
        rest = [name for name in self._slices if name not in read_here]
        unknown = sorted(
            (n for n in rest if self.logs.get_sequence(n) < 0),
            key=self._missing_slices.__contains__,
        )
        # Peers report changes of the rest. Polling one of them in turn covers
        # slices whose reader has failed.
        next_in_turn = [
            n for n in itertools.islice(self._rotation, 1) if n in rest
        ]
        others = unknown[:MAX_OTHER_SLICES_PER_POLL] or next_in_turn
        return [*read_here, *others]

    async def _follow_configuration(self, counter: Row) -> None:
        newest, configuration = counter.version, self._configuration
        configuration.record_known_revision(newest)
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
        self._record_revision(before)

    def _record_revision(self, before: int) -> None:
        revision = self._configuration.revision
        if revision > before:
            self._events.record(
                'configuration',
                EventKind.REVISION,
                cause=f'revision {revision}',
            )

    async def fetch_from_peers(self) -> None:
        """Fetches the changes that peers reported and this daemon lacks."""
        newest_report = self._newest_report
        before = self._configuration.revision
        if newest_report.revision > before:
            reply = await self._fetch(
                newest_report.sender, CONFIGURATION_LOG, before
            )
            if reply is not None:
                self.apply_reply(reply)
            self._record_revision(before)
            if self._configuration.is_behind:
                self._newest_report = VersionReport()
                self._wake.set()
        for name, (sequence, sender) in list(self._peer_sequences.items()):
            known = self.logs.get_sequence(name)
            if sequence > known and name in self._slices:
                reply = await self._fetch(sender, name, known)
                if reply is not None:
                    self.logs.apply_reply(name, reply)
                del self._peer_sequences[name]

    def apply_reply(self, reply: peer_pb2.ChangesReply) -> None:
        """Applies a peer's configuration changes; older ones are ignored."""
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
        """Returns the changes of a log after the sequence number requested."""
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
