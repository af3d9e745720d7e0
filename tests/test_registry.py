"""Reading the list of workers."""

from __future__ import annotations

import asyncio

import attrs
import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import registry
from lentilmount.control.registry import choose_pause, poll_workers
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import Changes, PlatformTable, RawRow
from tests.helpers import run

ENTRY_BYTES = 430
"""What an entry takes in an answer, as measured."""

SLOWEST_LINK_BYTES = 625_000
"""Bytes in a second on a link of 5 Mbit/s, the slowest of any host."""

DRAIN_SECONDS = 2.0
"""For how long a leaving worker may be given work after it said so."""

ORDER_SECONDS = 0.3
"""From the choice of a worker until it has the order: the row, the call."""


@pytest.mark.parametrize('workers', [1, 34, 100])
def test_a_short_list_is_read_often(workers: int) -> None:
    assert choose_pause(workers) == 0.4


@pytest.mark.parametrize('workers', [200, 245, 300])
def test_a_long_list_leaves_the_link_to_orders(workers: int) -> None:
    """The list of workers took half of the smallest link."""
    spent = workers * ENTRY_BYTES / choose_pause(workers)
    assert spent < SLOWEST_LINK_BYTES / 3.5


@pytest.mark.parametrize('workers', [34, 100, 245, 1000])
def test_a_leaving_worker_is_known_in_time(workers: int) -> None:
    """A worker says that it is leaving just after it was read."""
    reading = min(workers, 300) * ENTRY_BYTES / SLOWEST_LINK_BYTES
    latest = choose_pause(workers) + 2 * reading + ORDER_SECONDS
    assert latest < DRAIN_SECONDS


@attrs.define(eq=False)
class _Lists(PlatformTable):
    """Answers as told, each answer after the seconds that it takes.

    Attributes:
      clock: Moved on by each answer.
      answers: Seconds and ids of the workers listed; None for a failure.
    """

    clock: ManualClock
    answers: list[tuple[float, str | None]]

    async def read_all(self, table: str, part: str = '') -> Changes:
        if not self.answers:
            raise asyncio.CancelledError
        seconds, listed = self.answers.pop(0)
        self.clock.advance(seconds)
        if listed is None:
            raise UnavailableError('silent')
        entry = {
            'service': 'desk',
            'address': '127.0.0.1:1',
            'zone': 'north',
            'state': 'ready',
            'born': 1,
            'capacity': {'cpu': 1000, 'memMb': 1000},
        }
        rows = tuple(RawRow(name, orjson.dumps(entry), 1) for name in listed)
        return Changes(rows, 1)


def _list_missed(
    monkeypatch: pytest.MonkeyPatch, answers: list[tuple[float, str | None]]
) -> list[str]:
    monkeypatch.setattr(registry, 'POLL_SECONDS', 0.0)
    monkeypatch.setattr(registry, 'ROWS_PER_SECOND', float('inf'))
    clock = ManualClock()
    missed: list[str] = []

    async def play() -> None:
        table = _Lists(clock, answers)
        await poll_workers(
            table, 'desk', lambda entry: None, missed.append, clock.monotonic
        )

    with pytest.raises(asyncio.CancelledError):
        run(play())
    return missed


def test_a_list_that_arrives_late_after_an_outage_tells_of_no_losses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Workers whose entries ran out in an outage are not given up too early."""
    answers = [(0.1, 'ab'), (0.6, None), (2.5, 'a'), (0.1, 'a'), (0.1, 'ab')]
    assert _list_missed(monkeypatch, answers) == []


def test_a_worker_that_is_not_listed_again_after_an_outage_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = [(0.1, 'ab'), (0.6, None), (0.1, 'a'), (2.5, 'a'), (0.1, 'a')]
    assert _list_missed(monkeypatch, answers) == ['b']
