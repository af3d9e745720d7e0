"""Ejects upstreams that fail, stall or are much slower than others.

An upstream goes from SERVING to EJECTED, for a time that doubles with each
ejection, then to RETURNING, with one request at a time and a rising share of
the traffic, and back to SERVING. At most a fixed share of a service's
upstreams is ejected: if most of them look faulty, the cause is elsewhere, and
the remaining ones would be overloaded.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from typing import Protocol

import attrs

MAX_EJECTED_SHARE = 0.3
FAILURES_TO_EJECT = 5
"""Consecutive failures after which an upstream is ejected."""

SLOW_FACTOR = 3.0
"""Ratio of response time to the median of the service's upstreams above which
an upstream is ejected."""

STALL_FACTOR = 2.5
"""Time without any response after which an upstream is ejected, as a multiple
of the high quantile of the service's response times."""

MIN_STALL_SECONDS = 0.1
EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 60.0
RETURN_SECONDS = 5.0
INITIAL_SHARE = 0.05
JITTER = 0.2


class State(enum.Enum):
    """State of an upstream's health."""

    SERVING = 'serving'
    EJECTED = 'ejected'
    RETURNING = 'returning'


@attrs.define
class Health:
    """Health of one upstream.

    Attributes:
      state: Current state.
      state_ends_at: Monotonic time at which the state ends, in seconds; unused
        while serving.
      failures: Consecutive failures.
      ejections: Ejections since the upstream last returned to SERVING.
    """

    state: State = State.SERVING
    state_ends_at: float = 0.0
    failures: int = 0
    ejections: int = 0

    def advance(self, now: float) -> None:
        """Enters the next state if the time of the current one is over."""
        if self.state is State.SERVING or now < self.state_ends_at:
            return
        if self.state is State.EJECTED:
            self.state = State.RETURNING
            self.state_ends_at = now + RETURN_SECONDS
            self.failures = 0
        else:
            self.state = State.SERVING
            self.ejections = 0

    def get_traffic_share(self, now: float) -> float:
        """Returns the share of its regular traffic that the upstream gets."""
        if self.state is State.SERVING:
            return 1.0
        if self.state is State.EJECTED:
            return 0.0
        return max(
            INITIAL_SHARE, 1.0 - (self.state_ends_at - now) / RETURN_SECONDS
        )

    def eject(self, now: float, rng: random.Random) -> None:
        """Ejects the upstream, for twice as long each time."""
        seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2.0**self.ejections)
        # Without jitter, daemons that ejected an upstream at the same time
        # would all send to it again at the same time.
        seconds *= rng.uniform(1 - JITTER, 1 + JITTER)
        self.state = State.EJECTED
        self.state_ends_at = now + seconds
        self.ejections += 1
        self.failures = 0

    @property
    def is_failing(self) -> bool:
        """Whether the upstream has too many consecutive failures."""
        if self.state is State.RETURNING:
            return self.failures > 0
        return self.failures >= FAILURES_TO_EJECT


class Ejectable(Protocol):
    """Interface of an upstream that can be ejected."""

    @property
    def health(self) -> Health:
        """Health of the upstream."""

    @property
    def smoothed_seconds(self) -> float:
        """Smoothed response time in seconds; 0 before the first response."""

    def get_stalled_seconds(self, now: float) -> float:
        """Returns the seconds since the last progress of pending requests."""


def can_eject_one_more(healths: Sequence[Health]) -> bool:
    """Returns whether one more of these upstreams may be ejected."""
    ejected = sum(health.state is State.EJECTED for health in healths)
    return ejected + 1 <= max(1, int(len(healths) * MAX_EJECTED_SHARE)) and (
        len(healths) > 1
    )


def find_ejection_cause(
    target: Ejectable, median: float, high_quantile: float, now: float
) -> str:
    """Returns why an upstream should be ejected, or '' if it should not.

    Args:
      target: The upstream.
      median: Median of the smoothed response times of the service's
        upstreams, in seconds; 0 if unknown.
      high_quantile: High quantile of the service's response times, in seconds;
        0 if unknown.
      now: Monotonic time in seconds.
    """
    if target.health.is_failing:
        return 'it fails'
    if high_quantile:
        stall = max(MIN_STALL_SECONDS, high_quantile * STALL_FACTOR)
        if target.get_stalled_seconds(now) > stall:
            return 'it does not answer'
    if median and target.smoothed_seconds > median * SLOW_FACTOR:
        return 'it is slow'
    return ''
