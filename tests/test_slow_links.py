"""Long answers over links that are slow, and servers that fall silent."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import math
from collections.abc import AsyncIterator

import attrs
import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import table_feed
from lentilmount.control.configuration_follower import follow_configuration
from lentilmount.control.frontend import Traffic, make_frontend
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.control.submissions import Submissions
from lentilmount.control.table_feed import TableFeed
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import Changes, PlatformTable, RawRow
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import (
    PREFIX,
    listen,
    make_configuration,
    open_store,
)

CALL_SECONDS = 0.2
"""Longest silence of a call here."""

PIECES = 10
PIECE_SECONDS = 0.05
"""A long answer: it takes longer than the longest silence, piece by piece."""


@attrs.define
class _Link:
    """A server whose answers arrive piece by piece.

    Attributes:
      stops_after: Pieces after which nothing more comes.
      calls: How many calls came.
    """

    stops_after: int
    calls: int = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b'\r\n\r\n')
            self.calls += 1
            body = _make_answer()
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode())
            size = len(body) // PIECES + 1
            for number in range(min(PIECES, self.stops_after)):
                writer.write(body[number * size : (number + 1) * size])
                await writer.drain()
                await asyncio.sleep(PIECE_SECONDS)
            await reader.read()
        writer.close()


def _make_answer() -> bytes:
    value = base64.b64encode(b'x' * 200_000).decode()
    row = {'key': 'config', 'value': value, 'ver': 7, 'part': ''}
    return orjson.dumps({'rows': [row], 'ver': 7, 'hasMore': False})


@contextlib.asynccontextmanager
async def _open_link(link: _Link) -> AsyncIterator[PlatformTable]:
    async with contextlib.AsyncExitStack() as stack:
        server = await asyncio.start_server(link.answer, '127.0.0.1', 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        caller = HttpClient(f'http://127.0.0.1:{port}')
        stack.callback(caller.close)
        yield PlatformTable(caller, CALL_SECONDS)


async def _read_once(link: _Link, position: int | None) -> TableFeed:
    async with _open_link(link) as table:
        feed = TableFeed(table, 'op', 0.0, position=position)
        await feed.read()
        return feed


@pytest.mark.parametrize('position', [None, 5])
def test_an_answer_that_keeps_arriving_is_not_cut(
    position: int | None,
) -> None:
    """A configuration that takes longer than a call never arrived."""
    link = _Link(stops_after=PIECES)
    feed = run(_read_once(link, position))
    assert (feed.position, feed.failures, link.calls) == (7, 0, 1)


@pytest.mark.parametrize('pieces', [0, 3])
def test_an_answer_that_stops_arriving_is_cut(pieces: int) -> None:
    """A call to a store that fell silent kept back every change."""
    feed = run(_read_once(_Link(stops_after=pieces), 5))
    assert (feed.position, feed.failures) == (5, 1)


def test_a_failed_call_does_not_read_the_configuration_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After an outage all hosts read the longest row whole."""
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)
    asked: list[str] = []

    class Failing(PlatformTable):
        """Answers the first reading and nothing more."""

        async def follow(self, table: str, after: int, wait: float) -> Changes:
            asked.append(f'after {after}')
            raise UnavailableError('lost')

        async def read_all(self, table: str, part: str = '') -> Changes:
            asked.append('all')
            return Changes((RawRow('config', make_configuration(1), 5),), 5)

    async def play() -> None:
        table = Failing(HttpClient(''), CALL_SECONDS)
        routes = RouteTable(ManualClock().monotonic, 2.0)
        work = asyncio.create_task(follow_configuration(table, routes))
        while len(asked) < 3:
            await asyncio.sleep(0)
        work.cancel()

    run(play())
    assert asked[:3] == ['all', 'after 5', 'after 5']


@pytest.mark.parametrize('is_outage', [True, False])
def test_an_outage_for_all_makes_no_configuration_outdated(
    monkeypatch: pytest.MonkeyPatch, is_outage: bool
) -> None:
    """After an outage for all every daemon refused until it heard the feed."""
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)
    clock = ManualClock()
    known_away = clock.monotonic if is_outage else lambda: -math.inf
    routes = RouteTable(clock.monotonic, 2.0, known_away)
    calls: list[str] = []

    class Away(PlatformTable):
        """Answers the first reading, and nothing for seconds."""

        async def follow(self, table: str, after: int, wait: float) -> Changes:
            calls.append(table)
            clock.advance(1.5)
            raise UnavailableError('lost')

        async def read_all(self, table: str, part: str = '') -> Changes:
            if calls:
                return await self.follow(table, 0, 0.0)
            return Changes((RawRow('config', make_configuration(1), 5),), 5)

    async def play() -> bool:
        table = Away(HttpClient(''), CALL_SECONDS)
        work = asyncio.create_task(follow_configuration(table, routes))
        while len(calls) < 3:
            await asyncio.sleep(0)
        work.cancel()
        return routes.is_outdated

    assert run(play()) is not is_outage


def test_an_outdated_configuration_answers_nobody() -> None:
    """A host that hears of no change served by an outdated configuration."""

    async def play() -> list[int]:
        async with contextlib.AsyncExitStack() as stack:
            clock = ManualClock()
            _, store = open_store(stack)
            table = PlatformTable(store, CALL_SECONDS)
            outage = OutageDetector(
                StoreHealth(clock.monotonic, ''), store, PeerList('a')
            )
            routes = RouteTable(clock.monotonic, 2.0)
            routes.apply_row(RawRow('config', make_configuration(1), 1))
            routes.confirm(clock.monotonic())
            app = make_frontend(
                Submissions(table, routes, clock, lambda part: outage),
                routes,
                Traffic(),
                ControlMetrics(),
            )
            caller = HttpClient(f'http://{listen(app, stack)}')
            stack.callback(caller.close)
            statuses = []
            for passed in (1.9, 0.2, 0.0):
                clock.advance(passed)
                if not passed:
                    routes.confirm(clock.monotonic())
                for path in (PREFIX, '/unknown/'):
                    answer = await caller.call(
                        'GET', path, headers={'Host': 'desk.example'}
                    )
                    statuses.append(answer.status)
            return statuses

    assert run(play()) == [200, 404, 503, 503, 200, 404]


def test_a_probe_is_short_however_long_the_configuration_is() -> None:
    """After an outage each probe of a small link was cut, and began anew."""

    async def play() -> int:
        async with contextlib.AsyncExitStack() as stack:
            rows, store = open_store(stack)
            rows.write(('op', '', 'config'), b'x' * 400_000)
            table = PlatformTable(store, CALL_SECONDS)
            answer = await table.send_directly(table.make_probe('op/'))
            assert answer.status == 200
            return len(answer.body)

    assert run(play()) < 200
