"""How many evictions a slice may spend."""

from __future__ import annotations

BURST_HOURS = 1 / 12
"""Unspent evictions are kept for five minutes' worth at most."""


class EvictionBudget:
    """A token bucket of evictions.

    It begins empty: a slice that changes hands often would otherwise spend a
    full bucket with each owner. So over any time `t` at most `burst + rate * t`
    evictions are spent, whoever owns the slice.

    Attributes:
      forced: Evictions that were spent without a token, for urgent work.
    """

    def __init__(self, per_hour: float, now: float):
        self.forced = 0
        self._per_hour = per_hour
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def burst(self) -> float:
        """Most evictions at one moment."""
        return max(1.0, self._per_hour * BURST_HOURS)

    def set_rate(self, per_hour: float, now: float) -> None:
        """Changes the evictions that an hour allows."""
        self._refill(now)
        self._per_hour = per_hour
        self._tokens = min(self._tokens, self.burst)

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._refilled_at) * self._per_hour / 3600
        self._tokens = min(self.burst, self._tokens + earned)
        self._refilled_at = max(now, self._refilled_at)

    def try_spend(self, now: float) -> bool:
        """Spends one eviction if the budget allows it."""
        self._refill(now)
        if self._per_hour <= 0 or self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True

    def force_spend(self, now: float) -> None:
        """Spends one eviction for urgent work, which does not wait.

        It takes what tokens there are, so it leaves fewer for the rest.
        """
        self._refill(now)
        if self._tokens < 1:
            self.forced += 1
        self._tokens = max(0.0, self._tokens - 1)
