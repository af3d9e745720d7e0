"""When callers who were refused come back."""

from __future__ import annotations

import collections

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.retry_schedule import RetrySchedule

MAX_SECONDS = 20.0


def make_schedule() -> tuple[ManualClock, RetrySchedule]:
    """Returns a clock and a schedule that goes by it."""
    clock = ManualClock()
    return clock, RetrySchedule(clock.monotonic, MAX_SECONDS)


def test_callers_refused_together_do_not_come_back_together() -> None:
    """All callers who were refused in an outage came back after a second."""
    _, schedule = make_schedule()
    returns = [schedule.add('bulk', 2.0, 0.25) for _ in range(40)]
    counts = collections.Counter(returns)
    assert max(counts.values()) <= 5
    assert min(returns) == 2
    assert max(returns) == pytest.approx(12, abs=1)


def test_those_refused_first_come_back_first() -> None:
    clock, schedule = make_schedule()
    returns = []
    for delay in (4.0, 3.0, 1.0, 5.0, 1.0, 1.0):
        returns.append(clock.now + schedule.add('bulk', delay, 1.0))
        clock.advance(0.25)
    # Rounding to whole seconds moves each by half a second at most.
    for earlier, later in zip(returns, returns[1:], strict=False):
        assert later >= earlier - 0.5


def test_a_single_caller_comes_back_as_soon_as_there_may_be_room() -> None:
    clock, schedule = make_schedule()
    assert schedule.add('bulk', 0.0, 0.3) == 1
    clock.advance(1.0)
    assert schedule.add('bulk', 1.0, 0.3) == 1
    assert schedule.add('other', 3.2, 0.3) == 3


def test_nobody_is_sent_away_for_longer_than_the_bound() -> None:
    _, schedule = make_schedule()
    returns = [schedule.add('bulk', 500.0, 500.0) for _ in range(3)]
    assert returns == [MAX_SECONDS] * 3


def test_a_caller_is_not_sent_away_for_longer_than_is_of_use() -> None:
    """Small jobs were asked to come back long after their objectives."""
    _, schedule = make_schedule()
    for _ in range(10):
        schedule.add('bulk', 1.0, 1.0)
    assert schedule.add('bulk', 1.0, 1.0, limit=4.0) == 4
    assert schedule.add('bulk', 1.0, 1.0) == pytest.approx(12, abs=1)


def test_sequences_that_are_over_are_forgotten() -> None:
    """Each queue that ever refused a job took memory for good."""
    clock, schedule = make_schedule()
    for number in range(100):
        schedule.add(f'{number}', 1.0, 1.0)
    clock.advance(30.0)
    schedule.add('bulk', 1.0, 1.0)
    assert list(schedule._next) == ['bulk']  # noqa: SLF001
