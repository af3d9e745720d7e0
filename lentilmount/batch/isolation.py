"""Protecting a service: throttle the jobs beside it, then evict one."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import attrs

from lentilmount.resources import ConfigurationSpec

MIN_SHARE = 0.1
"""A job keeps this share of its processors however it is throttled."""

CONFIRMATIONS = 2
"""Measurements in a row that must be too high; one may be noise."""

SLACK = 0.25
"""Most that a service may lose where its tail has the weight 1 or less."""

SLACK_POWER = 0.125
"""Sixteen times the weight leaves seven tenths of the slack."""

LAG_SECONDS = 240.0
"""A lag that halves the slack."""

LOW_PART = 0.65
"""Share of the slack below which jobs get processors back."""

CALM_SECONDS = 20.0
"""Time below the lower limit before a job gets processors back."""

LONGEST_CALM_SECONDS = 160.0
RELAPSE_SECONDS = 40.0
"""A throttle so soon after a relaxation doubles the next calm time; a later
one, which something else caused, sets it back."""

RELAX_FACTOR = 1.0
"""Most that a relaxation adds, as a multiple of the share so far."""

MIN_CHANGE = 0.05
"""Smaller changes of a share are not made."""

PATIENCE_SECONDS = 20.0
MIN_EFFECT = 0.01
"""Jobs that cost a service less are not worth throttling."""


@attrs.frozen
class Limits:
    """When to act, as multiples of the service running alone.

    Attributes:
      high: Above it jobs are throttled.
      low: Below it they get processors back; between the two nothing happens.
      settle_seconds: A measurement counts if this much later than the last
        change, so that each change is judged by its own effect.
      patience_seconds: Time at full throttle before an eviction.
    """

    high: float = 1.2
    low: float = 1.1
    settle_seconds: float = 5.0
    patience_seconds: float = PATIENCE_SECONDS


def make_limits(weights: ConfigurationSpec) -> Limits:
    """Returns the limits for a deployment's weights.

    The more a service's tail weighs, the earlier jobs are throttled; the more
    an eviction weighs, the longer a full throttle is tried instead.
    """
    slack = SLACK / max(1.0, weights.tail_weight) ** SLACK_POWER
    patience = PATIENCE_SECONDS * max(0.25, weights.eviction_weight)
    return Limits(
        high=1 + slack, low=1 + LOW_PART * slack, patience_seconds=patience
    )


def tighten(limits: Limits, lag: float) -> Limits:
    """Returns the limits for measurements that lag by some seconds.

    What happens within the lag is not seen in time, so the later the
    measurements come, the more room is left for it.
    """
    part = 1 / (1 + lag / LAG_SECONDS)
    return attrs.evolve(
        limits,
        high=1 + (limits.high - 1) * part,
        low=1 + (limits.low - 1) * part,
    )


@attrs.frozen
class Neighbour:
    """A job beside a service.

    Attributes:
      task: Its id.
      attempt: The attempt's number.
      effect: Logarithm of the slowdown that it is taken to cause unthrottled.
      share: Share of its processors that it is allowed.
      cost: What evicting it would cost; the cheapest of equals goes.
    """

    task: str
    attempt: int
    effect: float
    share: float
    cost: float


@attrs.frozen
class ThrottleAction:
    """A job is to get another share of its processors."""

    task: str
    attempt: int
    share: float


@attrs.frozen
class EvictAction:
    """A job is to be checkpointed and evicted."""

    task: str
    attempt: int
    reason: str = 'disturbs a service'


@attrs.define
class _State:
    """What is remembered of one worker."""

    changed_at: float = -math.inf
    high_count: int = 0
    low_since: float | None = None
    full_since: float | None = None
    calm_seconds: float = CALM_SECONDS
    relaxed_at: float = -math.inf


class Isolator:
    """Decides for each worker, with hysteresis.

    Args:
      try_spend: Spends one eviction if the budget allows it.
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
        """Decides what one new measurement calls for.

        Args:
          worker: Where it was measured.
          ratio: Worst service's time as a multiple of running alone.
          measured_at: Monotonic time of the measurement.
          now: Monotonic time.
          neighbours: The jobs on the worker.
          limits: When to act.
        """
        state = self._states.setdefault(worker, _State())
        if measured_at < state.changed_at + limits.settle_seconds:
            return []
        if ratio > limits.high:
            return self._restrict(state, ratio, now, neighbours, limits)
        state.high_count = 0
        state.full_since = None
        if math.log(ratio) > _get_aim(limits):
            state.low_since = None
        if ratio >= limits.low:
            return []
        return self._relax(state, ratio, now, neighbours, limits)

    def forget(self, worker: str) -> None:
        """Drops what is remembered of a worker."""
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
        able = [n for n in neighbours if n.effect >= MIN_EFFECT]
        if state.high_count < CONFIRMATIONS or not able:
            return []
        wanted = math.log(ratio) - _get_aim(limits)
        throttles = _share_out(wanted, able)
        if throttles:
            state.full_since = None
            relapse = now - state.relaxed_at < RELAPSE_SECONDS
            doubled = min(2 * state.calm_seconds, LONGEST_CALM_SECONDS)
            state.calm_seconds = doubled if relapse else CALM_SECONDS
            self._change(state, now)
            return [*throttles]
        if state.full_since is None:
            state.full_since = now
        if now - state.full_since < limits.patience_seconds:
            return []
        if not self._try_spend():
            return []
        worst = max(able, key=lambda n: (n.effect * n.share, -n.cost))
        self._change(state, now)
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
        throttles = _give_back(_get_aim(limits) - math.log(ratio), throttled)
        if throttles:
            state.low_since = None
            state.relaxed_at = now
            self._change(state, now)
        return [*throttles]

    def _change(self, state: _State, now: float) -> None:
        state.changed_at = now
        state.high_count = 0


def _get_aim(limits: Limits) -> float:
    """Returns the logarithm of the ratio that a change aims at."""
    return (math.log(limits.low) + math.log(limits.high)) / 2


def _share_out(
    wanted: float, neighbours: Sequence[Neighbour]
) -> list[ThrottleAction]:
    """Throttles the worst jobs until enough of the slowdown should be gone."""
    throttles = []
    for neighbour in sorted(
        neighbours, key=lambda n: n.effect * n.share, reverse=True
    ):
        if wanted <= 0:
            break
        spare = neighbour.share - MIN_SHARE
        if spare < MIN_CHANGE:
            continue
        cut = min(spare, max(wanted / neighbour.effect, MIN_CHANGE))
        wanted -= cut * neighbour.effect
        share = round(neighbour.share - cut, 3)
        throttles.append(
            ThrottleAction(neighbour.task, neighbour.attempt, share)
        )
    return throttles


def _give_back(
    room: float, throttled: Sequence[Neighbour]
) -> list[ThrottleAction]:
    """Gives the quietest jobs processors back while it should do no harm."""
    throttles = []
    for neighbour in sorted(throttled, key=lambda n: n.effect):
        effect = max(neighbour.effect, MIN_EFFECT)
        most = max(MIN_CHANGE, RELAX_FACTOR * neighbour.share)
        more = min(1.0 - neighbour.share, most, room / effect)
        if more < min(MIN_CHANGE, 1.0 - neighbour.share):
            break
        room -= more * effect
        share = round(neighbour.share + more, 3)
        throttles.append(
            ThrottleAction(neighbour.task, neighbour.attempt, share)
        )
    return throttles
