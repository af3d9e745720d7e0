"""Bounds the starts that are decided and not answered yet.

Load pattern: an owner decides on more starts than its network link or its
processor can send. Each start carries the payload of its job, once for each of
the tens of tasks of a step. Sent all at once, they form a queue in front of the
calls that renew leases. Once that queue is longer than the timeout of a call,
the owner takes workers for silent, repeats calls that are still under way, and
no longer recovers.

Tasks that wait here instead of in that queue keep their order: an urgent one
that arrives later is still sent first.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.model import PlacedRun, Task
from lentilmount.scheduling.ranking import is_restart_overdue, is_urgent

START_OVERHEAD_BYTES = 500
"""Bytes of a start beside its payload: headers, task, deadline and answer."""

INITIAL_SECONDS = 0.25
"""Time that the starts of a full window take on an otherwise idle link, until
answers have been measured."""

TARGET_ANSWER_SECONDS = 0.3
"""Mean time from sending a start until its answer above which starts queue up.
Workers answer within a few milliseconds, and calls time out after 0.8 s."""

UNANSWERED_SECONDS = 0.8
"""Time after which a start without an answer no longer counts as under way."""

MAX_UNANSWERED_SHARE = 0.5
"""Share of starts without an answer above which the cause is probably here and
not at the workers."""

ADJUST_SECONDS = 0.25
"""Interval between changes of the limit: about one round of answers."""

MIN_SAMPLES = 5
"""Number of settled starts needed for a change of the limit."""

GROWTH = 1.1
BACKOFF = 0.8
"""Factors of the limit per interval: while it binds and answers come in time,
and while they do not."""

MIN_LIMIT_BYTES = 90_000
"""Smallest limit, about 60 starts: a pass places as many at once, and on a host
with a tenth of a core a call takes long however few there are."""

URGENT_SHARE = 0.25
"""Share of the limit for urgent tasks, and for long-running ones that must run
again."""


def measure_start(payload: str) -> int:
    """Returns about how many bytes a start takes on the network."""
    return START_OVERHEAD_BYTES + len(payload)


@attrs.define
class _Interval:
    """What was measured since the last change of the limit.

    Attributes:
      began_at: Monotonic time in seconds.
      answer_seconds: Answer times of the starts that workers confirmed.
      unanswered: Number of starts without an answer.
      max_in_flight: Most bytes of starts under way at any time.
      was_binding: Whether the limit has kept a task waiting.
    """

    began_at: float = -math.inf
    answer_seconds: list[float] = attrs.Factory(list)
    unanswered: int = 0
    max_in_flight: int = 0
    was_binding: bool = False

    @property
    def samples(self) -> int:
        """Number of settled starts."""
        return len(self.answer_seconds) + self.unanswered

    @property
    def mean_answer_seconds(self) -> float:
        """Mean answer time in seconds; 0 if no start was answered."""
        return sum(self.answer_seconds) / max(1, len(self.answer_seconds))

    @property
    def is_congested(self) -> bool:
        """Whether starts queue up on this host or its link."""
        if self.unanswered > MAX_UNANSWERED_SHARE * self.samples:
            return True
        return self.mean_answer_seconds > TARGET_ANSWER_SECONDS


@attrs.define
class StartWindow:
    """Limits the bytes of starts under way, by the time that answers take.

    Attributes:
      limit: Bytes of starts that may be under way; infinite until the first
        sign of congestion if the rate of the link is not known.
      in_flight: Bytes of starts that are decided and not answered.
      mean_answer_seconds: Mean answer time before the last change of the limit.
      unanswered: Number of starts without an answer in that time.
    """

    limit: float = math.inf
    in_flight: int = 0
    mean_answer_seconds: float = 0.0
    unanswered: int = 0
    _under_way: dict[PlacedRun, int] = attrs.Factory(dict)
    _interval: _Interval = attrs.Factory(_Interval)

    @property
    def is_binding(self) -> bool:
        """Whether the limit has kept a task waiting since its last change."""
        return self._interval.was_binding

    def update(self, now: float) -> None:
        """Settles answered starts and adjusts the limit.

        Args:
          now: Monotonic time in seconds.
        """
        for placed_run in list(self._under_way):
            if self._is_settled(placed_run, now):
                self.in_flight -= self._under_way.pop(placed_run)
        if now - self._interval.began_at >= ADJUST_SECONDS:
            self._adjust(now)

    def _is_settled(self, placed_run: PlacedRun, now: float) -> bool:
        """Returns whether a start needs no more of the window; measures it."""
        task = placed_run.task
        if placed_run.is_due and math.isinf(task.start_sent_at):
            # Its worker may stay silent until its leases have expired.
            return task.is_watched
        if placed_run.is_due:
            is_late = now - task.start_sent_at > UNANSWERED_SECONDS
            self._interval.unanswered += is_late
            return is_late
        took = task.confirmed_at - task.start_sent_at
        if task.run == placed_run.run and 0 <= took < math.inf:
            self._interval.answer_seconds.append(took)
        return True

    def _adjust(self, now: float) -> None:
        interval = self._interval
        if interval.samples < MIN_SAMPLES:
            # Whatever it was may be over, without any start being answered.
            interval.was_binding = False
            return
        self.mean_answer_seconds = interval.mean_answer_seconds
        self.unanswered = interval.unanswered
        if interval.is_congested:
            used = min(self.limit, interval.max_in_flight)
            self.limit = max(MIN_LIMIT_BYTES, BACKOFF * used)
        elif interval.was_binding:
            self.limit *= GROWTH
        self._interval = _Interval(now, max_in_flight=self.in_flight)

    def admits(self, task: Task, now: float) -> bool:
        """Returns whether the start of a task may be decided now."""
        limit = self.limit
        if not is_urgent(task) and not is_restart_overdue(task, now):
            limit *= 1 - URGENT_SHARE
        is_admitted = self.in_flight < limit
        self._interval.was_binding |= not is_admitted
        return is_admitted

    def add(self, task: Task) -> None:
        """Records that the start of a placed task was decided."""
        size = measure_start(task.job.spec.payload)
        self._under_way[PlacedRun(task, task.run)] = size
        self.in_flight += size
        self._interval.max_in_flight = max(
            self._interval.max_in_flight, self.in_flight
        )


def make_start_window(link_bytes_per_second: float) -> StartWindow:
    """Returns the window of an owner, given the rate of its link.

    It starts small enough for the link: a new owner finds more work waiting
    than the one before it could send.
    """
    limit = max(MIN_LIMIT_BYTES, INITIAL_SECONDS * link_bytes_per_second)
    return StartWindow(limit)
