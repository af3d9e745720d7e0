"""Following a table of the store over a network link that is slow or fails."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from typing import Any, cast

import attrs
import pytest

from lentilmount.control import table_feed
from lentilmount.control.table_feed import TableFeed
from lentilmount.coordination.table import UnavailableError, scan_all
from lentilmount.platform.store import Changes, PlatformTable, RawRow
from lentilmount.upstream.http import HttpClient, HttpResponse
from stand_ins.rowstore import RowStore, StoreListener
from tests.helpers import run
from tests.platform_fixtures import open_table, serve_store

SLOWEST_LINK_BYTES = 625_000
"""Bytes per second on a link of 5 Mbit/s, the slowest of any host."""

CALL_SECONDS = 0.6
"""Timeout of a daemon's calls to the store."""


@attrs.define
class _FakeTable:
    """A table client with predefined answers; records the reads.

    Attributes:
      lists_rows: Whether reads of all rows are answered.
      answers: Answers of the store's feed; None for no answer.
      positions: Positions of the reads; None for a read of all rows.
    """

    lists_rows: bool
    answers: list[Changes | None]
    positions: list[int | None] = attrs.Factory(list)

    async def read_all(self, table: str, part: str = '') -> Changes:
        self.positions.append(None)
        if not self.lists_rows:
            raise UnavailableError('took too long')
        return Changes((RawRow('listed', b'', 9),), 9)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        self.positions.append(after)
        answer = self.answers.pop(0)
        if answer is None:
            raise UnavailableError('took too long')
        return answer


class _SizeRecordingClient(HttpClient):
    """An HTTP client that records the sizes of answers."""

    def __init__(self, base: str):
        super().__init__(base)
        self.sizes: list[int] = []

    async def call(self, *args: Any, **options: Any) -> HttpResponse:
        answer = await super().call(*args, **options)
        self.sizes.append(len(answer.body))
        return answer


async def _read(feed: TableFeed, times: int) -> list[str]:
    return [row.key for _ in range(times) for row in await feed.read()]


@pytest.fixture(autouse=True)
def _retry_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)


def test_a_feed_resumes_at_its_position_after_a_failure() -> None:
    """Reading a large table whole after each failure saturated a small link."""
    new = Changes((RawRow('new', b'', 6),), 6)
    table_stub = _FakeTable(False, [None, new])
    feed = TableFeed(cast(PlatformTable, table_stub), 'jobs', 1.0, position=5)
    assert run(_read(feed, 2)) == ['new']
    assert table_stub.positions == [5, 5]
    assert feed.position == 6


def test_a_table_is_listed_if_its_feed_keeps_failing() -> None:
    """The store's feed does not answer while its lists do."""
    table_stub = _FakeTable(True, [None, None])
    feed = TableFeed(cast(PlatformTable, table_stub), 'jobs', 1.0, position=5)
    assert run(_read(feed, 3)) == ['listed']
    assert table_stub.positions == [5, 5, None]
    assert feed.position == 9


def test_feed_and_list_are_tried_in_turns() -> None:
    """Both fail for a while, and the feed resumes from the same version."""
    new = Changes((RawRow('new', b'', 6),), 6)
    table_stub = _FakeTable(False, [None, None, new])
    feed = TableFeed(cast(PlatformTable, table_stub), 'jobs', 1.0, position=5)
    assert run(_read(feed, 4)) == ['new']
    assert table_stub.positions == [5, 5, None, 5]


def test_a_table_is_listed_in_pages_that_fit_a_small_link() -> None:
    """All rows in one answer never arrived in time on the smallest link."""

    async def scenario() -> tuple[Mapping[str, bytes], int, int]:
        async with contextlib.AsyncExitStack() as stack:
            store = RowStore()
            for number in range(600):
                row = ('jobs', 'desk', f'{number:04}')
                store.write(row, b'[0,{"n":"' + b'x' * 600 + b'"}]')
            address = serve_store(store, stack, StoreListener())
            http_client = _SizeRecordingClient(f'http://{address}')
            stack.callback(http_client.close)
            table = PlatformTable(http_client, CALL_SECONDS)
            found = await table.read_all('jobs', 'desk')
            scanned = await scan_all(table, 'jobs/desk')
            rows = {row.key: row.value for row in found.rows}
            return rows, len(scanned), max(http_client.sizes)

    rows, scanned, longest = run(scenario())
    assert (len(rows), scanned) == (600, 600)
    # Half of the time is left for other traffic on the link.
    assert longest < SLOWEST_LINK_BYTES * CALL_SECONDS / 2


def test_all_rows_are_read_if_pages_are_cut_by_size() -> None:
    """A page cut by its size was taken for the end of the table."""

    async def scenario() -> tuple[int, int]:
        async with open_table() as (store, table):
            for number in range(60):
                row = ('jobs', 'desk', f'{number:04}')
                store.write(row, b'[0,{"n":"' + b'x' * 40_000 + b'"}]')
            found = await table.read_all('jobs', 'desk')
            scanned = await scan_all(table, 'jobs/desk')
            return len(found.rows), len(scanned)

    assert run(scenario()) == (60, 60)
