"""Upper bound on the value that any schedule can earn with a given capacity.

The bound relaxes the problem: work can be split arbitrarily over time and
workers, and a job earns in proportion to the work done in time. Every real
schedule is also a schedule of the relaxed problem, so none earns more. The
sets of work that can be done together form a matroid, so the greedy order by
value per unit of work is optimal.

Source: Edmonds, "Matroids and the greedy algorithm", 1971.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

import attrs

BISECTIONS = 12
"""Bisection steps for the share of an item that does not fit as a whole."""


@attrs.frozen
class Item:
    """An amount of work that earns its value within a range of time windows.

    Attributes:
      work: Amount of work in core-seconds.
      value: Value earned by all of it.
      first: Index of the first window in which it may be done.
      last: Index of the last window in which it earns its value.
    """

    work: float
    value: float
    first: int
    last: int


def measure_bound(items: Iterable[Item], capacity: Sequence[float]) -> float:
    """Returns an upper bound on the total value that items can earn.

    Args:
      items: All work.
      capacity: Capacity of each window in core-seconds.
    """
    earned = 0.0
    taken: list[Item] = []
    for item in sorted(items, key=lambda i: i.value / i.work, reverse=True):
        lower_share, upper_share = _find_shares(item, taken, capacity)
        if lower_share > 0:
            taken.append(attrs.evolve(item, work=lower_share * item.work))
        earned += upper_share * item.value
    return earned


def _find_shares(
    item: Item, taken: list[Item], capacity: Sequence[float]
) -> tuple[float, float]:
    """Returns a lower and an upper bound of the share of an item that fits.

    The caller schedules the lower share but counts the value of the upper one,
    so that the result remains an upper bound.
    """
    if _fits([*taken, item], capacity):
        return 1.0, 1.0
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        part = attrs.evolve(item, work=middle * item.work)
        if _fits([*taken, part], capacity):
            low = middle
        else:
            high = middle
    return low, high


def _fits(items: list[Item], capacity: Sequence[float]) -> bool:
    """Returns whether all items can be done, earliest last window first."""
    upcoming = sorted(items, key=lambda item: item.first, reverse=True)
    waiting: list[tuple[int, float]] = []
    for window, free in enumerate(capacity):
        while upcoming and upcoming[-1].first <= window:
            item = upcoming.pop()
            heapq.heappush(waiting, (item.last, item.work))
        remaining = free
        while waiting and remaining > 0:
            last, work = heapq.heappop(waiting)
            done = min(work, remaining)
            remaining -= done
            if work > done:
                heapq.heappush(waiting, (last, work - done))
        if waiting and waiting[0][0] <= window:
            return False
    return not waiting and not upcoming
