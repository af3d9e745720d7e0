"""Budgets for extra copies of requests, and the pause before a retry.

Blind retries multiply the load just when there is no room for it. A budget
earns a small share with every request, so extra copies stay that share of
the traffic whatever happens.
"""

from __future__ import annotations

import random

import attrs

MAX_BALANCE = 20.0
"""Copies that quiet times can save up, for when several fail together."""

INITIAL_BALANCE = 3.0
BASE_PAUSE_SECONDS = 0.004
MAX_PAUSE_SECONDS = 0.1


@attrs.define
class Budget:
    """What may be spent on extra copies of requests.

    Attributes:
      balance: Copies that may be sent now.
    """

    balance: float = INITIAL_BALANCE

    def earn(self, share: float) -> None:
        """Takes note of a request of a caller."""
        self.balance = min(MAX_BALANCE, self.balance + share)

    def spend(self) -> bool:
        """Takes one copy if there is one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def choose_pause(tries: int, remaining: float, rng: random.Random) -> float:
    """Returns the seconds to wait before a retry, with full jitter.

    Source: Brooker, "Exponential Backoff And Jitter", 2015.

    Args:
      tries: How many tries there were.
      remaining: Seconds until the deadline.
      rng: Where randomness comes from.
    """
    longest = min(MAX_PAUSE_SECONDS, BASE_PAUSE_SECONDS * 2.0**tries)
    return min(remaining / 4, rng.uniform(0.0, longest))
