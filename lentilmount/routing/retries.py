"""Budgets for extra copies of requests, and the pause before a retry.

Unlimited retries multiply the load when upstreams are already overloaded. A
budget earns a small share of a copy with each request, so that extra copies
stay a fixed share of the traffic.
"""

from __future__ import annotations

import random

import attrs

MAX_BALANCE = 20.0
"""Maximum copies that can accumulate, for when several requests fail at
once."""

INITIAL_BALANCE = 3.0
BASE_PAUSE_SECONDS = 0.004
MAX_PAUSE_SECONDS = 0.1


@attrs.define
class Budget:
    """Budget of extra copies of requests, used for retries and for hedges.

    Attributes:
      balance: Number of copies that may be sent now.
    """

    balance: float = INITIAL_BALANCE

    def earn(self, share: float) -> None:
        """Adds the share of a copy that one caller's request earns."""
        self.balance = min(MAX_BALANCE, self.balance + share)

    def spend(self) -> bool:
        """Spends one copy; returns False if the balance is too low."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def choose_pause(tries: int, remaining: float, rng: random.Random) -> float:
    """Returns the seconds to wait before a retry, with full jitter.

    Source: Brooker, "Exponential Backoff And Jitter", 2015.

    Args:
      tries: Number of attempts so far.
      remaining: Seconds until the deadline.
      rng: Where randomness comes from.
    """
    longest = min(MAX_PAUSE_SECONDS, BASE_PAUSE_SECONDS * 2.0**tries)
    return min(remaining / 4, rng.uniform(0.0, longest))
