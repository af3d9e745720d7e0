"""Routing state of one upstream on this daemon."""

from __future__ import annotations

import math

from lentilmount.routing.concurrency import AdaptiveLimit
from lentilmount.routing.directory import Upstream
from lentilmount.routing.ejection import Health, State
from lentilmount.routing.latency import LatencyModel

LOAD_AVERAGING_SECONDS = 0.5
"""Time over which the load reported to peers is averaged: one heartbeat."""


class Target:
    """Load, limit, latency and health of an upstream.

    Attributes:
      upstream: The upstream.
      own_in_flight: Number of this daemon's requests there.
      other_in_flight: Number of other daemons' requests there, as reported.
      slots: Number of requests that the upstream runs concurrently.
      fair_share: This daemon's slots when all daemons send requests.
      max_connections: Maximum connections of this daemon to the upstream.
      limit: Adaptive limit of requests without queueing.
      latency: Estimates of the response time by load.
      health: Ejection state.
    """

    __slots__ = (
        '_mean_in_flight',
        '_averaged_at',
        '_progress_at',
        'fair_share',
        'health',
        'latency',
        'limit',
        'other_in_flight',
        'own_in_flight',
        'max_connections',
        'slots',
        'upstream',
    )

    def __init__(self, upstream: Upstream, slots: int, max_connections: int):
        self.upstream = upstream
        self.own_in_flight = 0
        self.other_in_flight = 0.0
        self.slots = slots
        self.fair_share = slots
        self.max_connections = max_connections
        self.limit = AdaptiveLimit(float(max(1, max_connections)))
        self.latency = LatencyModel()
        self.health = Health()
        self._mean_in_flight = 0.0
        self._averaged_at = 0.0
        self._progress_at = 0.0

    @property
    def smoothed_seconds(self) -> float:
        """See `Ejectable`."""
        return self.limit.smoothed_seconds

    def get_stalled_seconds(self, now: float) -> float:
        """See `Ejectable`."""
        return now - self._progress_at if self.own_in_flight else 0.0

    def get_request_limit(self) -> int:
        """Returns the number of requests that this daemon may have here now.

        The connection limit is a hard bound. Within it a daemon uses its fair
        share of the slots, and more if other daemons leave some unused.
        """
        if self.health.state is State.RETURNING:
            return min(1, self.max_connections)
        available = max(
            self.fair_share, self.slots - round(self.other_in_flight)
        )
        return min(self.max_connections, int(self.limit.value), available)

    def is_open(self) -> bool:
        """Returns whether one more request may be sent."""
        return (
            self.own_in_flight < self.get_request_limit()
            and self.health.state is not State.EJECTED
        )

    def get_load(self) -> float:
        """Returns the share of the slots in use, including one more request."""
        return (self.own_in_flight + self.other_in_flight + 1.0) / self.slots

    def get_cost(self, default_seconds: float, now: float) -> float:
        """Returns the expected response time of one more request, in seconds.

        An upstream whose pending requests make no progress is expected to
        take at least that long: it is the only sign that it has stalled.
        """
        expected = self.latency.estimate(self.get_load(), default_seconds, now)
        return max(expected, self.get_stalled_seconds(now))

    def begin(self, now: float) -> None:
        """Records that a request is sent."""
        self._update_mean(now)
        if not self.own_in_flight:
            self._progress_at = now
        self.own_in_flight += 1

    def end(self, now: float) -> None:
        """Records that a request has ended."""
        self._update_mean(now)
        self.own_in_flight -= 1
        self._progress_at = now

    def observe(self, seconds: float, now: float) -> None:
        """Records the time of a response; to be called before `end`."""
        self.limit.observe(seconds, self.own_in_flight, now)
        load = (self.own_in_flight + self.other_in_flight) / self.slots
        self.latency.observe(load, seconds, now)

    def _update_mean(self, now: float) -> None:
        elapsed = now - self._averaged_at
        decay = math.exp(-elapsed / LOAD_AVERAGING_SECONDS)
        self._mean_in_flight = (
            self.own_in_flight
            + (self._mean_in_flight - self.own_in_flight) * decay
        )
        self._averaged_at = now

    def get_mean_in_flight(self, now: float) -> float:
        """Returns this daemon's smoothed number of requests, for peers."""
        self._update_mean(now)
        return self._mean_in_flight

    def resize(self, slots: int, max_connections: int) -> None:
        """Applies the slots and connections of the current specification."""
        self.slots = slots
        self.max_connections = max_connections
        self.limit.ceiling = float(max(1, max_connections))

    def reset(self) -> None:
        """Discards all estimates, when the upstream returns after ejection."""
        self.latency.forget()
        self.limit = AdaptiveLimit(self.limit.ceiling)
