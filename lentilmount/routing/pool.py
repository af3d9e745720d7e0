"""Pool of the upstreams of one service: selection, results and health."""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable, Collection, Iterable

import attrs

from lentilmount.events import EventKind, EventLog
from lentilmount.resources import ServiceSpec
from lentilmount.routing.balance import Balancer, choose_by_zone
from lentilmount.routing.directory import Upstream
from lentilmount.routing.ejection import (
    State,
    can_eject_one_more,
    find_ejection_cause,
)
from lentilmount.routing.forward import Reply, Result
from lentilmount.routing.queue import WaitQueue
from lentilmount.routing.response_times import ResponseTimes
from lentilmount.routing.retries import Budget
from lentilmount.routing.target import Target

REVIEW_SECONDS = 0.1
MIN_WAIT_SHARE = 0.1
"""Minimum time that a request may queue, as a share of the latency target."""

FAILED_STATUSES = frozenset({500, 502, 503, 504})


@attrs.frozen
class PoolOptions:
    """Settings of the daemon that a pool runs on.

    Attributes:
      daemon: Name of the daemon.
      zone: Availability zone of the daemon.
      entry_hosts: Number of entry hosts that share an upstream's connections.
    """

    daemon: str
    zone: str
    entry_hosts: int


class Pool:
    """One service's upstreams on this daemon.

    Attributes:
      spec: Specification of the service.
      targets: All upstreams, including leaving ones, by task id.
      waiting: Queue of requests that wait for an upstream.
      retries: Budget of retries.
      hedges: Budget of hedges.
      response_times: Recent response times.
      in_flight: Number of this daemon's requests at all upstreams.
    """

    def __init__(
        self,
        name: str,
        spec: ServiceSpec,
        options: PoolOptions,
        balancer: Balancer,
        events: EventLog,
        rng: random.Random,
    ):
        self.spec = spec
        self.targets: dict[str, Target] = {}
        self.waiting = WaitQueue(name)
        self.retries = Budget()
        self.hedges = Budget()
        self.response_times = ResponseTimes()
        self.in_flight = 0
        self._options = options
        self._balancer = balancer
        self._events = events
        self._rng = rng
        self._local: list[Target] = []
        self._remote: list[Target] = []
        self._spill = 0.0
        self._next_review = 0.0

    def update(
        self,
        spec: ServiceSpec,
        spill: float,
        upstreams: Iterable[Upstream],
        is_excluded: Callable[[Upstream], bool],
    ) -> None:
        """Applies the current configuration and list of upstreams.

        Args:
          spec: Specification of the service.
          spill: Seconds by which another zone must be faster to be chosen.
          upstreams: All upstreams of the service.
          is_excluded: Returns whether an upstream gets no new requests.
        """
        self.spec = spec
        self._spill = spill
        before, self.targets = self.targets, {}
        for upstream in upstreams:
            target = before.get(upstream.task)
            if target is None or target.upstream.attempt != upstream.attempt:
                target = self._make_target(upstream)
            target.upstream = upstream
            target.resize(spec.slots, self.max_connections)
            self.targets[upstream.task] = target
        open_ones = [
            t for t in self.targets.values() if not is_excluded(t.upstream)
        ]
        zone = self._options.zone
        self._local = [t for t in open_ones if t.upstream.zone == zone]
        self._remote = [t for t in open_ones if t.upstream.zone != zone]
        if self.is_empty:
            self.waiting.refuse_all()

    def _make_target(self, upstream: Upstream) -> Target:
        return Target(upstream, self.spec.slots, self.max_connections)

    @property
    def max_connections(self) -> int:
        """Maximum connections of this daemon to each upstream.

        Daemons detect each other with a delay, so if the share depended on the
        daemons that are up, the upstream's limit would be exceeded whenever a
        daemon joins or returns. A fixed share for each entry host keeps the
        limit without coordination.

        One connection of the share is left unused: an upstream may accept a
        new connection before it notices that the replaced one was closed.
        """
        share = self.spec.connections // self._options.entry_hosts
        return share - 1 if share > 1 else share

    @property
    def is_empty(self) -> bool:
        """Whether no upstream may get new requests."""
        return not self._local and not self._remote

    def get_max_wait(self) -> float:
        """Returns the seconds a request may wait and still meet the target.

        If the service itself takes longer than its target, a short wait is
        still allowed.
        """
        target = self.spec.target_ms / 1000
        return max(
            target * MIN_WAIT_SHARE, target - self.response_times.high_quantile
        )

    def set_daemons(self, count: int) -> None:
        """Sets the number of daemons that share the slots."""
        for target in self.targets.values():
            target.fair_share = max(1, -(-target.slots // max(1, count)))

    def acquire(self, tried: Collection[str], now: float) -> Target | None:
        """Chooses an upstream and counts it as in use."""
        if now >= self._next_review:
            self.review_health(now)
        target = choose_by_zone(
            self._balancer,
            self._local,
            self._remote,
            tried,
            self.response_times.median,
            self._spill,
            now,
        )
        if target is None and not self.in_flight:
            target = self._find_any(tried)
        if target is not None:
            target.begin(now)
            self.in_flight += 1
        return target

    def _find_any(self, tried: Collection[str]) -> Target | None:
        # With no request in flight, no release would serve the queue, so
        # requests are sent even if all upstreams are ejected.
        for target in self._local + self._remote:
            if (
                target.own_in_flight < target.max_connections
                and target.upstream.task not in tried
            ):
                return target
        return None

    def release(
        self, target: Target, reply: Reply, started_at: float, now: float
    ) -> None:
        """Records the result of a request and assigns the next one."""
        seconds = now - started_at
        if reply.result is Result.ANSWERED:
            target.observe(seconds, now)
            self.response_times.add(seconds)
        failed = self._is_failed(reply, seconds)
        target.health.failures = target.health.failures + 1 if failed else 0
        if reply.is_busy:
            target.limit.reduce_after_rejection()
        if reply.is_misdirected:
            # The task ended, but the directory still lists it, as when the
            # owner of its slice failed while the table service was
            # unavailable. It looks idle and would attract requests, so it is
            # ejected at once, whatever share is ejected already.
            target.health.eject(now, self._rng)
            self._record(EventKind.EJECTED, target, reply.error)
        target.end(now)
        self.in_flight -= 1
        if target.health.is_failing:
            self._next_review = 0.0
        self.assign_waiting(now)

    def _is_failed(self, reply: Reply, seconds: float) -> bool:
        if reply.result is Result.ANSWERED:
            return reply.status in FAILED_STATUSES
        # A timeout shorter than usual response times says nothing about the
        # upstream's health.
        is_short_timeout = (
            reply.is_timeout and seconds < self.response_times.high_quantile
        )
        return not reply.is_busy and not is_short_timeout

    def assign_waiting(self, now: float) -> None:
        """Assigns free upstreams to waiting requests."""
        if self.waiting:
            self.waiting.assign(lambda: self.acquire((), now))

    def review_health(self, now: float) -> None:
        """Ejects faulty upstreams and restores others."""
        self._next_review = now + REVIEW_SECONDS
        targets = self._local + self._remote
        for target in targets:
            before = target.health.state
            target.health.advance(now)
            if before is State.EJECTED and before is not target.health.state:
                target.reset()
                self._record(EventKind.RESTORED, target, '')
        measured = [t.smoothed_seconds for t in targets if t.smoothed_seconds]
        median = statistics.median(measured) if measured else 0.0
        healths = [t.health for t in targets]
        for target in targets:
            if target.health.state is State.EJECTED:
                continue
            cause = find_ejection_cause(
                target, median, self.response_times.high_quantile, now
            )
            if cause and can_eject_one_more(healths):
                target.health.eject(now, self._rng)
                self._record(EventKind.EJECTED, target, cause)

    def _record(self, kind: EventKind, target: Target, cause: str) -> None:
        upstream = target.upstream
        self._events.record(
            'routing',
            kind,
            upstream.task,
            attempt=upstream.attempt,
            worker=upstream.worker,
            cause=cause,
        )
