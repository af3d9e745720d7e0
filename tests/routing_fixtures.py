"""A router with raw or scripted upstreams, for tests of routing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from lentilmount.batch.records import Task
from lentilmount.clock import SystemClock
from lentilmount.configuration import Configuration
from lentilmount.resources import (
    ConfigurationSpec,
    Demand,
    Kind,
    Metadata,
    Phase,
    Resource,
    ServiceSpec,
    Spec,
    TeamSpec,
)
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.routing.forward import Call, CurlForwarder, Forwarder, Reply
from lentilmount.routing.router import Router, RouterOptions
from stand_ins.raw import RawOptions, RawUpstream

SERVICE = 'desk/quota'
ZONE = 'alex-a'
SPEC = ServiceSpec(Demand(1.0, 1), 4, deadline_ms=2000, target_ms=500)


def make_task(
    index: int,
    address: str,
    zone: str = ZONE,
    attempt: int = 1,
    boot: str = 'boot-1',
    phase: Phase = Phase.RUNNING,
) -> Task:
    """Returns the task of a replica."""
    return Task(
        f'Service/{SERVICE}/{index}',
        Demand(1.0, 1),
        phase=phase,
        attempt=attempt,
        worker=f'{zone}-{index}',
        boot=boot,
        endpoint=address,
    )


def make_resource(
    kind: Kind, name: str, spec: Spec, team: str = ''
) -> Resource:
    """Returns a resource."""
    return Resource(kind, Metadata(name, team), spec)


def make_configuration(
    spec: ServiceSpec = SPEC,
    weights: ConfigurationSpec | None = None,
    team: TeamSpec | None = None,
    more: Sequence[Resource] = (),
) -> Configuration:
    """Returns a configuration with one service."""
    configuration = Configuration()
    configuration.load(
        1,
        [
            make_resource(Kind.SERVICE, 'quota', spec, 'desk'),
            make_resource(
                Kind.CONFIGURATION, 'default', weights or ConfigurationSpec()
            ),
            make_resource(Kind.TEAM, 'desk', team or TeamSpec()),
            *more,
        ],
    )
    return configuration


def make_call(number: int, idempotent: bool = True, body: bytes = b'') -> Call:
    """Returns a call; its body is its id unless given."""
    name = f'request-{number}'
    return Call(
        name, SERVICE, 'POST', 'check', (), body or name.encode(), idempotent
    )


@attrs.define
class ScriptedForwarder:
    """A forwarder that returns the replies of a function.

    Attributes:
      answer: Returns the reply to a call, given the address and the call.
      sent: Address and call of each request, in order.
      gate: If given, calls wait until this event is set.
    """

    answer: Callable[[str, Call], Reply]
    sent: list[tuple[str, Call]] = attrs.Factory(list)
    gate: asyncio.Event | None = None

    async def send(
        self, address: str, call: Call, timeout: float, connections: int
    ) -> Reply:
        """See `Forwarder`."""
        self.sent.append((address, call))
        if self.gate is not None:
            await self.gate.wait()
        return self.answer(address, call)


def make_router(
    addresses: Sequence[str],
    forwarder: Forwarder,
    configuration: Configuration | None = None,
    entry_hosts: int = 8,
    monotonic: Callable[[], float] | None = None,
    daemons: int = 1,
) -> tuple[Router, UpstreamDirectory]:
    """Returns a router and its directory, with upstreams at the addresses."""
    directory = UpstreamDirectory()
    tasks = [make_task(index, a) for index, a in enumerate(addresses)]
    directory.load(f'{ZONE}/0', tasks)
    router = Router(
        directory,
        configuration or make_configuration(),
        forwarder,
        RouterOptions(ZONE, 'entry-0', entry_hosts, seed=1),
        monotonic or SystemClock().monotonic,
        count_daemons=lambda: daemons,
    )
    return router, directory


async def start_raw(
    count: int, options: RawOptions | None = None
) -> list[RawUpstream]:
    """Starts raw upstreams."""
    options = options or RawOptions()
    return [await RawUpstream(options).start() for _ in range(count)]


@attrs.define
class RoutingFixture:
    """Raw upstreams behind a router with the real HTTP client.

    Attributes:
      upstreams: The upstreams.
      router: The router.
      directory: Directory of the router.
      forwarder: HTTP client of the router.
    """

    upstreams: list[RawUpstream]
    router: Router
    directory: UpstreamDirectory
    forwarder: CurlForwarder

    @classmethod
    async def start(
        cls,
        count: int,
        options: RawOptions | None = None,
        configuration: Configuration | None = None,
        entry_hosts: int = 8,
        monotonic: Callable[[], float] | None = None,
    ) -> RoutingFixture:
        """Starts the upstreams and the router."""
        upstreams = await start_raw(count, options)
        forwarder = CurlForwarder()
        router, directory = make_router(
            [u.address for u in upstreams],
            forwarder,
            configuration,
            entry_hosts,
            monotonic,
        )
        return cls(upstreams, router, directory, forwarder)

    async def __aenter__(self) -> RoutingFixture:
        """Returns the fixture."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the client and the upstreams."""
        self.forwarder.close()
        for upstream in self.upstreams:
            upstream.stop()

    def count_runs(self, call: Call) -> int:
        """Returns the number of times that upstreams ran a request."""
        return sum(u.served[call.id] for u in self.upstreams)
