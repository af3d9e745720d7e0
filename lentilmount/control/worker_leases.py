"""The leases granted to one worker, and when they have certainly expired.

Leases and deadlines are times on the worker's clock, which starts anew with
each incarnation and may be slow. An owner reads it from each answer.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lentilmount.control.session_listener import SessionListener
from lentilmount.scheduling.model import Worker

START_TIMEOUT_SECONDS = 3.0
"""Time within which a worker must begin a start. Until then the task of an
unanswered start can't be placed on another worker. It allows three calls."""

MIN_CLOCK_RATE = 0.98
"""Slowest rate of a worker's clock that the platform allows."""

CLOCK_TOLERANCE_MS = 50
"""Time for which an answer may have been on its way."""

EXPIRY_MARGIN_SECONDS = 0.1
"""Time for a worker to end its tasks once a lease has expired."""


@attrs.define(eq=False)
class WorkerLeases:
    """An owner's leases on one worker.

    Attributes:
      worker: The worker; its `leases_expire_at` is kept here.
      lease_seconds: Longest lease, in seconds.
      monotonic: Returns monotonic time in seconds.
      listener: The owner, which may renew leases or not.
      clock_behind_at: Monotonic time at which an answer last showed a clock
        that was behind, perhaps that of a new incarnation.
    """

    worker: Worker
    lease_seconds: float
    monotonic: Callable[[], float]
    listener: SessionListener
    clock_behind_at: float = -math.inf
    _clock_ms: int | None = None
    _clock_read_at: float = 0.0
    _last_expiry_ms: int = 0
    _inherited_expiry: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Stores when the previous owner's leases expire."""
        self._inherited_expiry = self.worker.leases_expire_at

    def _may_renew(self) -> bool:
        worker = self.worker
        is_allowed = worker.renews_leases and not worker.is_reported_unreachable
        return worker.reachable and is_allowed and self.listener.may_renew()

    def choose_renewal_expiry(self) -> int | None:
        """Returns when renewed leases expire on the worker's clock, or None.

        A worker whose answers get lost may still receive every call. If each
        call renewed its leases, nobody could know that they have expired, so
        only the first call without an answer renews them.
        """
        return self.choose_lease_end() if self._may_renew() else None

    def choose_lease_end(self) -> int:
        """Returns when a lease granted now expires, on the worker's clock.

        For an unreachable worker this is the previous expiry. A start is sent
        until it is answered: if each copy renewed the leases of a lost worker,
        they would never expire and its tasks could not start elsewhere. The
        same applies when this owner may no longer renew leases, as the next
        owner starts the tasks elsewhere once these leases have expired.
        """
        return self._grant_lease(self.lease_seconds)

    def choose_start_deadline(self) -> int:
        """Returns the time by which a start must begin, on the worker's clock.

        It is much closer than the end of a lease. The worker executes no copy
        of the start after it, so the task can soon go to another worker. The
        worker's leases, which polls renew, do not become shorter.
        """
        return self._grant_lease(min(START_TIMEOUT_SECONDS, self.lease_seconds))

    def _grant_lease(self, seconds: float) -> int:
        if self._clock_ms is None or not self._may_renew():
            return self._last_expiry_ms
        elapsed = self.monotonic() - self._clock_read_at
        expiry_ms = self._clock_ms + int(1000 * (elapsed + seconds))
        self._last_expiry_ms = max(self._last_expiry_ms, expiry_ms)
        self._update_lease_expiry()
        return expiry_ms

    def _update_lease_expiry(self) -> None:
        if self._clock_ms is None or not self._last_expiry_ms:
            # This owner has granted no lease yet. Those of the previous owner
            # may still be valid, and its tasks would run twice if freed early.
            return
        remaining = (self._last_expiry_ms - self._clock_ms) / 1000
        expires_at = (
            self._clock_read_at
            + remaining / MIN_CLOCK_RATE
            + EXPIRY_MARGIN_SECONDS
        )
        # The previous owner's leases may end after the deadline of a start.
        self.worker.leases_expire_at = max(expires_at, self._inherited_expiry)

    def update_clock(self, clock_ms: int | None) -> None:
        """Updates the worker's clock from the answer to a call."""
        if clock_ms is None:
            return
        if self._is_behind(clock_ms):
            # Perhaps a new incarnation, which takes a deadline by the clock of
            # the earlier one for the longest lease.
            self.clock_behind_at = self.monotonic()
            self.bound(0.0)
        if clock_ms < (self._clock_ms or 0):
            return
        self._clock_ms = clock_ms
        self._clock_read_at = self.worker.last_answer_at = self.monotonic()
        self._update_lease_expiry()
        self._expire_starts(clock_ms)

    def _is_behind(self, clock_ms: int) -> bool:
        """Returns whether the worker's clock shows less than it must by now."""
        if self._clock_ms is None:
            return False
        elapsed = self.monotonic() - self._clock_read_at
        expected_ms = self._clock_ms + 1000 * elapsed * MIN_CLOCK_RATE
        return clock_ms < expected_ms - CLOCK_TOLERANCE_MS

    def _expire_starts(self, clock_ms: int) -> None:
        """Marks the starts whose deadline has passed on the worker's clock."""
        now = self.monotonic()
        for task in self.worker.tasks.values():
            is_pending = math.isinf(task.confirmed_at)
            if is_pending and 0 < task.start_deadline_ms < clock_ms:
                task.start_expired_at = min(task.start_expired_at, now)

    def bound_inherited(self) -> None:
        """Bounds the expiry of leases that the previous owner may have granted.

        The worker has answered this owner, so it accepts no more from others.
        """
        if not self.worker.leases_expire_at:
            self.bound(0.0)

    def bound(self, delay: float) -> None:
        """Assumes the longest lease from any call of up to now.

        Args:
          delay: Longest time in seconds until such a call arrives.
        """
        longest = self.lease_seconds / MIN_CLOCK_RATE + EXPIRY_MARGIN_SECONDS
        self._inherited_expiry = self.monotonic() + delay + longest
        self.worker.leases_expire_at = max(
            self.worker.leases_expire_at, self._inherited_expiry
        )

    def reset(self, delay: float) -> None:
        """Forgets the clock and the leases of an incarnation that has ended.

        Args:
          delay: Longest time in seconds until a call of up to now with a lease
            arrives at the next one.
        """
        self._clock_ms = None
        self._last_expiry_ms = 0
        self.bound(delay)
