"""Reading the configuration from a host of the zone with a larger link."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs
import pytest
from tornado.web import Application, RequestHandler

from lentilmount.clock import SystemClock
from lentilmount.control.configuration_follower import follow_configuration
from lentilmount.control.configuration_relay import (
    CONFIGURATION_PATH,
    ConfigurationHandler,
    ConfigurationSources,
)
from lentilmount.control.routes import RouteTable
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import Changes, PlatformTable, RawRow
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import listen, make_configuration

APPLY_SECONDS = 2.0
SMALL = Capacity(0.5, 5.0)
monotonic = SystemClock().monotonic


@attrs.define(eq=False)
class _Store(PlatformTable):
    """A table client with one row; records the reads.

    Attributes:
      row: The row.
      is_unavailable: Whether all calls fail.
      positions: Positions of the reads; 0 for a read of all rows.
    """

    row: RawRow
    is_unavailable: bool = False
    positions: list[int] = attrs.Factory(list)

    async def read_all(self, table: str, part: str = '') -> Changes:
        return await self.follow(table, 0, 0.0)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        self.positions.append(after)
        await asyncio.sleep(0.01)
        if self.is_unavailable:
            raise UnavailableError('silent')
        rows = (self.row,) if self.row.version > after else ()
        return Changes(rows, max(after, self.row.version))


def _make_row(version: int) -> RawRow:
    return RawRow('config', make_configuration(version), version)


def _announce(address: str, link_mbps: float, zone: str) -> dict[str, object]:
    return {'address': address, 'zone': zone, 'link_mbps': link_mbps}


def _make_sources(
    http_client: HttpClient, *addresses: str
) -> ConfigurationSources:
    sources = ConfigurationSources(
        'host-1', 'north', SMALL, http_client, monotonic
    )
    sources.update(
        [_announce(address, 100.0, 'north') for address in addresses]
    )
    return sources


@attrs.define
class _Hosts:
    """A host with a small link, and the host that is its source.

    Attributes:
      large: Configuration of the host with the larger link.
      small: Configuration of the host with the small link.
      store: Table client of the host with the small link.
      sources: Sources of the host with the small link.
    """

    large: RouteTable
    small: RouteTable
    store: _Store
    sources: ConfigurationSources

    async def wait_for(self, version: int) -> None:
        """Waits until a version is in force on the small host."""
        async with asyncio.timeout(5.0):
            while self.small.version < version:
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _open_hosts(is_closing: bool = False) -> AsyncIterator[_Hosts]:
    async with contextlib.AsyncExitStack() as stack:
        large = RouteTable(monotonic, APPLY_SECONDS)
        arguments = {'routes': large, 'is_closing': lambda: is_closing}
        application = Application(
            [(CONFIGURATION_PATH, ConfigurationHandler, arguments)],
            log_function=lambda handler: None,
        )
        http_client = HttpClient('')
        stack.callback(http_client.close)
        sources = _make_sources(http_client, listen(application, stack))
        small = RouteTable(monotonic, APPLY_SECONDS)
        store = _Store(_make_row(1))
        work = asyncio.create_task(follow_configuration(store, small, sources))
        stack.callback(work.cancel)
        yield _Hosts(large, small, store, sources)


def test_a_small_host_reads_a_version_from_a_larger_one() -> None:
    """Hosts with small links read each version from the store, uncompressed."""

    async def scenario() -> list[int]:
        async with _open_hosts() as hosts:
            hosts.large.apply_row(_make_row(1))
            hosts.large.confirm(monotonic(), 5)
            await hosts.wait_for(1)
            hosts.store.positions.clear()
            for version in (2, 3):
                hosts.large.apply_row(_make_row(version))
                hosts.large.confirm(monotonic(), 5 + version)
                await hosts.wait_for(version)
            assert hosts.small.position == 8
            assert not hosts.small.is_outdated
            return hosts.store.positions

    assert run(scenario()) == []


def test_a_relayed_configuration_is_no_fresher_than_its_source() -> None:
    """A source that had lost the store kept old routes in force elsewhere."""

    async def scenario() -> float:
        async with _open_hosts() as hosts:
            hosts.store.is_unavailable = True
            hosts.large.apply_row(_make_row(1))
            hosts.large.confirm(monotonic() - 1.0, 1)
            await hosts.wait_for(1)
            for _ in range(5):
                await asyncio.sleep(0.05)
                assert hosts.small.as_of <= hosts.large.as_of
            return hosts.large.as_of - hosts.small.as_of

    assert run(scenario()) < 0.5


@pytest.mark.parametrize('is_closing', [False, True])
def test_the_store_is_read_if_the_source_is_outdated(is_closing: bool) -> None:
    """The source has no recent configuration, or is shutting down."""

    async def scenario() -> None:
        async with _open_hosts(is_closing) as hosts:
            hosts.large.apply_row(_make_row(1))
            hosts.large.confirm(monotonic() - 10.0, 1)
            hosts.store.row = _make_row(2)
            await hosts.wait_for(2)
            assert not hosts.small.is_outdated

    run(scenario())


def test_a_failed_source_is_skipped_for_a_while() -> None:
    async def scenario() -> None:
        async with contextlib.AsyncExitStack() as stack:
            http_client = HttpClient('')
            stack.callback(http_client.close)
            sources = _make_sources(http_client, '127.0.0.1:1', '127.0.0.1:2')
            assert await sources.read(0, 0.1) is None
            assert sources.choose() == ''

    run(scenario())


def test_a_malformed_answer_is_ignored() -> None:
    class Nonsense(RequestHandler):
        """Sends a body that is not compressed."""

        def get(self) -> None:
            self.set_header('Lentilmount-Version', '7')
            self.set_header('Lentilmount-Position', '7')
            self.set_header('Lentilmount-As-Of-Ms', '0')
            self.finish(b'not compressed')

    async def scenario() -> None:
        async with contextlib.AsyncExitStack() as stack:
            http_client = HttpClient('')
            stack.callback(http_client.close)
            application = Application([(CONFIGURATION_PATH, Nonsense)])
            sources = _make_sources(http_client, listen(application, stack))
            assert await sources.read(0, 0.1) is None

    run(scenario())


def test_only_hosts_of_the_zone_with_much_larger_links_are_sources() -> None:
    sources = ConfigurationSources(
        'host-1', 'north', SMALL, HttpClient(''), monotonic
    )
    sources.update(
        [
            _announce('a:1', 100.0, 'south'),
            _announce('b:1', 5.0, 'north'),
            _announce('c:1', 19.0, 'north'),
            {'address': 'old:1'},
        ]
    )
    assert sources.choose() == ''
    sources.update([_announce('d:1', 20.0, 'north')])
    assert sources.choose() == 'd:1'


def test_hosts_of_a_zone_are_spread_over_its_sources() -> None:
    announced = [_announce(f'{n}:1', 100.0, 'north') for n in range(3)]
    chosen = set()
    for number in range(30):
        sources = ConfigurationSources(
            f'h-{number}', 'north', SMALL, HttpClient(''), monotonic
        )
        sources.update(announced)
        chosen.add(sources.choose())
    assert len(chosen) == 3
