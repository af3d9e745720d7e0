"""Request rate limits of teams, which protect other teams from bursts."""

from __future__ import annotations

import attrs

from lentilmount.errors import ErrorKind, UpstreamError

BURST_SECONDS = 1.0
"""Size of a burst that is admitted, in seconds of the rate."""


@attrs.define
class TokenBucket:
    """A token bucket; each request takes one token.

    Attributes:
      tokens: Tokens available at `updated_at`.
      updated_at: Monotonic time of the last update, in seconds.
    """

    tokens: float
    updated_at: float

    def take(self, rate: float, now: float) -> float:
        """Takes a token if one is available.

        Args:
          rate: Tokens added per second.
          now: Monotonic time in seconds.

        Returns:
          0 if a token was taken, else the seconds until one is available.
        """
        burst = max(1.0, rate * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + (now - self.updated_at) * rate)
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate


class TeamLimits:
    """Request rate limits of teams on this daemon, one bucket for each.

    The platform's load balancer spreads callers evenly, so each daemon admits
    the team's rate divided by the number of daemons that are up.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def admit(self, team: str, rate: float, daemons: int, now: float) -> None:
        """Admits a request of a team.

        Args:
          team: Name of the team.
          rate: Requests per second over all daemons.
          daemons: Number of daemons that are up.
          now: Monotonic time in seconds.

        Raises:
          UpstreamError: The team exceeds its rate limit.
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
