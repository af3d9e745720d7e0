"""Placement order under overload, compared with an upper bound."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings, strategies

from benchmarks.bound import Item, measure_bound
from benchmarks.overload import LOADS, Replay
from lentilmount.scheduling import headroom, ranking

ITEMS = strategies.lists(
    strategies.builds(
        lambda work, value, first, extra: Item(
            work, value, first, first + extra
        ),
        strategies.floats(0.5, 9.0),
        strategies.floats(0.1, 5.0),
        strategies.integers(0, 4),
        strategies.integers(0, 3),
    ),
    max_size=6,
)


def test_bound_is_the_whole_value_if_everything_fits() -> None:
    items = [Item(2.0, 1.0, 0, 0), Item(3.0, 5.0, 0, 1)]
    assert measure_bound(items, [4.0, 4.0]) == 6.0


def test_most_valuable_work_is_taken_first() -> None:
    items = [Item(4.0, 1.0, 0, 0), Item(4.0, 3.0, 0, 0)]
    assert measure_bound(items, [6.0]) == pytest.approx(3.5, abs=1e-2)


def test_work_that_can_wait_yields_to_work_that_cannot() -> None:
    items = [Item(4.0, 3.0, 0, 1), Item(4.0, 1.0, 0, 0)]
    assert measure_bound(items, [4.0, 4.0]) == 4.0


@settings(max_examples=50, deadline=None, derandomize=True)
@given(ITEMS, strategies.lists(strategies.floats(0.0, 9.0), max_size=5))
def test_no_schedule_of_whole_items_exceeds_the_bound(
    items: list[Item], capacity: list[float]
) -> None:
    """The bound must not be below the value of any feasible schedule."""
    remaining = list(capacity)
    earned = 0.0
    for item in items:
        windows = range(item.first, min(item.last + 1, len(remaining)))
        window = next((w for w in windows if remaining[w] >= item.work), None)
        if window is not None:
            remaining[window] -= item.work
            earned += item.value
    assert earned <= measure_bound(items, capacity) + 1e-9


@pytest.mark.parametrize('name', LOADS)
def test_replay_is_deterministic_and_below_its_bound(name: str) -> None:
    load = attrs.evolve(
        LOADS[name], workers=6, long_running_jobs=4, seconds=12.0
    )
    first, second = Replay(load, 1), Replay(load, 1)
    first.run()
    second.run()
    assert first.earned == second.earned
    assert 0.0 < first.measure_credit_share() <= first.measure_bound()


def test_arrivals_do_not_depend_on_placements(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Policies compared on one seed were run on different arrivals."""
    load = attrs.evolve(LOADS['full'], workers=6, seconds=12.0)
    default, other = Replay(load, 1), Replay(load, 1)
    default.run()
    monkeypatch.setattr(headroom, 'MAX_HEADROOM_WAIT_SECONDS', 0.0)
    monkeypatch.setattr(ranking, 'RESTART_OVERDUE_SECONDS', 0.0)
    other.run()
    assert default.list_arrivals() == other.list_arrivals()
    assert default.earned != other.earned
