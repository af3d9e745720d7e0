"""Polling the list of registered workers."""

from __future__ import annotations

import asyncio

import attrs
import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import registry
from lentilmount.control.registry import choose_pause, poll_workers
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.documents import decode_registration
from lentilmount.platform.store import Changes, PlatformTable, RawRow
from lentilmount.scheduling.reports import WorkerEntry
from lentilmount.version_times import VersionTimes
from tests.helpers import run

ENTRY_BYTES = 430
"""Size of an entry in an answer."""

SLOWEST_LINK_BYTES = 625_000
"""Bytes per second of a 5 Mbit/s link, the slowest of any host."""

DRAIN_SECONDS = 2.0
"""Time during which a draining worker may be given work."""

ORDER_SECONDS = 0.3
"""Time from choosing a worker to its receiving the command: the write and the
call."""


@pytest.mark.parametrize('workers', [1, 34, 100])
def test_a_short_list_is_read_often(workers: int) -> None:
    assert choose_pause(workers) == 0.4


@pytest.mark.parametrize('workers', [200, 245, 300])
def test_a_long_list_leaves_link_capacity_for_commands(workers: int) -> None:
    """Polling the list of workers used half of the slowest link."""
    spent = workers * ENTRY_BYTES / choose_pause(workers)
    assert spent < SLOWEST_LINK_BYTES / 3.5


@pytest.mark.parametrize('workers', [34, 100, 245, 1000])
def test_a_draining_worker_is_noticed_in_time(workers: int) -> None:
    """A worker announces draining just after the list was read."""
    reading = min(workers, 300) * ENTRY_BYTES / SLOWEST_LINK_BYTES
    latest = choose_pause(workers) + 2 * reading + ORDER_SECONDS
    assert latest < DRAIN_SECONDS


@attrs.define(eq=False)
class ScriptedTable(PlatformTable):
    """Returns scripted answers, each after the seconds that it takes.

    Attributes:
      clock: Advanced by each answer.
      answers: Seconds and ids of the listed workers; None for a failure.
      cordons: Cordoned zones of each read, the last of which stays; None for a
        failure.
    """

    clock: ManualClock
    answers: list[tuple[float, str | None]]
    cordons: list[frozenset[str] | None] = attrs.Factory(lambda: [frozenset()])
    version_times: VersionTimes = attrs.Factory(
        lambda self: VersionTimes(self.clock.monotonic), takes_self=True
    )

    async def list_cordoned_zones(self) -> frozenset[str]:
        found = self.cordons.pop(0) if self.cordons[1:] else self.cordons[0]
        if found is None:
            raise UnavailableError('no answer')
        return found

    async def read_all(self, table: str, part: str = '') -> Changes:
        if not self.answers:
            raise asyncio.CancelledError
        seconds, listed = self.answers.pop(0)
        self.clock.advance(seconds)
        if listed is None:
            raise UnavailableError('no answer')
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


def _list_unregistered(
    monkeypatch: pytest.MonkeyPatch, answers: list[tuple[float, str | None]]
) -> list[str]:
    monkeypatch.setattr(registry, 'POLL_SECONDS', 0.0)
    monkeypatch.setattr(registry, 'ROWS_PER_SECOND', float('inf'))
    clock = ManualClock()
    unregistered: list[str] = []

    async def play() -> None:
        table = ScriptedTable(clock, answers)
        await poll_workers(
            table,
            'desk',
            lambda entry: None,
            unregistered.append,
            clock.monotonic,
        )

    with pytest.raises(asyncio.CancelledError):
        run(play())
    return unregistered


def test_a_late_list_after_an_outage_unregisters_no_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Workers whose entries expired in an outage were dropped too early."""
    answers = [(0.1, 'ab'), (0.6, None), (2.5, 'a'), (0.1, 'a'), (0.1, 'ab')]
    assert _list_unregistered(monkeypatch, answers) == []


def test_a_worker_not_listed_again_after_an_outage_is_unregistered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = [(0.1, 'ab'), (0.6, None), (0.1, 'a'), (2.5, 'a'), (0.1, 'a')]
    assert _list_unregistered(monkeypatch, answers) == ['b']


@pytest.mark.parametrize('workers', [30, 72, 200])
def test_the_list_leaves_most_of_a_small_link_to_other_calls(
    workers: int,
) -> None:
    """Reading 72 workers took a quarter of a link of 2 Mbit/s."""
    link = 250_000
    pause = choose_pause(workers, link)
    is_slowest = pause == registry.MAX_POLL_SECONDS
    assert is_slowest or workers * ENTRY_BYTES / pause <= 0.16 * link


def test_a_registration_is_decoded_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Decoding unchanged entries took a tenth of a slow processor."""
    decoded: list[str] = []

    def record(key: str, value: bytes) -> WorkerEntry | None:
        decoded.append(key)
        return decode_registration(key, value)

    monkeypatch.setattr(registry, 'decode_registration', record)
    _list_unregistered(monkeypatch, [(0.1, 'ab'), (0.1, 'ab'), (0.1, 'abc')])
    assert decoded == ['a', 'b', 'c']
