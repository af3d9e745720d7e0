"""Following a table of the store over a link that is slow or fails."""

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
from stand_ins.rowstore import Door, RowStore
from tests.helpers import run
from tests.platform_fixtures import open_table, serve_store

SLOWEST_LINK_BYTES = 625_000
"""Bytes in a second on a link of 5 Mbit/s, the slowest of any host."""

CALL_SECONDS = 0.6
"""What a daemon gives a call to the store."""


@attrs.define
class _Calls:
    """A table whose answers are told beforehand; notes what is asked.

    Attributes:
      listing: Whether whole readings are answered.
      answers: What the store's feed answers; None for no answer.
      asked: Positions the feed was asked from; None for a whole reading.
    """

    listing: bool
    answers: list[Changes | None]
    asked: list[int | None] = attrs.Factory(list)

    async def read_all(self, table: str, part: str = '') -> Changes:
        self.asked.append(None)
        if not self.listing:
            raise UnavailableError('took too long')
        return Changes((RawRow('listed', b'', 9),), 9)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        self.asked.append(after)
        answer = self.answers.pop(0)
        if answer is None:
            raise UnavailableError('took too long')
        return answer


class _SizingCaller(HttpClient):
    """Notes how long answers are."""

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


def test_a_large_table_goes_on_where_it_was_after_a_failure() -> None:
    """Read anew after each failed call, a large table filled a small link."""
    new = Changes((RawRow('new', b'', 6),), 6)
    calls = _Calls(False, [None, new])
    feed = TableFeed(cast(PlatformTable, calls), 'jobs', 1.0, position=5)
    assert run(_read(feed, 2)) == ['new']
    assert calls.asked == [5, 5]
    assert feed.position == 6


def test_a_feed_that_stays_silent_is_read_whole() -> None:
    """The store's feed answers nothing while its lists are answered."""
    calls = _Calls(True, [None, None])
    feed = TableFeed(cast(PlatformTable, calls), 'jobs', 1.0, position=5)
    assert run(_read(feed, 3)) == ['listed']
    assert calls.asked == [5, 5, None]
    assert feed.position == 9


def test_neither_the_feed_nor_the_list_is_given_up() -> None:
    """Both fail for a while: each is tried again, from the same version."""
    new = Changes((RawRow('new', b'', 6),), 6)
    calls = _Calls(False, [None, None, new])
    feed = TableFeed(cast(PlatformTable, calls), 'jobs', 1.0, position=5)
    assert run(_read(feed, 4)) == ['new']
    assert calls.asked == [5, 5, None, 5]


def test_a_whole_reading_comes_in_answers_that_a_small_host_gets() -> None:
    """All rows in one answer never arrived on the smallest link."""

    async def play() -> tuple[Mapping[str, bytes], int, int]:
        async with contextlib.AsyncExitStack() as stack:
            store = RowStore()
            for number in range(600):
                row = ('jobs', 'desk', f'{number:04}')
                store.write(row, b'[0,{"n":"' + b'x' * 600 + b'"}]')
            address = serve_store(store, stack, Door())
            caller = _SizingCaller(f'http://{address}')
            stack.callback(caller.close)
            table = PlatformTable(caller, CALL_SECONDS)
            found = await table.read_all('jobs', 'desk')
            scanned = await scan_all(table, 'jobs/desk')
            rows = {row.key: row.value for row in found.rows}
            return rows, len(scanned), max(caller.sizes)

    rows, scanned, longest = run(play())
    assert (len(rows), scanned) == (600, 600)
    # Half of the time stays for what else is on the link.
    assert longest < SLOWEST_LINK_BYTES * CALL_SECONDS / 2


def test_rows_that_fill_an_answer_early_are_all_read() -> None:
    """An answer cut by its size was taken for the end of the table."""

    async def play() -> tuple[int, int]:
        async with open_table() as (store, table):
            for number in range(60):
                row = ('jobs', 'desk', f'{number:04}')
                store.write(row, b'[0,{"n":"' + b'x' * 40_000 + b'"}]')
            found = await table.read_all('jobs', 'desk')
            scanned = await scan_all(table, 'jobs/desk')
            return len(found.rows), len(scanned)

    assert run(play()) == (60, 60)
