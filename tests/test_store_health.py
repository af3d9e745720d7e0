"""Outages of the store for one daemon, for some, or for all."""

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
def test_only_daemons_that_reach_the_store_are_relays(
    ages: dict[str, float | None], helpers: list[str]
) -> None:
    """Calls were relayed by a daemon that can't reach the store either."""
    detector = make_outage_detector(ages, ManualClock())
    assert sorted(detector.list_relays()) == ['b', 'c']
    run(detector.poll_peers())
    assert detector.list_relays() == helpers


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
def test_an_outage_is_general_only_if_peers_confirm_it(
    ages: dict[str, float | None], general: bool, cut_off: bool
) -> None:
    """An owner about to be replaced started tasks without recording them."""
    clock = ManualClock()
    detector = make_outage_detector(ages, clock)
    assert detector.health.is_down
    run(detector.poll_peers())
    assert detector.is_general() is general
    clock.advance(0.3)
    assert detector.is_cut_off() is cut_off
    detector.health.record(True)
    assert not detector.is_cut_off()
    assert not detector.is_general()


@pytest.mark.parametrize(('passed', 'probed'), [(0.5, []), (1.5, ['desk'])])
def test_an_idle_daemon_probes_the_store(
    passed: float, probed: list[str]
) -> None:
    """An idle daemon told its peers in an outage that there was none."""
    clock = ManualClock()
    health = StoreHealth(clock.monotonic, 'desk')
    health.record(True)
    clock.advance(passed)
    detector = OutageDetector(health, HttpClient(''), PeerList('a'))
    probed_parts: list[str] = []

    async def probe(part: str) -> None:
        probed_parts.append(part)
        health.record(True)

    async def scenario() -> None:
        work = asyncio.create_task(probe_store({'desk': detector}, probe, 0.0))
        for _ in range(5):
            await asyncio.sleep(0)
        work.cancel()

    run(scenario())
    assert probed_parts == probed


def test_a_call_sent_before_the_store_recovered_is_ignored() -> None:
    """A feed call from before the recovery prolonged an outage by a second."""
    clock = ManualClock()
    health = StoreHealth(clock.monotonic, 'desk')
    health.record(True)
    clock.advance(2.0)
    health.record(False, 0.6)
    assert health.is_down
    health.record(True, 0.01)
    clock.advance(0.7)
    health.record(False, 1.3)
    clock.advance(0.2)
    assert health.age == 0.0
    health.record(False, 0.2)
    assert health.is_down
