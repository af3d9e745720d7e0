"""Daemons that route in another way, to compare with: never shipped.

`python -m benchmarks.variants NAME --settings FILE` runs `lentilmountd` with
the router or balancer of that name.
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
NAIVE_TRIES = 3


class NaiveRouter(Router):
    """Round robin, no limits, blind retry."""

    def __init__(self, daemon: Daemon):
        super().__init__(
            daemon.directory,
            daemon.configuration,
            daemon.router._forwarder,
            RouterOptions(daemon.settings.zone),
            daemon.router._monotonic,
        )
        self._directory = daemon.directory
        self._turn = itertools.count()

    async def route(self, call: Call, timeout: float | None) -> Reply:
        """Sends to the next upstream, and the next, until one answers."""
        team, _, name = call.service.partition('/')
        spec = self._configuration.get_service(team, name)
        upstreams = self._directory.list_service(call.service)
        if spec is None or not upstreams:
            raise NotFoundError(f'there is no service {call.service}')
        longest = spec.deadline_ms / 1000
        deadline = self._monotonic() + min(timeout or longest, longest)
        for _ in range(NAIVE_TRIES):
            upstream = upstreams[next(self._turn) % len(upstreams)]
            left = max(0.001, deadline - self._monotonic())
            reply = await self._forwarder.send(
                upstream.address, call, left, NAIVE_CONNECTIONS
            )
            if reply.result is Result.ANSWERED:
                return reply
        raise UpstreamError(reply.error, ran=Ran.UNKNOWN)


class LeastLoaded:
    """The open upstream with the least known load."""

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


class StaticShare:
    """The upstream with the least own load, within a fixed part of slots."""

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
    'least': LeastLoaded,
    'static': StaticShare,
}


class VariantDaemon(Daemon):
    """A daemon with another router or balancer."""

    variant = ''

    def __init__(self, settings: Settings):
        super().__init__(settings)
        if self.variant == 'naive':
            self.router = NaiveRouter(self)
        elif self.variant == 'alone':
            self.router.pools.update_peer_loads = self._ignore  # type: ignore[method-assign]
        else:
            balancer = BALANCERS[self.variant]()
            self.router.pools._balancer = balancer

    def _ignore(self, reports: Iterable[LoadReport]) -> None:
        """Takes in nothing of what peers tell of their load."""


def main() -> int:
    """Runs a daemon of the variant that is named first."""
    VariantDaemon.variant = sys.argv.pop(1)
    program.Daemon = VariantDaemon  # type: ignore[attr-defined]
    return program.main()


if __name__ == '__main__':
    sys.exit(main())
