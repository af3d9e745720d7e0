"""One upstream as this daemon's routing sees it."""

from __future__ import annotations

import math

from lentilmount.routing.concurrency import AdaptiveLimit
from lentilmount.routing.directory import Upstream
from lentilmount.routing.ejection import Health, State
from lentilmount.routing.latency import LatencyModel

LOAD_SECONDS = 0.5
"""Time over which the load told to peers is averaged: one heartbeat."""


class Target:
    """An upstream's load, limit, latency and health.

    Attributes:
      upstream: The upstream.
      own_in_flight: Requests that this daemon has there.
      other_in_flight: Requests that the other daemons said they have there.
      slots: Requests that it runs at once.
      fair_share: Slots that are this daemon's if all daemons want some.
      share: Most connections of this daemon.
      limit: What it takes without queueing, as learned.
      latency: How long it takes at which load.
      health: Whether it may be used.
    """

    __slots__ = (
        '_average',
        '_averaged_at',
        '_progress_at',
        'fair_share',
        'health',
        'latency',
        'limit',
        'other_in_flight',
        'own_in_flight',
        'share',
        'slots',
        'upstream',
    )

    def __init__(self, upstream: Upstream, slots: int, share: int):
        self.upstream = upstream
        self.own_in_flight = 0
        self.other_in_flight = 0.0
        self.slots = slots
        self.fair_share = slots
        self.share = share
        self.limit = AdaptiveLimit(float(max(1, share)))
        self.latency = LatencyModel()
        self.health = Health()
        self._average = 0.0
        self._averaged_at = 0.0
        self._progress_at = 0.0

    @property
    def recent(self) -> float:
        """See `Ejectable`."""
        return self.limit.recent

    def get_silence(self, now: float) -> float:
        """See `Ejectable`."""
        return now - self._progress_at if self.own_in_flight else 0.0

    def get_request_limit(self) -> int:
        """Returns how many requests this daemon may have here now.

        The connection share is the hard end. Within it a daemon takes its
        fair part of the slots, and more where the others leave some unused.
        """
        if self.health.state is State.RETURNING:
            return min(1, self.share)
        room = max(self.fair_share, self.slots - round(self.other_in_flight))
        return min(self.share, int(self.limit.value), room)

    def is_open(self) -> bool:
        """Tells whether one more request may be sent."""
        return (
            self.own_in_flight < self.get_request_limit()
            and self.health.state is not State.EJECTED
        )

    def get_load(self) -> float:
        """Returns the share of the slots in use, one more included."""
        return (self.own_in_flight + self.other_in_flight + 1.0) / self.slots

    def get_cost(self, unknown: float, now: float) -> float:
        """Returns the expected seconds of one more request.

        An upstream that has owed an answer for some time takes at least as
        long; one that falls silent gives no other sign.
        """
        expected = self.latency.estimate(self.get_load(), unknown, now)
        return max(expected, self.get_silence(now))

    def begin(self, now: float) -> None:
        """Takes note that a request is sent."""
        self._average_load(now)
        if not self.own_in_flight:
            self._progress_at = now
        self.own_in_flight += 1

    def end(self, now: float) -> None:
        """Takes note that a request is over."""
        self._average_load(now)
        self.own_in_flight -= 1
        self._progress_at = now

    def observe(self, seconds: float, now: float) -> None:
        """Takes in the time of an answer; called before `end`."""
        self.limit.observe(seconds, self.own_in_flight, now)
        load = (self.own_in_flight + self.other_in_flight) / self.slots
        self.latency.observe(load, seconds, now)

    def _average_load(self, now: float) -> None:
        passed = now - self._averaged_at
        fade = math.exp(-passed / LOAD_SECONDS)
        self._average = (
            self.own_in_flight + (self._average - self.own_in_flight) * fade
        )
        self._averaged_at = now

    def read_average(self, now: float) -> float:
        """Returns the smoothed number of own requests, for peers."""
        self._average_load(now)
        return self._average

    def resize(self, slots: int, share: int) -> None:
        """Takes in what the service declares now."""
        self.slots = slots
        self.share = share
        self.limit.ceiling = float(max(1, share))

    def restart(self) -> None:
        """Forgets what was learned, when it returns after an ejection."""
        self.latency.forget()
        self.limit = AdaptiveLimit(self.limit.ceiling)
