"""The most that any order of work could earn on a capacity, from above.

Work is taken as a fluid: it may be split at will, at any pace, on any worker,
and a job earns in proportion to what is done of it in time. Each real plan is
such a plan too, so none earns more. What can be done together is a matroid, in
which taking the dearest work first, as far as it fits, is best.

Source: Edmonds, "Matroids and the greedy algorithm", 1971.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

import attrs

BISECTIONS = 12
"""Halvings of the amount of an item that is known not to fit whole."""


@attrs.frozen
class Item:
    """Work that earns if it is done in some of the windows.

    Attributes:
      work: Core-seconds.
      value: What all of it earns.
      first: First window in which it may be done.
      last: Last window in which it earns.
    """

    work: float
    value: float
    first: int
    last: int


def measure_bound(items: Iterable[Item], capacity: Sequence[float]) -> float:
    """Returns the most that items can earn together.

    Args:
      items: All work.
      capacity: Core-seconds of each window.
    """
    earned = 0.0
    taken: list[Item] = []
    for item in sorted(items, key=lambda i: i.value / i.work, reverse=True):
        fits, fits_not = _find_shares(item, taken, capacity)
        if fits > 0:
            taken.append(attrs.evolve(item, work=fits * item.work))
        earned += fits_not * item.value
    return earned


def _find_shares(
    item: Item, taken: list[Item], capacity: Sequence[float]
) -> tuple[float, float]:
    """Returns a share of an item that fits, and the least that may not.

    The first is taken and the second is earned, so that the bound stays one.
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
    """Tells whether all can be done; the earliest last window goes first."""
    coming = sorted(items, key=lambda item: item.first, reverse=True)
    waiting: list[tuple[int, float]] = []
    for window, free in enumerate(capacity):
        while coming and coming[-1].first <= window:
            item = coming.pop()
            heapq.heappush(waiting, (item.last, item.work))
        left = free
        while waiting and left > 0:
            last, work = heapq.heappop(waiting)
            done = min(work, left)
            left -= done
            if work > done:
                heapq.heappush(waiting, (last, work - done))
        if waiting and waiting[0][0] <= window:
            return False
    return not waiting and not coming
