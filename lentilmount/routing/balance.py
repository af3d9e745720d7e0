"""Choosing between upstreams that several daemons use at once.

Every daemon sees the others' load a heartbeat late. Always taking the least
loaded upstream makes all daemons rush to the same one until the next
heartbeat; two random choices do not (Mitzenmacher, "How Useful Is Old
Information?", 2000). See docs/design/routing-balance.md for the figures.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import Protocol

from lentilmount.routing.ejection import State
from lentilmount.routing.target import Target

PROBES = 6
"""Random looks for two open upstreams before all are looked at."""

Names = Collection[str]


class Balancer(Protocol):
    """Chooses one of several upstreams."""

    def choose(
        self,
        targets: Sequence[Target],
        tried: Names,
        unknown: float,
        now: float,
    ) -> Target | None:
        """Chooses an upstream that is open; None if there is none.

        Args:
          targets: The upstreams.
          tried: Tasks that are not to be chosen.
          unknown: Seconds to expect of an upstream without answers yet.
          now: Monotonic time.
        """


class PowerOfTwo:
    """The cheaper of two random open upstreams, by expected time."""

    def __init__(self, chance: random.Random):
        self._chance = chance

    def choose(
        self,
        targets: Sequence[Target],
        tried: Names,
        unknown: float,
        now: float,
    ) -> Target | None:
        """See `Balancer`."""
        first: Target | None = None
        chance = self._chance.random
        count = len(targets)
        for _ in range(PROBES if count > 2 else 0):
            target = targets[int(chance() * count)]
            if target is first or not self._is_usable(target, tried, now):
                continue
            if first is None:
                first = target
                continue
            return _get_cheaper(first, target, unknown)
        return find_cheapest(
            [t for t in targets if self._is_usable(t, tried, now)], unknown
        )

    def _is_usable(self, target: Target, tried: Names, now: float) -> bool:
        if not target.is_open() or target.upstream.task in tried:
            return False
        if target.health.state is State.SERVING:
            return True
        return self._chance.random() < target.health.get_share(now)


def _get_cheaper(one: Target, other: Target, unknown: float) -> Target:
    one_cost = (one.get_cost(unknown), one.get_load())
    other_cost = (other.get_cost(unknown), other.get_load())
    return one if one_cost <= other_cost else other


def find_cheapest(targets: Sequence[Target], unknown: float) -> Target | None:
    """Returns the target with the least expected time; plain and slow."""
    return min(
        targets,
        key=lambda t: (t.get_cost(unknown), t.get_load()),
        default=None,
    )


def choose_by_zone(
    balancer: Balancer,
    local: Sequence[Target],
    remote: Sequence[Target],
    tried: Names,
    unknown: float,
    spill: float,
    now: float,
) -> Target | None:
    """Chooses in the own availability zone unless another costs less.

    Args:
      balancer: Chooses within a zone.
      local: Upstreams of the own zone.
      remote: Upstreams of the other zones; their measured times hold the
        round trip.
      tried: Tasks that are not to be chosen.
      unknown: Seconds to expect of an upstream without answers yet.
      spill: Seconds that another zone must win by.
      now: Monotonic time.
    """
    near = balancer.choose(local, tried, unknown, now)
    if near is None:
        return balancer.choose(remote, tried, unknown, now)
    cost = near.get_cost(unknown)
    if cost <= unknown + spill and near.get_load() <= 1.0:
        return near
    far = balancer.choose(remote, tried, unknown, now)
    if far is None or far.get_cost(unknown) + spill >= cost:
        return near
    return far
