"""Keeping traffic from upstreams that fail, stall or are far too slow.

SERVING -> EJECTED for a while that doubles -> RETURNING, with one request at
a time and a rising share of the traffic -> SERVING. Never more than a set
share of a service's upstreams is ejected: where most look bad, the cause is
elsewhere, and the rest would be crushed.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from typing import Protocol

import attrs

MAX_EJECTED_SHARE = 0.3
FAILURES_TO_EJECT = 5
"""Failures in a row that eject."""

SLOW_FACTOR = 3.0
"""Ratio to the median of the service's upstreams that ejects."""

STALL_FACTOR = 2.5
"""Time without any answer, as a multiple of the service's high quantile."""

MIN_STALL_SECONDS = 0.1
EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 60.0
RETURN_SECONDS = 5.0
INITIAL_SHARE = 0.05
JITTER = 0.2


class State(enum.Enum):
    """How an upstream stands."""

    SERVING = 'serving'
    EJECTED = 'ejected'
    RETURNING = 'returning'


@attrs.define
class Health:
    """One upstream's state.

    Attributes:
      state: How it stands.
      state_ends_at: Monotonic time when the state ends by itself.
      failures: Failures in a row.
      ejections: Ejections without a full return in between.
    """

    state: State = State.SERVING
    state_ends_at: float = 0.0
    failures: int = 0
    ejections: int = 0

    def advance(self, now: float) -> None:
        """Moves on when the time of a state is over."""
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
        """Returns the share of its traffic that an upstream gets now."""
        if self.state is State.SERVING:
            return 1.0
        if self.state is State.EJECTED:
            return 0.0
        return max(
            INITIAL_SHARE, 1.0 - (self.state_ends_at - now) / RETURN_SECONDS
        )

    def eject(self, now: float, rng: random.Random) -> None:
        """Ejects, for longer each time."""
        seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2.0**self.ejections)
        # Daemons that ejected together would also come back together.
        seconds *= rng.uniform(1 - JITTER, 1 + JITTER)
        self.state = State.EJECTED
        self.state_ends_at = now + seconds
        self.ejections += 1
        self.failures = 0

    @property
    def is_failing(self) -> bool:
        """Whether its failures in a row are too many."""
        if self.state is State.RETURNING:
            return self.failures > 0
        return self.failures >= FAILURES_TO_EJECT


class Ejectable(Protocol):
    """What an upstream's ejection is judged by."""

    @property
    def health(self) -> Health:
        """Its state."""

    @property
    def smoothed_seconds(self) -> float:
        """Smoothed seconds of its answers; 0 where there is none."""

    def get_stalled_seconds(self, now: float) -> float:
        """Returns the seconds that it has owed an answer."""


def can_eject_one_more(healths: Sequence[Health]) -> bool:
    """Tells whether one more of these may be ejected."""
    out = sum(health.state is State.EJECTED for health in healths)
    return out + 1 <= max(1, int(len(healths) * MAX_EJECTED_SHARE)) and (
        len(healths) > 1
    )


def find_ejection_cause(
    target: Ejectable, median: float, high_quantile: float, now: float
) -> str:
    """Tells why an upstream should be ejected; '' if it should not.

    Args:
      target: The upstream.
      median: Median of the smoothed times of the service's upstreams.
      high_quantile: High quantile of the service's times; 0 if unknown.
      now: Monotonic time.
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
