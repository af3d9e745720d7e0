"""Outages of the store for some or all of hundreds of daemons.

Load pattern: each daemon that the store does not answer asks the others, all at
the same time.
"""

from __future__ import annotations

from collections.abc import Mapping

import pytest
from hypothesis import given, strategies

from lentilmount.clock import ManualClock
from lentilmount.control.peer_reports import (
    MAX_OUTAGE_SPAN_SECONDS,
    MAX_PEERS,
    MAX_RELAYS,
    VALID_SECONDS,
    PeerReports,
)

ROUND_SECONDS = 0.2
OTHERS = [f'host-{number}' for number in range(96)]


def ask(
    reports: PeerReports, clock: ManualClock, since: Mapping[str, float | None]
) -> list[str]:
    """Asks daemons once; returns which.

    Args:
      reports: The reports.
      clock: The clock, which advances by a round.
      since: Time since which the store has not answered each daemon; None if
        it answers. Daemons that are missing do not answer.
    """
    asked = reports.choose(OTHERS)
    ages: dict[str, float | None] = {}
    for address in asked:
        if address not in since:
            ages[address] = None
            continue
        failed_at = since[address]
        ages[address] = 0.0 if failed_at is None else clock.now - failed_at
    reports.record(clock.now, ages)
    clock.advance(ROUND_SECONDS)
    return asked


def test_few_are_asked_while_the_store_answers_some() -> None:
    """A third of 97 daemons without the store made 16,000 calls a second."""
    clock = ManualClock()
    reports = PeerReports(clock.monotonic)
    since = {
        address: clock.now - 5.0 if number % 3 == 0 else None
        for number, address in enumerate(OTHERS)
    }
    assert len(ask(reports, clock, since)) == MAX_PEERS
    for _ in range(20):
        assert len(ask(reports, clock, since)) <= MAX_RELAYS
        assert reports.list_reachable(OTHERS)
        assert reports.find_outage(OTHERS) is None


def test_an_outage_for_all_is_confirmed_within_a_second() -> None:
    """An owner that cannot confirm it stops starting tasks."""
    clock = ManualClock()
    reports = PeerReports(clock.monotonic)
    since = dict.fromkeys(OTHERS, clock.now - 0.9)
    started = clock.now
    while reports.find_outage(OTHERS) is None:
        assert len(ask(reports, clock, since)) <= MAX_PEERS
        assert clock.now - started < 1.0


def test_an_outage_that_grows_is_confirmed_too() -> None:
    """Daemons that were known to reach the store hid the end of that."""
    clock = ManualClock()
    reports = PeerReports(clock.monotonic)
    some: dict[str, float | None] = dict.fromkeys(OTHERS)
    for _ in range(10):
        ask(reports, clock, {**some, **dict.fromkeys(OTHERS[:30], 1.0)})
    failed_at = clock.now
    while reports.find_outage(OTHERS) is None:
        ask(reports, clock, dict.fromkeys(OTHERS, failed_at))
        assert clock.now - failed_at < 3.0


def test_daemons_of_small_deployments_are_all_asked() -> None:
    others = OTHERS[:MAX_PEERS]
    assert PeerReports(ManualClock().monotonic).choose(others) == others


@pytest.mark.parametrize('silent', [0, 40, 48, 60])
def test_a_majority_must_report(silent: int) -> None:
    """A minority cut off with an owner cannot know about the others."""
    clock = ManualClock()
    reports = PeerReports(clock.monotonic)
    since: dict[str, float | None] = dict.fromkeys(
        OTHERS[silent:], clock.now - 5.0
    )
    for _ in range(4):
        ask(reports, clock, since)
    has_majority = 2 * (len(since) + 1) > len(OTHERS) + 1
    assert (reports.find_outage(OTHERS) is not None) is has_majority


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 95), strategies.floats(0.0, 0.5)
        ),
        max_size=40,
    ),
    strategies.floats(0.5, 4.0),
)
def test_a_confirmed_outage_is_one(
    answered: list[tuple[int, float]], seconds: float
) -> None:
    """Reports of different times must not add up to an outage that never was.

    Now and then the store answers one of the daemons.
    """
    clock = ManualClock()
    reports = PeerReports(clock.monotonic)
    last_answer = dict.fromkeys(OTHERS, clock.now - 2.0)
    rounds = iter(answered)
    end = clock.now + seconds
    while clock.now < end:
        number, pause = next(rounds, (0, 0.0))
        if pause:
            clock.advance(pause)
            last_answer[OTHERS[number]] = clock.now
        ask(reports, clock, dict(last_answer))
        outage = reports.find_outage(OTHERS)
        if outage is None:
            continue
        assert outage.span <= MAX_OUTAGE_SPAN_SECONDS
        known = reports._list_recent(
            OTHERS, VALID_SECONDS + MAX_OUTAGE_SPAN_SECONDS
        )
        for address in known:
            report = known[address]
            assert report.unreachable_since <= outage.at
