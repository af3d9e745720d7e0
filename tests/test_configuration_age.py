"""How old a configuration may be that a host still serves by."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import table_feed
from lentilmount.control.configuration_follower import follow_configuration
from lentilmount.control.routes import RouteTable
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import Changes, PlatformTable, RawRow
from tests.helpers import run
from tests.platform_fixtures import make_configuration, make_outage_detector

APPLY_SECONDS = 3.0
STEP_SECONDS = 0.125

CALL_SECONDS = 0.625
"""After which a call to a silent store fails."""


@attrs.define(eq=False)
class _SlowStore(PlatformTable):
    """Shows versions from set times on; each answer takes long to arrive.

    Attributes:
      clock: Moved on while an answer arrives.
      versions: Times from which versions are shown, the first from the start.
      answer_seconds: From the first byte of an answer with a row to the last.
      look: Called after each step of the clock.
      silent_until: Before this time calls are not answered.
      silent_from: From this time on.
    """

    clock: ManualClock
    versions: list[float]
    answer_seconds: float
    look: Callable[[], Awaitable[None]]
    silent_from: float = math.inf
    silent_until: float = math.inf

    async def read_all(self, table: str, part: str = '') -> Changes:
        return await self.follow(table, 0, 0.0)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        await asyncio.sleep(0)
        if self.silent_from <= self.clock.monotonic() < self.silent_until:
            await self._pass(CALL_SECONDS)
            raise UnavailableError('silent')
        end = self.clock.monotonic() + wait
        while self._count() <= after and self.clock.monotonic() < end:
            await self._pass(STEP_SECONDS)
        shown = self._count()
        if shown <= after:
            return Changes((), after)
        await self._pass(self.answer_seconds)
        row = RawRow('config', make_configuration(shown), shown)
        return Changes((row,), shown)

    def _count(self) -> int:
        now = self.clock.monotonic()
        return sum(shown_at <= now for shown_at in self.versions)

    async def _pass(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            await self.look()


@attrs.define
class _Caller:
    """Notes when a host served by a version that was overdue.

    Attributes:
      routes: What the host knows.
      clock: The clock.
      versions: Times at which versions were acknowledged.
      overdue: Times and versions it served by in place of a newer one.
    """

    routes: RouteTable
    clock: ManualClock
    versions: list[float]
    overdue: list[tuple[float, int]] = attrs.Factory(list)

    async def look(self) -> None:
        """Looks by which version a request is handled now."""
        current = self.routes.current
        if current is None or self.routes.is_outdated:
            return
        now = self.clock.monotonic()
        due = sum(acked_at + APPLY_SECONDS < now for acked_at in self.versions)
        if current.version < due:
            self.overdue.append((round(now, 2), current.version))


def _follow(store: _SlowStore, routes: RouteTable, until: float) -> None:
    """Follows the configuration until a time of the store's clock."""

    async def play() -> None:
        work = asyncio.create_task(follow_configuration(store, routes))
        while store.clock.monotonic() < until:
            await asyncio.sleep(0)
        work.cancel()

    run(play())
    assert routes.current is not None


def _follow_slowly(answer_seconds: float) -> list[tuple[float, int]]:
    """Follows versions in a row; returns those served by for too long."""
    clock = ManualClock()
    start = clock.monotonic()
    versions = [start + at for at in (0.0, 2.0, 2.125, 5.0, 5.75, 6.5, 30.0)]
    routes = RouteTable(clock.monotonic, APPLY_SECONDS)
    caller = _Caller(routes, clock, versions)
    store = _SlowStore(clock, versions, answer_seconds, caller.look)

    _follow(store, routes, start + 25.0)
    return caller.overdue


def test_a_slow_answer_makes_no_configuration_fresh() -> None:
    """A version acknowledged while an older one arrives is not kept back."""
    overdue = {
        seconds: _follow_slowly(seconds) for seconds in (0.25, 1.25, 2.5, 4.0)
    }
    assert not any(overdue.values()), overdue


def test_an_outage_keeps_back_no_change_made_right_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A version written as the store comes back is due as any other one."""
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)
    clock = ManualClock()
    start = clock.monotonic()
    back_at = start + 9.0
    noticed_at = back_at + CALL_SECONDS
    versions = [start, back_at]
    told: dict[str, float | None] = {'b': 5.0, 'c': 5.0}
    outage = make_outage_detector(told, clock)
    routes = RouteTable(clock.monotonic, APPLY_SECONDS, outage.outage_until)
    caller = _Caller(routes, clock, versions)

    async def look() -> None:
        now = clock.monotonic()
        outage.health.record(now < start + 5.0)
        told.update(dict.fromkeys(told, 5.0 if now < noticed_at else 0.0))
        if outage.is_suspected:
            await outage.poll_peers()
        await caller.look()

    store = _SlowStore(
        clock, versions, 4.0, look, start + 5.0, back_at + 2 * CALL_SECONDS
    )

    _follow(store, routes, start + 20.0)
    assert caller.overdue == []
