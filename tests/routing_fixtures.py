"""A router with raw or scripted upstreams, for tests of the entry path."""

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
    """Builds a replica's row."""
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
    """Builds a resource."""
    return Resource(kind, Metadata(name, team), spec)


def make_configuration(
    spec: ServiceSpec = SPEC,
    weights: ConfigurationSpec | None = None,
    team: TeamSpec | None = None,
    more: Sequence[Resource] = (),
) -> Configuration:
    """Builds a configuration with one service."""
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
    """Builds a call; its body is its id unless given."""
    name = f'request-{number}'
    return Call(
        name, SERVICE, 'POST', 'check', (), body or name.encode(), idempotent
    )


@attrs.define
class ScriptedForwarder:
    """Answers as a function of the address and the call says.

    Attributes:
      answer: Makes the reply.
      sent: Every address and call, in order.
      gate: While set, calls wait for it.
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
    """Builds a router over upstreams at some addresses."""
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
class Scene:
    """Raw upstreams behind a router with the real client.

    Attributes:
      upstreams: The upstreams.
      router: The router.
      directory: What it knows of upstreams.
      forwarder: Its client.
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
    ) -> Scene:
        """Starts everything."""
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

    async def __aenter__(self) -> Scene:
        """Returns the scene."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops everything."""
        self.forwarder.close()
        for upstream in self.upstreams:
            upstream.stop()

    def count_runs(self, call: Call) -> int:
        """Returns how often a request truly ran."""
        return sum(u.served[call.id] for u in self.upstreams)
