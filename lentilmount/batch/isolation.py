"""Protects services from co-located jobs: throttles them, then evicts one."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import attrs

from lentilmount.resources import ConfigurationSpec

MIN_SHARE = 0.1
"""Minimum share of its cores that a throttled job keeps."""

CONFIRMATIONS = 2
"""Consecutive high measurements needed to act; a single one may be noise."""

SLACK = 0.25
"""Tolerated increase of a service's tail latency at a tail weight up to 1."""

SLACK_POWER = 0.125
"""Exponent of the tail weight; 16 times the weight leaves 0.7 of the slack."""

LAG_SECONDS = 240.0
"""Measurement lag at which the slack is halved."""

LOW_FRACTION = 0.65
"""Share of the slack below which throttles are relaxed."""

CALM_SECONDS = 20.0
"""Initial time below the lower limit before a throttle is relaxed."""

MAX_CALM_SECONDS = 160.0
RELAPSE_SECONDS = 40.0
"""Time after a relaxation in which a new throttle counts as its consequence.

Such a throttle doubles the next calm time; a later one has another cause and
resets it.
"""

RELAX_FACTOR = 1.0
"""Maximum increase in one relaxation, as a multiple of the current share."""

MIN_CHANGE = 0.05
"""Minimum change of a share; smaller ones are skipped."""

FULL_THROTTLE_SECONDS = 20.0
"""Time at full throttle before an eviction, at an eviction weight of 1."""

MIN_EFFECT = 0.01
"""Effect (logarithm of the slowdown) below which a job is not throttled."""


@attrs.frozen
class Limits:
    """Control thresholds, as multiples of a service's latency without jobs.

    Attributes:
      high: Ratio above which jobs are throttled.
      low: Ratio below which throttles are relaxed; between the two nothing is
        changed.
      settle_seconds: Minimum time from a change to the next measurement that
        is evaluated, so that the measurement shows the effect of the change.
      full_throttle_seconds: Time at full throttle before an eviction.
    """

    high: float = 1.2
    low: float = 1.1
    settle_seconds: float = 5.0
    full_throttle_seconds: float = FULL_THROTTLE_SECONDS


def make_limits(weights: ConfigurationSpec) -> Limits:
    """Returns the limits for a deployment's weights.

    A higher tail weight throttles jobs earlier; a higher eviction weight
    keeps jobs at full throttle for longer before one is evicted.
    """
    slack = SLACK / max(1.0, weights.tail_weight) ** SLACK_POWER
    full_throttle = FULL_THROTTLE_SECONDS * max(0.25, weights.eviction_weight)
    return Limits(
        high=1 + slack,
        low=1 + LOW_FRACTION * slack,
        full_throttle_seconds=full_throttle,
    )


def tighten(limits: Limits, lag: float) -> Limits:
    """Returns stricter limits for measurements that arrive late.

    Changes within the lag cannot be observed in time, so a longer lag needs a
    larger safety margin.

    Args:
      limits: The limits without lag.
      lag: Mean age of the measurements in seconds.
    """
    factor = 1 / (1 + lag / LAG_SECONDS)
    return attrs.evolve(
        limits,
        high=1 + (limits.high - 1) * factor,
        low=1 + (limits.low - 1) * factor,
    )


@attrs.frozen
class Neighbour:
    """A job on the same worker as a service.

    Attributes:
      task: Task id.
      attempt: Attempt number.
      effect: Logarithm of the estimated slowdown that it causes unthrottled.
      share: Share of its cores that it may use.
      cost: Cost of evicting it; breaks ties between equal effects.
    """

    task: str
    attempt: int
    effect: float
    share: float
    cost: float


@attrs.frozen
class ThrottleAction:
    """Action: change the share of its cores that a job may use."""

    task: str
    attempt: int
    share: float


@attrs.frozen
class EvictAction:
    """Action: checkpoint and evict a job."""

    task: str
    attempt: int
    reason: str = 'disturbs a service'


@attrs.define
class _State:
    """Control state of one worker.

    Attributes:
      changed_at: Monotonic time of the last action.
      high_count: Consecutive measurements above the upper limit.
      low_since: Monotonic time since which the ratio was low, or None.
      full_since: Monotonic time since which all jobs were at full throttle.
      calm_seconds: Time that the ratio must be low before a relaxation.
      relaxed_at: Monotonic time of the last relaxation.
    """

    changed_at: float = -math.inf
    high_count: int = 0
    low_since: float | None = None
    full_since: float | None = None
    calm_seconds: float = CALM_SECONDS
    relaxed_at: float = -math.inf


class Isolator:
    """Decides when to throttle, relax or evict jobs, with hysteresis.

    Args:
      try_spend: Spends one eviction; returns whether the budget allowed it.
    """

    def __init__(self, try_spend: Callable[[], bool]):
        self._try_spend = try_spend
        self._states: dict[str, _State] = {}

    def decide(
        self,
        worker: str,
        ratio: float,
        measured_at: float,
        now: float,
        neighbours: Sequence[Neighbour],
        limits: Limits,
    ) -> list[ThrottleAction | EvictAction]:
        """Returns the actions for one new measurement of a worker.

        Args:
          worker: Name of the worker.
          ratio: Latency of its slowest service, as a multiple of that
            service's latency without jobs.
          measured_at: Monotonic time of the measurement.
          now: Monotonic time.
          neighbours: The jobs on the worker.
          limits: Control thresholds.
        """
        state = self._states.setdefault(worker, _State())
        if measured_at < state.changed_at + limits.settle_seconds:
            return []
        if ratio > limits.high:
            return self._restrict(state, ratio, now, neighbours, limits)
        state.high_count = 0
        state.full_since = None
        if math.log(ratio) > _get_target(limits):
            state.low_since = None
        if ratio >= limits.low:
            return []
        return self._relax(state, ratio, now, neighbours, limits)

    def forget(self, worker: str) -> None:
        """Discards the control state of a worker."""
        self._states.pop(worker, None)

    def _restrict(
        self,
        state: _State,
        ratio: float,
        now: float,
        neighbours: Sequence[Neighbour],
        limits: Limits,
    ) -> list[ThrottleAction | EvictAction]:
        state.low_since = None
        state.high_count += 1
        candidates = [n for n in neighbours if n.effect >= MIN_EFFECT]
        if state.high_count < CONFIRMATIONS or not candidates:
            return []
        excess = math.log(ratio) - _get_target(limits)
        throttles = _reduce_shares(excess, candidates)
        if throttles:
            state.full_since = None
            relapse = now - state.relaxed_at < RELAPSE_SECONDS
            doubled = min(2 * state.calm_seconds, MAX_CALM_SECONDS)
            state.calm_seconds = doubled if relapse else CALM_SECONDS
            self._record_change(state, now)
            return [*throttles]
        if state.full_since is None:
            state.full_since = now
        if now - state.full_since < limits.full_throttle_seconds:
            return []
        if not self._try_spend():
            return []
        worst = max(candidates, key=lambda n: (n.effect * n.share, -n.cost))
        self._record_change(state, now)
        return [EvictAction(worst.task, worst.attempt)]

    def _relax(
        self,
        state: _State,
        ratio: float,
        now: float,
        neighbours: Sequence[Neighbour],
        limits: Limits,
    ) -> list[ThrottleAction | EvictAction]:
        throttled = [n for n in neighbours if n.share < 1]
        if not throttled:
            state.low_since = None
            return []
        if state.low_since is None:
            state.low_since = now
        if now - state.low_since < state.calm_seconds:
            return []
        throttles = _raise_shares(
            _get_target(limits) - math.log(ratio), throttled
        )
        if throttles:
            state.low_since = None
            state.relaxed_at = now
            self._record_change(state, now)
        return [*throttles]

    def _record_change(self, state: _State, now: float) -> None:
        state.changed_at = now
        state.high_count = 0


def _get_target(limits: Limits) -> float:
    """Returns the logarithm of the target ratio of a change."""
    return (math.log(limits.low) + math.log(limits.high)) / 2


def _reduce_shares(
    excess: float, neighbours: Sequence[Neighbour]
) -> list[ThrottleAction]:
    """Throttles jobs, worst first, to reduce the slowdown.

    Args:
      excess: Logarithm of the slowdown to remove.
      neighbours: The jobs that may be throttled.
    """
    throttles = []
    for neighbour in sorted(
        neighbours, key=lambda n: n.effect * n.share, reverse=True
    ):
        if excess <= 0:
            break
        spare = neighbour.share - MIN_SHARE
        if spare < MIN_CHANGE:
            continue
        cut = min(spare, max(excess / neighbour.effect, MIN_CHANGE))
        excess -= cut * neighbour.effect
        share = round(neighbour.share - cut, 3)
        throttles.append(
            ThrottleAction(neighbour.task, neighbour.attempt, share)
        )
    return throttles


def _raise_shares(
    headroom: float, throttled: Sequence[Neighbour]
) -> list[ThrottleAction]:
    """Relaxes throttles, least harmful jobs first.

    Args:
      headroom: Logarithm of the additional slowdown that is allowed.
      throttled: The jobs that are throttled.
    """
    throttles = []
    for neighbour in sorted(throttled, key=lambda n: n.effect):
        effect = max(neighbour.effect, MIN_EFFECT)
        max_increase = max(MIN_CHANGE, RELAX_FACTOR * neighbour.share)
        increase = min(1.0 - neighbour.share, max_increase, headroom / effect)
        if increase < min(MIN_CHANGE, 1.0 - neighbour.share):
            break
        headroom -= increase * effect
        share = round(neighbour.share + increase, 3)
        throttles.append(
            ThrottleAction(neighbour.task, neighbour.attempt, share)
        )
    return throttles
