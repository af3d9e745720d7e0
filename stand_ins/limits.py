"""Limits that the users' rules set on what workers may be told to run."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

FULL_CORES = 16.0
"""Cores of a worker that has not shrunk."""

HEARTBEAT_SECONDS = 1.1
"""Interval between two registrations of a worker."""

SHRINK_SECONDS = 3.0 + HEARTBEAT_SECONDS
"""Time after which a capacity that has shrunk binds."""

CORDON_SECONDS = 5.0
"""Time after which no start may begin in a zone that was cordoned."""

MAX_CRASHES = 3
MAX_LATER_STARTS = 2
"""Number of starts allowed after that many crashes under a task."""

MIN_CRASHES = 2
"""Number of crashes under a task from which it may be given up."""


def get_binding_capacity(
    capacities: Sequence[tuple[float, float]], at: float
) -> float:
    """Returns the cores that starts on a worker may use.

    Args:
      capacities: Times in seconds since which it has had numbers of cores, in
        the order of these times.
      at: Time of the start.
    """
    ends = [changed_at for changed_at, _ in capacities[1:]] + [math.inf]
    return max(
        cores
        for (begin, cores), end in zip(capacities, ends, strict=True)
        if begin <= at and end > at - SHRINK_SECONDS
    )


def count_starts_after_crashes(
    starts: Iterable[float], crashes: Iterable[float]
) -> int:
    """Counts the starts of a task after the crash from which they are limited.

    Args:
      starts: Times of its starts.
      crashes: Times of crashes under it.
    """
    ordered = sorted(crashes)
    if len(ordered) < MAX_CRASHES:
        return 0
    return sum(start > ordered[MAX_CRASHES - 1] for start in starts)
