"""Limits of requests per team, so that one's wave leaves room for others."""

from __future__ import annotations

import attrs

from lentilmount.errors import ErrorKind, UpstreamError

BURST_SECONDS = 1.0
"""Requests that may come at once, as seconds of the rate."""


@attrs.define
class TokenBucket:
    """Tokens that fill up at a rate; a request takes one.

    Attributes:
      tokens: What is there, as of `updated_at`.
      updated_at: Monotonic time.
    """

    tokens: float
    updated_at: float

    def take(self, rate: float, now: float) -> float:
        """Takes a token.

        Returns:
          0 if there was one, else the seconds until there is.
        """
        most = max(1.0, rate * BURST_SECONDS)
        self.tokens = min(most, self.tokens + (now - self.updated_at) * rate)
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate


class TeamLimits:
    """One bucket for each team, on each daemon.

    The platform's balancer spreads callers evenly, so each daemon allows the
    team's rate divided by the daemons that are up.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def admit(self, team: str, rate: float, daemons: int, now: float) -> None:
        """Lets a request in.

        Args:
          team: The team.
          rate: Requests a second over all daemons.
          daemons: Daemons that are up.
          now: Monotonic time.

        Raises:
          UpstreamError: The team is over its limit.
        """
        share = rate / max(1, daemons)
        bucket = self._buckets.get(team)
        if bucket is None:
            full = max(1.0, share * BURST_SECONDS)
            bucket = self._buckets[team] = TokenBucket(full, now)
        wait = bucket.take(share, now)
        if wait:
            raise UpstreamError(
                f'team {team} is over its {rate:g} requests a second',
                kind=ErrorKind.LIMITED,
                retry_after=wait,
            )
