"""Taking the configuration from a host of the zone with a larger link."""

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
    """Tells of one row; notes what is asked.

    Attributes:
      row: The row.
      is_away: Whether no call is answered.
      asked: Positions it was asked from; 0 for a whole reading.
    """

    row: RawRow
    is_away: bool = False
    asked: list[int] = attrs.Factory(list)

    async def read_all(self, table: str, part: str = '') -> Changes:
        return await self.follow(table, 0, 0.0)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        self.asked.append(after)
        await asyncio.sleep(0.01)
        if self.is_away:
            raise UnavailableError('silent')
        rows = (self.row,) if self.row.version > after else ()
        return Changes(rows, max(after, self.row.version))


def _make_row(version: int) -> RawRow:
    return RawRow('config', make_configuration(version), version)


def _announce(address: str, link_mbps: float, zone: str) -> dict[str, object]:
    return {'address': address, 'zone': zone, 'link_mbps': link_mbps}


def _make_sources(caller: HttpClient, *addresses: str) -> ConfigurationSources:
    sources = ConfigurationSources('host-1', 'north', SMALL, caller, monotonic)
    sources.update(
        [_announce(address, 100.0, 'north') for address in addresses]
    )
    return sources


@attrs.define
class _Scene:
    """A host with a small link, and one that passes the configuration on.

    Attributes:
      larger: What the larger host knows.
      own: What the small host knows.
      store: The store, as the small host sees it.
      sources: The daemons that the small host asks.
    """

    larger: RouteTable
    own: RouteTable
    store: _Store
    sources: ConfigurationSources

    async def wait_for(self, version: int) -> None:
        """Waits until a version is in force on the small host."""
        async with asyncio.timeout(5.0):
            while self.own.version < version:
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _open_scene(is_closing: bool = False) -> AsyncIterator[_Scene]:
    async with contextlib.AsyncExitStack() as stack:
        larger = RouteTable(monotonic, APPLY_SECONDS)
        arguments = {'routes': larger, 'is_closing': lambda: is_closing}
        application = Application(
            [(CONFIGURATION_PATH, ConfigurationHandler, arguments)],
            log_function=lambda handler: None,
        )
        caller = HttpClient('')
        stack.callback(caller.close)
        sources = _make_sources(caller, listen(application, stack))
        own = RouteTable(monotonic, APPLY_SECONDS)
        store = _Store(_make_row(1))
        work = asyncio.create_task(follow_configuration(store, own, sources))
        stack.callback(work.cancel)
        yield _Scene(larger, own, store, sources)


def test_a_small_host_takes_a_version_from_a_larger_one() -> None:
    """Every host with a small link read every version whole from the store."""

    async def play() -> list[int]:
        async with _open_scene() as platform:
            platform.larger.apply_row(_make_row(1))
            platform.larger.confirm(monotonic(), 5)
            await platform.wait_for(1)
            platform.store.asked.clear()
            for version in (2, 3):
                platform.larger.apply_row(_make_row(version))
                platform.larger.confirm(monotonic(), 5 + version)
                await platform.wait_for(version)
            assert platform.own.position == 8
            assert not platform.own.is_outdated
            return platform.store.asked

    assert run(play()) == []


def test_what_was_passed_on_is_no_fresher_than_its_sender_knew() -> None:
    """A source that has lost the store kept old routes in force elsewhere."""

    async def play() -> float:
        async with _open_scene() as platform:
            platform.store.is_away = True
            platform.larger.apply_row(_make_row(1))
            platform.larger.confirm(monotonic() - 1.0, 1)
            await platform.wait_for(1)
            for _ in range(5):
                await asyncio.sleep(0.05)
                assert platform.own.as_of <= platform.larger.as_of
            return platform.larger.as_of - platform.own.as_of

    assert run(play()) < 0.5


@pytest.mark.parametrize('is_closing', [False, True])
def test_the_store_is_asked_where_a_relay_cannot_tell(is_closing: bool) -> None:
    """A source knows nothing new, or is being stopped."""

    async def play() -> None:
        async with _open_scene(is_closing) as platform:
            platform.larger.apply_row(_make_row(1))
            platform.larger.confirm(monotonic() - 10.0, 1)
            platform.store.row = _make_row(2)
            await platform.wait_for(2)
            assert not platform.own.is_outdated

    run(play())


def test_a_relay_that_is_gone_is_left_out_for_a_while() -> None:
    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            caller = HttpClient('')
            stack.callback(caller.close)
            sources = _make_sources(caller, '127.0.0.1:1', '127.0.0.1:2')
            assert await sources.read(0, 0.1) is None
            assert sources.choose() == ''

    run(play())


def test_an_answer_that_cannot_be_read_is_left_out() -> None:
    class Nonsense(RequestHandler):
        """Answers with what no daemon sends."""

        def get(self) -> None:
            self.set_header('Lentilmount-Version', '7')
            self.set_header('Lentilmount-Position', '7')
            self.set_header('Lentilmount-As-Of-Ms', '0')
            self.finish(b'not compressed')

    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            caller = HttpClient('')
            stack.callback(caller.close)
            application = Application([(CONFIGURATION_PATH, Nonsense)])
            sources = _make_sources(caller, listen(application, stack))
            assert await sources.read(0, 0.1) is None

    run(play())


def test_only_much_larger_links_of_the_zone_pass_it_on() -> None:
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


def test_hosts_of_a_zone_spread_over_its_relays() -> None:
    announced = [_announce(f'{n}:1', 100.0, 'north') for n in range(3)]
    chosen = set()
    for number in range(30):
        sources = ConfigurationSources(
            f'h-{number}', 'north', SMALL, HttpClient(''), monotonic
        )
        sources.update(announced)
        chosen.add(sources.choose())
    assert len(chosen) == 3
