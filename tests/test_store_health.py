"""Whether the store is away for one daemon, for some, or for all."""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
    probe_store,
)
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import make_outage_detector


@pytest.mark.parametrize(
    ('ages', 'helpers'),
    [
        ({'b': 5.0, 'c': 0.1}, ['c']),
        ({'b': 5.0, 'c': 5.0}, []),
        ({'b': None, 'c': None}, []),
    ],
)
def test_only_daemons_that_hear_from_the_store_help(
    ages: dict[str, float | None], helpers: list[str]
) -> None:
    """Calls went through a daemon that does not hear from the store either."""
    outage = make_outage_detector(ages, ManualClock())
    assert sorted(outage.list_relays()) == ['b', 'c']
    run(outage.poll_peers())
    assert outage.list_relays() == helpers


@pytest.mark.parametrize(
    ('ages', 'general', 'cut_off'),
    [
        ({'b': 5.0, 'c': 5.0}, True, False),
        ({'b': 5.0, 'c': 0.1}, False, False),
        ({'b': None, 'c': None}, False, True),
        ({'b': 5.0, 'c': None}, True, False),
        ({}, True, False),
    ],
)
def test_an_outage_is_general_only_if_the_others_say_so(
    ages: dict[str, float | None], general: bool, cut_off: bool
) -> None:
    """An owner that was about to be replaced started tasks unwritten."""
    clock = ManualClock()
    outage = make_outage_detector(ages, clock)
    assert outage.health.is_down
    run(outage.poll_peers())
    assert outage.is_general() is general
    clock.advance(0.3)
    assert outage.is_cut_off() is cut_off
    outage.health.record(True)
    assert not outage.is_cut_off()
    assert not outage.is_general()


@pytest.mark.parametrize(('passed', 'probed'), [(0.5, []), (1.5, ['desk'])])
def test_a_daemon_that_makes_no_calls_probes_the_store(
    passed: float, probed: list[str]
) -> None:
    """Asked by others in an outage, a quiet daemon said that there was none."""
    clock = ManualClock()
    watch = StoreHealth(clock.monotonic, 'desk')
    watch.record(True)
    clock.advance(passed)
    outage = OutageDetector(watch, HttpClient(''), PeerList('a'))
    found: list[str] = []

    async def probe(part: str) -> None:
        found.append(part)
        watch.record(True)

    async def play() -> None:
        work = asyncio.create_task(probe_store({'desk': outage}, probe, 0.0))
        for _ in range(5):
            await asyncio.sleep(0)
        work.cancel()

    run(play())
    assert found == probed


def test_a_call_from_before_the_stores_return_does_not_count() -> None:
    """A feed that hung in an outage made its end last a second longer."""
    clock = ManualClock()
    watch = StoreHealth(clock.monotonic, 'desk')
    watch.record(True)
    clock.advance(2.0)
    watch.record(False, 0.6)
    assert watch.is_down
    watch.record(True, 0.01)
    clock.advance(0.7)
    watch.record(False, 1.3)
    clock.advance(0.2)
    assert watch.age == 0.0
    watch.record(False, 0.2)
    assert watch.is_down
