"""How long work waits for cores that several queues share.

The cores are shared by weighted max-min fairness over the queues: what one of
them leaves unused goes to the others. Source: Bertsekas and Gallager, "Data
Networks", 1992.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping


def divide(
    work: Mapping[str, float], weights: Mapping[str, float], rate: float
) -> dict[str, float]:
    """Returns the seconds after which the work of each queue is begun.

    Args:
      work: Core-seconds that wait, by queue; above 0.
      weights: Weights by queue; 1 for a queue that is not listed.
      rate: Cores that are at work on all queues together.
    """

    def measure_level(queue: str) -> float:
        return work[queue] / weights.get(queue, 1.0)

    active = sum(weights.get(queue, 1.0) for queue in work)
    level = elapsed = 0.0
    waits = {}
    for queue in sorted(work, key=measure_level):
        elapsed += (measure_level(queue) - level) * active / rate
        level = measure_level(queue)
        active -= weights.get(queue, 1.0)
        waits[queue] = elapsed
    return waits


def measure_excess(
    running: float, later: Iterable[tuple[float, float]], rate: float
) -> float:
    """Returns the core-seconds that wait for room, now or at a later time.

    A step that becomes ready while room is freed for it waits for its
    predecessors only, not for room. Source: Lindley's recursion.

    Args:
      running: Core-seconds that are left of the placed tasks.
      later: Seconds until work becomes ready, and its core-seconds.
      rate: Cores that are at work on all of it.
    """
    backlog = most = running
    last = 0.0
    for at, work in sorted(later):
        backlog = max(0.0, backlog - (at - last) * rate) + work
        most = max(most, backlog)
        last = at
    return most - running
