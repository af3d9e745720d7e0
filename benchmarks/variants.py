"""Routing variants for comparison with the shipped router; never shipped.

`python -m benchmarks.variants NAME --settings FILE` runs `lentilmountd` with
the named router or balancer.
"""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Collection, Iterable, Sequence

from lentilmount.daemon import __main__ as program
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.errors import NotFoundError, Ran, UpstreamError
from lentilmount.routing.balance import Balancer
from lentilmount.routing.ejection import State
from lentilmount.routing.forward import Call, Reply, Result
from lentilmount.routing.loads import LoadReport
from lentilmount.routing.router import Router, RouterOptions
from lentilmount.routing.target import Target
from lentilmount.settings import Settings

NAIVE_CONNECTIONS = 64
NAIVE_ATTEMPTS = 3


class NaiveRouter(Router):
    """Routes round robin, without limits and with unconditional retries."""

    def __init__(self, daemon: Daemon):
        super().__init__(
            daemon.directory,
            daemon.configuration,
            daemon.router._forwarder,
            RouterOptions(daemon.settings.zone),
            daemon.router._monotonic,
        )
        self._directory = daemon.directory
        self._counter = itertools.count()

    async def route(self, call: Call, timeout: float | None) -> Reply:
        """Tries upstreams in turn until one answers.

        Raises:
          NotFoundError: The service or its upstreams do not exist.
          UpstreamError: No attempt was answered.
        """
        team, _, name = call.service.partition('/')
        spec = self._configuration.get_service(team, name)
        upstreams = self._directory.list_service(call.service)
        if spec is None or not upstreams:
            raise NotFoundError(f'there is no service {call.service}')
        max_seconds = spec.deadline_ms / 1000
        deadline = self._monotonic() + min(timeout or max_seconds, max_seconds)
        for _ in range(NAIVE_ATTEMPTS):
            upstream = upstreams[next(self._counter) % len(upstreams)]
            remaining = max(0.001, deadline - self._monotonic())
            reply = await self._forwarder.send(
                upstream.address, call, remaining, NAIVE_CONNECTIONS
            )
            if reply.result is Result.ANSWERED:
                return reply
        raise UpstreamError(reply.error, ran=Ran.UNKNOWN)


class LeastLoadBalancer:
    """Chooses the open upstream with the least known load."""

    def choose(
        self,
        targets: Sequence[Target],
        tried: Collection[str],
        unknown: float,
        now: float,
    ) -> Target | None:
        """See `Balancer`."""
        usable = [
            t for t in targets if t.is_open() and t.upstream.task not in tried
        ]
        return min(usable, key=Target.get_load, default=None)


class StaticShareBalancer:
    """Chooses the upstream with the fewest own requests in flight.

    Each daemon uses only a fixed share of the slots of an upstream.
    """

    def choose(
        self,
        targets: Sequence[Target],
        tried: Collection[str],
        unknown: float,
        now: float,
    ) -> Target | None:
        """See `Balancer`."""
        usable = [
            t
            for t in targets
            if t.own_in_flight < min(t.fair_share, t.max_connections)
            and t.health.state is not State.EJECTED
            and t.upstream.task not in tried
        ]
        return min(usable, key=lambda t: t.own_in_flight, default=None)


BALANCERS: dict[str, Callable[[], Balancer]] = {
    'least': LeastLoadBalancer,
    'static': StaticShareBalancer,
}


class VariantDaemon(Daemon):
    """A daemon with the router or balancer of a variant."""

    variant = ''

    def __init__(self, settings: Settings):
        super().__init__(settings)
        if self.variant == 'naive':
            self.router = NaiveRouter(self)
        elif self.variant == 'alone':
            self.router.pools.update_peer_loads = self._ignore_peer_loads  # type: ignore[method-assign]
        else:
            balancer = BALANCERS[self.variant]()
            self.router.pools._balancer = balancer

    def _ignore_peer_loads(self, reports: Iterable[LoadReport]) -> None:
        """Ignores the loads that peers report."""


def main() -> int:
    """Runs a daemon of the variant given as the first argument."""
    VariantDaemon.variant = sys.argv.pop(1)
    program.Daemon = VariantDaemon  # type: ignore[attr-defined]
    return program.main()


if __name__ == '__main__':
    sys.exit(main())
