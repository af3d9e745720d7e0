"""Daemons that start under load know the upstreams before they are ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilmount.batch.records import make_slice_key
from lentilmount.commands.configure import ConfigurationCommands
from lentilmount.configuration import Configuration
from lentilmount.coordination.table import Put, Row
from lentilmount.daemon.follower import Follower
from lentilmount.daemon.heartbeats import VersionReport
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.events import EventLog
from lentilmount.resources import Kind, Metadata, Resource, TeamSpec
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.settings import PlatformSettings, Settings
from lentilmount.wire import peer_pb2
from stand_ins.faulty import FaultyTable
from tests.helpers import run

SLICES = tuple(f'a/{number}' for number in range(6))
PEER = 'peer'
POLL_SECONDS = 0.005


class SlowTable(FaultyTable):
    """A table whose scans of tasks wait.

    Attributes:
      gate: Lets them go on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.gate = asyncio.Event()

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        if partition.startswith('task/'):
            await self.gate.wait()
        return await super().scan(partition, after, limit)


class PartialDaemon:
    """A daemon's follower, with one peer in memory.

    Attributes:
      peer: The follower that answers; None while no peer does.
    """

    def __init__(
        self, table: FaultyTable, peer: Follower | None = None
    ) -> None:
        self.configuration = Configuration()
        self.peer = peer
        self.follower = Follower(
            table,
            self.configuration,
            UpstreamDirectory(),
            SLICES,
            EventLog('d'),
            POLL_SECONDS,
            lambda _: False,
            self._fetch,
            lambda: None,
        )

    async def _fetch(
        self, address: str, log: str, after: int
    ) -> peer_pb2.ChangesReply | None:
        if self.peer is None:
            return None
        request = peer_pb2.ChangesRequest(log=log, after=after)
        return self.peer.answer(request)

    def hear(self, peer: Follower) -> None:
        """Receives a heartbeat of a peer."""
        report = peer.get_report()
        self.follower.handle_report(
            VersionReport(
                report.revision,
                report.sequences,
                report.services,
                sender=PEER,
            )
        )


async def write_rows(table: FaultyTable, slices: tuple[str, ...]) -> None:
    """Writes a configuration and the rows of slices."""
    team = Resource(Kind.TEAM, Metadata('one', '', 0), TeamSpec(weight=1.0))
    await ConfigurationCommands(table).apply(team, 'request')
    for name in slices:
        row = {'data': {'sequence': 0}}
        await table.transact(name, [Put(make_slice_key(name), row, 0)])


async def wait_until(check: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(POLL_SECONDS)


async def follow(daemon: PartialDaemon, scenario: Callable[[], object]) -> None:
    """Runs a follower during a scenario."""
    running = asyncio.create_task(daemon.follower.run())
    try:
        result = scenario()
        assert asyncio.iscoroutine(result)
        await result
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


def test_a_daemon_is_not_ready_before_it_has_read_the_slices() -> None:
    """Requests to a new daemon were refused, as no upstream was running."""

    async def check() -> None:
        table = SlowTable()
        await write_rows(table, SLICES)
        daemon = PartialDaemon(table)

        async def scenario() -> None:
            await wait_until(lambda: daemon.configuration.is_ready)
            assert not daemon.follower.knows_upstreams
            table.gate.set()
            await wait_until(lambda: daemon.follower.knows_upstreams)
            logs = daemon.follower.logs
            assert {logs.get_sequence(name) for name in SLICES} == {0}

        await follow(daemon, scenario)

    run(check())


def test_a_peer_that_knows_no_slices_does_not_make_a_daemon_ready() -> None:
    """A daemon was ready as one that had just started reported none."""

    async def check() -> None:
        table = SlowTable()
        await write_rows(table, SLICES)
        daemon = PartialDaemon(table, PartialDaemon(table).follower)

        async def scenario() -> None:
            await wait_until(lambda: daemon.configuration.is_ready)
            daemon.follower.handle_report(VersionReport(2, {}, {}, sender=PEER))
            await asyncio.sleep(10 * POLL_SECONDS)
            assert not daemon.follower.knows_upstreams

        await follow(daemon, scenario)

    run(check())


def test_slices_without_a_row_do_not_keep_a_daemon_from_being_ready() -> None:
    """A daemon of a new site would have waited for slices without owners."""

    async def check() -> None:
        table = FaultyTable()
        await write_rows(table, SLICES[-1:])
        daemon = PartialDaemon(table)

        async def scenario() -> None:
            await wait_until(lambda: daemon.follower.knows_upstreams)
            assert daemon.follower.logs.get_sequence(SLICES[-1]) == 0

        await follow(daemon, scenario)

    run(check())


def test_a_daemon_that_starts_in_an_outage_waits_for_its_peers_slices() -> None:
    """A daemon got the configuration from a peer, and no upstreams yet."""

    async def check() -> None:
        table = FaultyTable()
        await write_rows(table, SLICES[:2])
        other = PartialDaemon(table).follower
        for _ in SLICES:
            await other.poll_table()
        table.down = True
        daemon = PartialDaemon(table, other)

        async def scenario() -> None:
            await asyncio.sleep(10 * POLL_SECONDS)
            assert not daemon.follower.knows_upstreams
            daemon.hear(other)
            await wait_until(lambda: daemon.follower.knows_upstreams)
            logs = daemon.follower.logs
            assert {logs.get_sequence(name) for name in SLICES[:2]} == {0}

        await follow(daemon, scenario)

    run(check())


def test_a_failed_fetch_does_not_make_a_daemon_ready() -> None:
    """A daemon would have been ready though no peer gave it the upstreams."""

    async def check() -> None:
        table = FaultyTable()
        await write_rows(table, SLICES[:2])
        other = PartialDaemon(table).follower
        for _ in SLICES:
            await other.poll_table()
        daemon = PartialDaemon(table)
        await daemon.follower.poll_table()
        daemon.follower.logs = PartialDaemon(table).follower.logs
        assert daemon.configuration.is_ready
        table.down = True

        async def scenario() -> None:
            daemon.hear(other)
            await asyncio.sleep(10 * POLL_SECONDS)
            assert not daemon.follower.knows_upstreams
            daemon.peer = other
            daemon.hear(other)
            await wait_until(lambda: daemon.follower.knows_upstreams)

        await follow(daemon, scenario)

    run(check())


def test_the_fault_of_a_daemon_says_that_upstreams_are_not_known() -> None:
    """A daemon without upstreams said that it was ready."""

    async def check() -> list[str]:
        address = 'http://127.0.0.1:9'
        platform = PlatformSettings(address, address, address)
        daemon = Daemon(Settings('e-a', 'a', ('a',), platform))
        daemon.configuration.load(1, [])
        before = daemon.find_fault()
        daemon._control.follower.knows_upstreams = True
        return [before, daemon.find_fault()]

    assert run(check()) == [
        'the upstreams of some slices are not known yet',
        '',
    ]
