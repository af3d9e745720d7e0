"""Long answers over slow network links, and servers that stop answering."""

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
from tests.socket_fixtures import serve_connections

CALL_SECONDS = 0.2
"""Timeout of a call: longest time without any data."""

PIECES = 10
PIECE_SECONDS = 0.05
"""Time between pieces of a long answer; all of it exceeds the timeout."""


@attrs.define
class _SlowServer:
    """A server that sends its answers piece by piece.

    Attributes:
      stops_after: Number of pieces after which it sends nothing more.
      calls: Number of calls received.
    """

    stops_after: int
    calls: int = 0

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
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


def _make_answer() -> bytes:
    value = base64.b64encode(b'x' * 200_000).decode()
    row = {'key': 'config', 'value': value, 'ver': 7, 'part': ''}
    return orjson.dumps({'rows': [row], 'ver': 7, 'hasMore': False})


@contextlib.asynccontextmanager
async def _open_table(slow_server: _SlowServer) -> AsyncIterator[PlatformTable]:
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(
            serve_connections(slow_server.answer)
        )
        http_client = HttpClient(f'http://{address}')
        stack.callback(http_client.close)
        yield PlatformTable(http_client, CALL_SECONDS)


async def _read_once(
    slow_server: _SlowServer, position: int | None
) -> TableFeed:
    async with _open_table(slow_server) as table:
        feed = TableFeed(table, 'op', 0.0, position=position)
        await feed.read()
        return feed


@pytest.mark.parametrize('position', [None, 5])
def test_an_answer_that_keeps_arriving_is_not_cut(
    position: int | None,
) -> None:
    """A configuration that takes longer than the timeout never arrived."""
    slow_server = _SlowServer(stops_after=PIECES)
    feed = run(_read_once(slow_server, position))
    assert (feed.position, feed.failures, slow_server.calls) == (7, 0, 1)


@pytest.mark.parametrize('pieces', [0, 3])
def test_an_answer_that_stops_arriving_is_cut(pieces: int) -> None:
    """A call to a store that stopped answering delayed every change."""
    feed = run(_read_once(_SlowServer(stops_after=pieces), 5))
    assert (feed.position, feed.failures) == (5, 1)


def test_a_failed_call_does_not_reload_the_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After an outage all hosts read the whole configuration again."""
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)
    reads: list[str] = []

    class Failing(PlatformTable):
        """Answers the first read and nothing more."""

        async def follow(self, table: str, after: int, wait: float) -> Changes:
            reads.append(f'after {after}')
            raise UnavailableError('lost')

        async def read_all(self, table: str, part: str = '') -> Changes:
            reads.append('all')
            return Changes((RawRow('config', make_configuration(1), 5),), 5)

    async def scenario() -> None:
        table = Failing(HttpClient(''), CALL_SECONDS)
        routes = RouteTable(ManualClock().monotonic, 2.0)
        work = asyncio.create_task(follow_configuration(table, routes))
        while len(reads) < 3:
            await asyncio.sleep(0)
        work.cancel()

    run(scenario())
    assert reads[:3] == ['all', 'after 5', 'after 5']


@pytest.mark.parametrize('is_outage', [True, False])
def test_a_general_outage_makes_no_configuration_outdated(
    monkeypatch: pytest.MonkeyPatch, is_outage: bool
) -> None:
    """After a general outage all daemons refused until their feeds answered."""
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)
    clock = ManualClock()
    outage_until = clock.monotonic if is_outage else lambda: -math.inf
    routes = RouteTable(clock.monotonic, 2.0, outage_until)
    calls: list[str] = []

    class Unavailable(PlatformTable):
        """Answers the first read; later calls fail after 1.5 s."""

        async def follow(self, table: str, after: int, wait: float) -> Changes:
            calls.append(table)
            clock.advance(1.5)
            raise UnavailableError('lost')

        async def read_all(self, table: str, part: str = '') -> Changes:
            if calls:
                return await self.follow(table, 0, 0.0)
            return Changes((RawRow('config', make_configuration(1), 5),), 5)

    async def scenario() -> bool:
        table = Unavailable(HttpClient(''), CALL_SECONDS)
        work = asyncio.create_task(follow_configuration(table, routes))
        while len(calls) < 3:
            await asyncio.sleep(0)
        work.cancel()
        return routes.is_outdated

    assert run(scenario()) is not is_outage


def test_requests_are_refused_under_an_outdated_configuration() -> None:
    """A host cut off from changes went on serving by old routes."""

    async def scenario() -> list[int]:
        async with contextlib.AsyncExitStack() as stack:
            clock = ManualClock()
            _, store = open_store(stack)
            table = PlatformTable(store, CALL_SECONDS)
            detector = OutageDetector(
                StoreHealth(clock.monotonic, ''), store, PeerList('a')
            )
            routes = RouteTable(clock.monotonic, 2.0)
            routes.apply_row(RawRow('config', make_configuration(1), 1))
            routes.confirm(clock.monotonic())
            app = make_frontend(
                Submissions(table, routes, clock, lambda part: detector),
                routes,
                Traffic(),
                ControlMetrics(),
            )
            http_client = HttpClient(f'http://{listen(app, stack)}')
            stack.callback(http_client.close)
            statuses = []
            for passed in (1.9, 0.2, 0.0):
                clock.advance(passed)
                if not passed:
                    routes.confirm(clock.monotonic())
                for path in (PREFIX, '/unknown/'):
                    answer = await http_client.call(
                        'GET', path, headers={'Host': 'desk.example'}
                    )
                    statuses.append(answer.status)
            return statuses

    assert run(scenario()) == [200, 404, 503, 503, 200, 404]


def test_a_probe_is_short_however_long_the_configuration_is() -> None:
    """After an outage probes over a small link timed out again and again."""

    async def scenario() -> int:
        async with contextlib.AsyncExitStack() as stack:
            rows, store = open_store(stack)
            rows.write(('op', '', 'config'), b'x' * 400_000)
            table = PlatformTable(store, CALL_SECONDS)
            answer = await table.send_directly(table.make_probe('op/'))
            assert answer.status == 200
            return len(answer.body)

    assert run(scenario()) < 200
