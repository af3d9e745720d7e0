"""Limits the rate of evictions in a slice."""

from __future__ import annotations

BURST_HOURS = 1 / 12
"""Capacity of the token bucket, as hours of its rate: five minutes."""


class EvictionBudget:
    """A token bucket of evictions.

    It begins empty, since otherwise each new owner of a slice could spend a
    full bucket. So over any time `t` at most `burst + rate * t` evictions are
    spent, whoever owns the slice.

    Args:
      per_hour: Evictions allowed per hour.
      now: Monotonic time.

    Attributes:
      forced: Number of evictions forced without a token, for urgent tasks.
    """

    def __init__(self, per_hour: float, now: float):
        self.forced = 0
        self._per_hour = per_hour
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def burst(self) -> float:
        """Capacity of the bucket."""
        return max(1.0, self._per_hour * BURST_HOURS)

    def set_rate(self, per_hour: float, now: float) -> None:
        """Changes the evictions allowed per hour."""
        self._refill(now)
        self._per_hour = per_hour
        self._tokens = min(self._tokens, self.burst)

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._refilled_at) * self._per_hour / 3600
        self._tokens = min(self.burst, self._tokens + earned)
        self._refilled_at = max(now, self._refilled_at)

    def try_spend(self, now: float) -> bool:
        """Spends one eviction; returns whether the budget allowed it."""
        self._refill(now)
        if self._per_hour <= 0 or self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True

    def force_spend(self, now: float) -> None:
        """Spends one eviction for an urgent task, even without a token.

        It uses up available tokens, so fewer are left for other evictions.
        """
        self._refill(now)
        if self._tokens < 1:
            self.forced += 1
        self._tokens = max(0.0, self._tokens - 1)
