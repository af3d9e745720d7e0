"""Routes callers' requests to upstreams, with queueing, retries and hedges."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from lentilmount.configuration import Configuration
from lentilmount.errors import (
    ErrorKind,
    NotFoundError,
    Ran,
    UpstreamError,
)
from lentilmount.events import EventKind, EventLog
from lentilmount.routing.balance import Balancer, PowerOfTwo
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.routing.forward import (
    MAX_CLIENTS,
    Call,
    Forwarder,
    Reply,
    Result,
)
from lentilmount.routing.leaving import LeavingMark
from lentilmount.routing.pool import Pool, PoolOptions
from lentilmount.routing.pools import Pools
from lentilmount.routing.retries import choose_pause
from lentilmount.routing.target import Target
from lentilmount.routing.teams import TeamLimits

RETRY_AFTER_SECONDS = 0.5
MAX_TRIES = 3
MAX_COPIES = MAX_CLIENTS - 64
"""Maximum copies in flight. Above the client's limit requests would wait in
the client, where no deadline applies; some are reserved for retries and hedges.
"""

MIN_TIMEOUT_SECONDS = 0.001
"""Shortest timeout that libcurl accepts; it treats 0 as no timeout."""


@attrs.define
class RouterOptions:
    """Options of a router.

    Attributes:
      zone: Availability zone whose upstreams are preferred.
      daemon: Name of this daemon.
      entry_hosts: Maximum number of entry hosts, which share an upstream's
        connections.
      seed: Seed of the random number generator; None for a random one.
    """

    zone: str
    daemon: str = 'entry-0'
    entry_hosts: int = 8
    seed: int | None = None


@attrs.define
class _Progress:
    """Progress of a request.

    Attributes:
      call: The request.
      deadline: Monotonic time at which the caller stops waiting, in seconds.
      tried: Ids of the tasks that were sent a copy.
      may_have_run: Whether any copy may have run.
      misdirected: Number of copies refused because the upstream does not serve
        the service.
    """

    call: Call
    deadline: float
    tried: set[str] = attrs.Factory(set)
    may_have_run: bool = False
    misdirected: int = 0


class Router:
    """Routes requests to upstreams.

    Attributes:
      pending: Number of callers' requests that are not answered yet.
      pools: Pools of upstreams, by service.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        configuration: Configuration,
        forwarder: Forwarder,
        options: RouterOptions,
        monotonic: Callable[[], float],
        events: EventLog | None = None,
        balancer: Balancer | None = None,
        count_daemons: Callable[[], int] = lambda: 1,
    ):
        self.pending = 0
        self._copies_in_flight = 0
        self._configuration = configuration
        self._forwarder = forwarder
        self._monotonic = monotonic
        self._events = events or EventLog('router')
        self._rng = random.Random(options.seed)
        self._teams = TeamLimits()
        self._count_daemons = count_daemons
        self.pools = Pools(
            directory,
            configuration,
            PoolOptions(options.daemon, options.zone, options.entry_hosts),
            balancer or PowerOfTwo(self._rng),
            self._events,
            self._rng,
            monotonic,
            self._count_daemons,
        )

    @property
    def in_flight(self) -> dict[str, int]:
        """Number of this daemon's requests at each upstream, by task id."""
        return self.pools.in_flight

    async def route(self, call: Call, timeout: float | None) -> Reply:
        """Routes a call and returns the response.

        Args:
          call: The request.
          timeout: Seconds that the caller waits; None for the service's
            deadline.

        Raises:
          NotFoundError: There is no such service.
          UpstreamError: There is no complete response; says whether the
            request ran.
        """
        team, _, name = call.service.partition('/')
        spec = self._configuration.get_service(team, name)
        if spec is None:
            raise NotFoundError(f'there is no service {call.service}')
        now = self._monotonic()
        rate = self._configuration.get_team(team).requests_per_second
        if rate:
            self._teams.admit(team, rate, self._count_daemons(), now)
        max_seconds = spec.deadline_ms / 1000
        deadline = now + min(timeout or max_seconds, max_seconds)
        self.pending += 1
        try:
            pool = self.pools.get(call.service, spec)
            return await self._send_until_answered(
                pool, _Progress(call, deadline)
            )
        finally:
            self.pending -= 1

    async def _send_until_answered(
        self, pool: Pool, progress: _Progress
    ) -> Reply:
        weights = self._configuration.get_weights()
        pool.retries.earn(weights.retry_share)
        pool.hedges.earn(weights.hedge_share)
        target: Target | None = await self._acquire_first(pool, progress)
        while target is not None:
            reply = await self._send(pool, target, progress)
            if reply.result is Result.ANSWERED:
                return reply
            target = await self._acquire_retry(pool, progress, reply)
        raise self._make_error(progress, reply)

    async def _acquire_first(self, pool: Pool, progress: _Progress) -> Target:
        call = progress.call
        if pool.is_empty or not pool.max_connections:
            raise UpstreamError(
                f'no upstream of {call.service} is running'
                if pool.is_empty
                else f'{call.service} allows fewer connections than there '
                'are entry hosts',
                kind=ErrorKind.NO_UPSTREAM,
                retry_after=RETRY_AFTER_SECONDS,
            )
        now = self._monotonic()
        median = pool.response_times.median
        remaining = progress.deadline - now
        if self._copies_in_flight >= MAX_COPIES:
            raise pool.waiting.make_overload_error(median)
        if not pool.waiting:
            target = pool.acquire((), now)
            if target is not None:
                return target
        predicted = pool.waiting.predict_wait(median, pool.in_flight)
        max_wait = min(remaining - median, pool.get_max_wait())
        return await pool.waiting.wait(
            predicted, max_wait, call.is_disconnected
        )

    async def _acquire_retry(
        self, pool: Pool, progress: _Progress, reply: Reply
    ) -> Target | None:
        """Acquires an upstream for a retry; None if no retry is allowed."""
        call = progress.call
        if progress.may_have_run and not call.idempotent:
            return None
        progress.misdirected += reply.is_misdirected
        tries = len(progress.tried) - progress.misdirected
        if tries >= MAX_TRIES or call.is_disconnected():
            return None
        remaining = progress.deadline - self._monotonic()
        if remaining <= pool.response_times.median:
            return None
        # A misdirected request causes no load, so its retry is not charged.
        if not reply.is_misdirected and not pool.retries.spend():
            return None
        pause = choose_pause(len(progress.tried), remaining, self._rng)
        await asyncio.sleep(pause)
        self.pools.refresh()
        target = pool.acquire(progress.tried, self._monotonic())
        if target is not None:
            self._record(EventKind.RETRY, target, call, reply.error)
        return target

    async def _send(
        self, pool: Pool, target: Target, progress: _Progress
    ) -> Reply:
        """Sends a copy, and a hedge if the first copy is slow."""
        delay = pool.response_times.high_quantile
        if not progress.call.idempotent or not delay:
            return await self._send_copy(pool, target, progress)
        first = asyncio.create_task(self._send_copy(pool, target, progress))
        done, _ = await asyncio.wait({first}, timeout=delay)
        if done:
            return first.result()
        target.latency.observe(target.get_load(), delay, self._monotonic())
        hedge_target = self._acquire_hedge(pool, progress)
        if hedge_target is None:
            return await first
        second = asyncio.create_task(
            self._send_copy(pool, hedge_target, progress)
        )
        return await _get_first_response(first, second)

    def _acquire_hedge(self, pool: Pool, progress: _Progress) -> Target | None:
        remaining = progress.deadline - self._monotonic()
        if (
            remaining <= pool.response_times.median
            or progress.call.is_disconnected()
        ):
            return None
        # If the service has no free slots, a hedge would only delay the
        # requests that wait for one.
        if pool.waiting or pool.hedges.balance < 1.0:
            return None
        hedge_target = pool.acquire(progress.tried, self._monotonic())
        if hedge_target is not None:
            pool.hedges.spend()
            self._record(EventKind.HEDGE, hedge_target, progress.call, 'slow')
        return hedge_target

    async def _send_copy(
        self, pool: Pool, target: Target, progress: _Progress
    ) -> Reply:
        upstream = target.upstream
        progress.tried.add(upstream.task)
        started_at = self._monotonic()
        remaining = max(MIN_TIMEOUT_SECONDS, progress.deadline - started_at)
        self._copies_in_flight += 1
        reply = await self._forwarder.send(
            upstream.address, progress.call, remaining, pool.max_connections
        )
        self._copies_in_flight -= 1
        if reply.result is not Result.NOT_RUN:
            progress.may_have_run = True
        if reply.is_leaving:
            self.pools.mark_leaving(
                LeavingMark(upstream.worker, upstream.boot), 'itself'
            )
        # Waiting requests must not be assigned an upstream that has left.
        self.pools.refresh()
        pool.release(target, reply, started_at, self._monotonic())
        return reply

    def _make_error(self, progress: _Progress, reply: Reply) -> UpstreamError:
        is_late = self._monotonic() >= progress.deadline
        is_busy = reply.is_busy and not progress.may_have_run
        kind = ErrorKind.OVERLOADED if is_busy else ErrorKind.UPSTREAM_FAILED
        return UpstreamError(
            f'{progress.call.service}: {reply.error}',
            kind=ErrorKind.DEADLINE if is_late else kind,
            ran=Ran.UNKNOWN if progress.may_have_run else Ran.NO,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _record(
        self, kind: EventKind, target: Target, call: Call, cause: str
    ) -> None:
        upstream = target.upstream
        self._events.record(
            'routing',
            kind,
            upstream.task,
            attempt=upstream.attempt,
            worker=upstream.worker,
            request=call.id,
            cause=cause,
        )


async def _get_first_response(
    first: asyncio.Task[Reply], second: asyncio.Task[Reply]
) -> Reply:
    """Returns the first complete response, or the last failure.

    The slower copy is not cancelled: it occupies the upstream until it ends,
    and is counted there until then.
    """
    done, pending = await asyncio.wait(
        {first, second}, return_when=asyncio.FIRST_COMPLETED
    )
    reply = done.pop().result()
    others = done or pending
    if reply.result is not Result.ANSWERED and others:
        return await others.pop()
    return reply
