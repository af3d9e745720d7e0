"""Chooses between upstreams that several daemons use at once.

Every daemon learns the load of the others one heartbeat late. If each always
took the least loaded upstream, all would send to the same one until the next
heartbeat; choosing the better of two random upstreams avoids that
(Mitzenmacher, "How Useful Is Old Information?", 2000). See
docs/design/routing-balance.md for measurements.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import Protocol

from lentilmount.routing.ejection import State
from lentilmount.routing.target import Target

MAX_DRAWS = 6
"""Random draws for two open upstreams before all upstreams are checked."""

SIGNIFICANT_RATIO = 1.25
"""Ratio of two expected times above which the lower one is chosen."""

SIGNIFICANT_SECONDS = 0.001
"""Smallest difference that is taken into account, in seconds; event loops add
random delays of this size."""

TaskIds = Collection[str]


class Balancer(Protocol):
    """Chooses one of several upstreams."""

    def choose(
        self,
        targets: Sequence[Target],
        tried: TaskIds,
        default_seconds: float,
        now: float,
    ) -> Target | None:
        """Returns an open upstream, or None if there is none.

        Args:
          targets: The upstreams to choose from.
          tried: Tasks that already got this request and are excluded.
          default_seconds: Expected response time of an upstream that has not
            answered yet, in seconds.
          now: Monotonic time in seconds.
        """


class PowerOfTwo:
    """Chooses the better of two random open upstreams, by expected time."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self,
        targets: Sequence[Target],
        tried: TaskIds,
        default_seconds: float,
        now: float,
    ) -> Target | None:
        """See `Balancer`."""
        rng = self._rng.random
        count = len(targets)
        first: Target | None = None
        for _ in range(MAX_DRAWS if count > 1 else 0):
            target = targets[int(rng() * count)]
            if target is first or not self._is_usable(target, tried, now):
                continue
            if first is not None:
                return choose_cheaper(first, target, default_seconds, now)
            first = target
        usable = [t for t in targets if self._is_usable(t, tried, now)]
        if len(usable) < 2:
            return usable[0] if usable else None
        one, other = self._rng.sample(usable, 2)
        return choose_cheaper(one, other, default_seconds, now)

    def _is_usable(self, target: Target, tried: TaskIds, now: float) -> bool:
        if not target.is_open() or target.upstream.task in tried:
            return False
        if target.health.state is State.SERVING:
            return True
        return self._rng.random() < target.health.get_traffic_share(now)


def choose_cheaper(
    one: Target, other: Target, default_seconds: float, now: float
) -> Target:
    """Returns the target with the lower expected time, or else lower load.

    Load decides unless the expected times differ significantly. They are
    estimates: if a difference within their error decided, an upstream that
    was once slightly slow would get no requests and not be measured again.
    """
    one_cost = one.get_cost(default_seconds, now)
    other_cost = other.get_cost(default_seconds, now)
    if one_cost > other_cost * SIGNIFICANT_RATIO + SIGNIFICANT_SECONDS:
        return other
    if other_cost > one_cost * SIGNIFICANT_RATIO + SIGNIFICANT_SECONDS:
        return one
    return other if other.get_load() < one.get_load() else one


def choose_by_zone(
    balancer: Balancer,
    local: Sequence[Target],
    remote: Sequence[Target],
    tried: TaskIds,
    default_seconds: float,
    spill: float,
    now: float,
) -> Target | None:
    """Chooses in the local availability zone unless another zone is faster.

    Args:
      balancer: Chooses among the upstreams of one list.
      local: Upstreams of the local zone.
      remote: Upstreams of the other zones; their measured times include the
        round trip between zones.
      tried: Tasks that already got this request and are excluded.
      default_seconds: Expected response time of an upstream that has not
        answered yet, in seconds.
      spill: Seconds by which another zone must be faster to be chosen.
      now: Monotonic time in seconds.
    """
    local_target = balancer.choose(local, tried, default_seconds, now)
    if local_target is None:
        return balancer.choose(remote, tried, default_seconds, now)
    cost = local_target.get_cost(default_seconds, now)
    if cost <= default_seconds + spill and local_target.get_load() <= 1.0:
        return local_target
    remote_target = balancer.choose(remote, tried, default_seconds, now)
    if (
        remote_target is None
        or remote_target.get_cost(default_seconds, now) + spill >= cost
    ):
        return local_target
    return remote_target
