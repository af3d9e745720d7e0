"""From a caller's request to an upstream's answer, or a refusal."""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from lentilmount.configuration import Configuration
from lentilmount.errors import (
    ErrorKind,
    NotFoundError,
    Ran,
    UpstreamError,
)
from lentilmount.resources import ServiceSpec
from lentilmount.routing.directory import Directory, Upstream
from lentilmount.routing.forward import Call, Forwarder, Reply, Result

RETRY_AFTER_SECONDS = 0.5
MAX_TRIES = 3


@attrs.define
class RouterOptions:
    """How a router works.

    Attributes:
      zone: The availability zone whose upstreams come first.
      entry_hosts: Most entry hosts that share an upstream's connections.
    """

    zone: str
    entry_hosts: int = 8


class Router:
    """Chooses upstreams for requests.

    Attributes:
      in_flight: Requests that this daemon has at each upstream, by task.
    """

    def __init__(
        self,
        directory: Directory,
        configuration: Configuration,
        forwarder: Forwarder,
        options: RouterOptions,
        monotonic: Callable[[], float],
    ):
        self.in_flight: collections.Counter[str] = collections.Counter()
        self._directory = directory
        self._configuration = configuration
        self._forwarder = forwarder
        self._options = options
        self._monotonic = monotonic

    async def route(self, call: Call, timeout: float | None) -> Reply:
        """Answers a call.

        Args:
          call: The request.
          timeout: Seconds that the caller waits; the service's if None.

        Raises:
          NotFoundError: There is no such service.
          UpstreamError: No whole answer; says whether the request ran.
        """
        team, _, name = call.service.partition('/')
        spec = self._configuration.get_service(team, name)
        if spec is None:
            raise NotFoundError(f'there is no service {call.service}')
        longest = spec.deadline_ms / 1000
        deadline = self._monotonic() + min(timeout or longest, longest)
        return await self._try_upstreams(call, spec, deadline)

    async def _try_upstreams(
        self, call: Call, spec: ServiceSpec, deadline: float
    ) -> Reply:
        tried: set[str] = set()
        for _ in range(MAX_TRIES):
            upstream = self._choose(call.service, spec, tried)
            tried.add(upstream.task)
            reply = await self._send(upstream, call, deadline)
            if reply.result is Result.ANSWERED:
                return reply
            if reply.result is Result.UNKNOWN and not call.idempotent:
                break
            if self._monotonic() >= deadline:
                break
        ran = Ran.NO if reply.result is Result.NOT_RUN else Ran.UNKNOWN
        late = self._monotonic() >= deadline
        raise UpstreamError(
            f'{upstream.task}: {reply.error}',
            kind=ErrorKind.DEADLINE if late else None,
            ran=ran,
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _send(
        self, upstream: Upstream, call: Call, deadline: float
    ) -> Reply:
        self.in_flight[upstream.task] += 1
        try:
            left = max(0.001, deadline - self._monotonic())
            return await self._forwarder.send(upstream.address, call, left)
        finally:
            self.in_flight[upstream.task] -= 1

    def _choose(
        self, service: str, spec: ServiceSpec, tried: set[str]
    ) -> Upstream:
        share = max(1, spec.connections // self._options.entry_hosts)
        upstreams = self._directory.list_service(service)
        if not upstreams:
            raise UpstreamError(
                f'no upstream of {service} is running',
                kind=ErrorKind.NO_UPSTREAM,
                retry_after=RETRY_AFTER_SECONDS,
            )
        free = [
            upstream
            for upstream in upstreams
            if self.in_flight[upstream.task] < share
            and upstream.task not in tried
        ]
        if not free:
            raise UpstreamError(
                f'every upstream of {service} is busy',
                kind=ErrorKind.OVERLOADED,
                retry_after=RETRY_AFTER_SECONDS,
            )
        return min(free, key=self._rank)

    def _rank(self, upstream: Upstream) -> tuple[int, bool]:
        return (
            self.in_flight[upstream.task],
            upstream.zone != self._options.zone,
        )
