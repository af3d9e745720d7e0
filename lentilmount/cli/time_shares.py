"""Divides the time of a job by what kept it, given the spans of its runs."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Iterator, Mapping

import attrs

RunKey = tuple[str, int]
"""Id of a task and number of its run."""

Span = tuple[float, float]
"""Unix times in seconds of a beginning and an end."""


@attrs.define
class RunSpan:
    """Time that one run of a task took.

    Attributes:
      started_at: Unix time of its start in seconds.
      ended_at: Unix time of its end; infinity if that is not in the logs.
      is_lost: Whether it ended without having finished the task.
    """

    started_at: float
    ended_at: float = math.inf
    is_lost: bool = False

    @property
    def span(self) -> Span:
        """Its beginning and end."""
        return self.started_at, self.ended_at


@attrs.frozen
class TimeShares:
    """Where the time of a job went, in seconds that add up to its duration.

    Attributes:
      first_wait: Time before its first run started.
      later_wait: Time after that in which nothing of it ran, as between the
        steps, the occurrences or the runs of a task.
      partly: Time in which runs were at work that finished their tasks, while
        others of their step waited to be started.
      running: The same, while none waited.
      lost: Time in which only runs were at work that did not.
    """

    first_wait: float = 0.0
    later_wait: float = 0.0
    partly: float = 0.0
    running: float = 0.0
    lost: float = 0.0


def measure_shares(
    runs: Mapping[RunKey, RunSpan],
    accepted_at: float,
    took: float,
    first_wait: float,
) -> TimeShares:
    """Divides the time of a job that has ended.

    Args:
      runs: Its runs.
      accepted_at: Unix time of its acceptance in seconds.
      took: Seconds from then to its end.
      first_wait: Seconds from then to its first start.
    """
    bounds = accepted_at, accepted_at + took
    useful = [run.span for run in runs.values() if not run.is_lost]
    lost = [run.span for run in runs.values() if run.is_lost]
    waits = list(_list_waits(runs))
    useful_seconds = _measure_union(useful, bounds)
    busy_seconds = _measure_union([*useful, *lost], bounds)
    partly_seconds = (
        useful_seconds
        + _measure_union(waits, bounds)
        - _measure_union([*useful, *waits], bounds)
    )
    first_wait = min(first_wait, took)
    return TimeShares(
        first_wait=first_wait,
        later_wait=max(0.0, took - first_wait - busy_seconds),
        partly=partly_seconds,
        running=useful_seconds - partly_seconds,
        lost=busy_seconds - useful_seconds,
    )


def _list_waits(runs: Mapping[RunKey, RunSpan]) -> Iterator[Span]:
    """Lists the spans in which a task waited although its step had begun."""
    step_began: dict[str, float] = collections.defaultdict(lambda: math.inf)
    for (task, _), run in runs.items():
        step = _get_step(task)
        step_began[step] = min(step_began[step], run.started_at)
    waits_since: dict[str, float] = {}
    for (task, _), run in sorted(runs.items()):
        since = waits_since.get(task, step_began[_get_step(task)])
        if since < run.started_at:
            yield since, run.started_at
        waits_since[task] = run.ended_at


def _get_step(task: str) -> str:
    """Returns what the ids of all tasks of an occurrence of a step share."""
    return task.rpartition('.')[0]


def _measure_union(spans: Iterable[Span], bounds: Span) -> float:
    """Returns the seconds within bounds that at least one span covers."""
    covered_until, end = bounds
    total = 0.0
    for span_start, span_end in sorted(spans):
        first, last = max(span_start, covered_until), min(span_end, end)
        if last > first:
            total += last - first
            covered_until = last
    return total
