"""Maximum age of the configuration by which a host serves."""

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
"""Time after which a call to a store that does not answer fails."""


@attrs.define(eq=False)
class _SlowStore(PlatformTable):
    """A store whose versions appear at set times, with slow answers.

    Attributes:
      clock: Advanced while an answer arrives.
      versions: Times at which the versions are written, in order.
      answer_seconds: Time from the first byte of an answer with a row to the
        last.
      check: Called after each step of the clock.
      silent_from: Start of the outage.
      silent_until: End of the outage.
    """

    clock: ManualClock
    versions: list[float]
    answer_seconds: float
    check: Callable[[], Awaitable[None]]
    silent_from: float = math.inf
    silent_until: float = math.inf

    async def read_all(self, table: str, part: str = '') -> Changes:
        return await self.follow(table, 0, 0.0)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        await asyncio.sleep(0)
        if self.silent_from <= self.clock.monotonic() < self.silent_until:
            await self._advance(CALL_SECONDS)
            raise UnavailableError('silent')
        end = self.clock.monotonic() + wait
        while self._count_versions() <= after and self.clock.monotonic() < end:
            await self._advance(STEP_SECONDS)
        shown = self._count_versions()
        if shown <= after:
            return Changes((), after)
        await self._advance(self.answer_seconds)
        row = RawRow('config', make_configuration(shown), shown)
        return Changes((row,), shown)

    def _count_versions(self) -> int:
        now = self.clock.monotonic()
        return sum(shown_at <= now for shown_at in self.versions)

    async def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            await self.check()


@attrs.define
class _Observer:
    """Records when a host serves by a version that must have been replaced.

    Attributes:
      routes: Configuration of the host.
      clock: The clock.
      versions: Times at which the versions were written.
      overdue: Times at which it served by an old version, and that version.
    """

    routes: RouteTable
    clock: ManualClock
    versions: list[float]
    overdue: list[tuple[float, int]] = attrs.Factory(list)

    async def check(self) -> None:
        """Checks by which version a request would be handled now."""
        current = self.routes.current
        if current is None or self.routes.is_outdated:
            return
        now = self.clock.monotonic()
        due = sum(acked_at + APPLY_SECONDS < now for acked_at in self.versions)
        if current.version < due:
            self.overdue.append((round(now, 2), current.version))


def _follow(store: _SlowStore, routes: RouteTable, until: float) -> None:
    """Follows the configuration until a time on the store's clock."""

    async def scenario() -> None:
        work = asyncio.create_task(follow_configuration(store, routes))
        while store.clock.monotonic() < until:
            await asyncio.sleep(0)
        work.cancel()

    run(scenario())
    assert routes.current is not None


def _follow_slowly(answer_seconds: float) -> list[tuple[float, int]]:
    """Follows a sequence of versions; returns those used for too long."""
    clock = ManualClock()
    start = clock.monotonic()
    versions = [start + at for at in (0.0, 2.0, 2.125, 5.0, 5.75, 6.5, 30.0)]
    routes = RouteTable(clock.monotonic, APPLY_SECONDS)
    observer = _Observer(routes, clock, versions)
    store = _SlowStore(clock, versions, answer_seconds, observer.check)

    _follow(store, routes, start + 25.0)
    return observer.overdue


def test_a_slow_answer_does_not_make_a_configuration_fresh() -> None:
    """A version was not in force in time if an older one was still arriving."""
    overdue = {
        seconds: _follow_slowly(seconds) for seconds in (0.25, 1.25, 2.5, 4.0)
    }
    assert not any(overdue.values()), overdue


def test_an_outage_delays_no_change_made_right_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A version written as the store recovers must be in force in time too."""
    monkeypatch.setattr(table_feed, 'RETRY_SECONDS', 0.0)
    clock = ManualClock()
    start = clock.monotonic()
    recovered_at = start + 9.0
    peers_recovered_at = recovered_at + CALL_SECONDS
    versions = [start, recovered_at]
    ages: dict[str, float | None] = {'b': 5.0, 'c': 5.0}
    detector = make_outage_detector(ages, clock)
    routes = RouteTable(clock.monotonic, APPLY_SECONDS, detector.outage_until)
    observer = _Observer(routes, clock, versions)

    async def check() -> None:
        now = clock.monotonic()
        detector.health.record(now < start + 5.0)
        ages.update(
            dict.fromkeys(ages, 5.0 if now < peers_recovered_at else 0.0)
        )
        if detector.is_suspected:
            await detector.poll_peers()
        await observer.check()

    store = _SlowStore(
        clock,
        versions,
        4.0,
        check,
        start + 5.0,
        recovered_at + 2 * CALL_SECONDS,
    )

    _follow(store, routes, start + 20.0)
    assert observer.overdue == []
