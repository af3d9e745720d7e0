"""Runs real daemons in front of raw upstreams with the reference services."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import time
from typing import Any

import attrs

from lentilmount.resources import Room
from lentilmount.settings import LimitSettings
from lentilmount.upstream.http import HttpClient
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import ADMIN_TOKEN, Deployment, Process
from stand_ins.raw import RawOptions, get_capacity

READY_SECONDS = 30.0
MAX_CONNECTIONS = 8192
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Site:
    """A reference service and the workers it runs on.

    Attributes:
      service: Name of the service, as team/name.
      zones: Availability zones; the last one has no entry host.
      workers: Number of workers, each with one replica.
      per_rack: Number of workers in a rack.
    """

    service: str
    zones: tuple[str, ...]
    workers: int
    per_rack: int


AIRTIME = Site(
    'nilewave-desk/airtime-desk',
    ('alex-a', 'alex-b', 'cairo-a', 'port-said'),
    34,
    8,
)
RAPORT = Site(
    'doradcy-lodz/raport-polowy',
    ('mazowsze', 'lodz', 'kujawy', 'wielkopolska'),
    24,
    6,
)

WAVE_SERVICE = 'noisy-team/wave'
"""Service of the noisy team, served by the same upstreams and slots."""


@attrs.frozen
class FleetOptions:
    """Options of a `Fleet`.

    Attributes:
      site: Service, zones and workers.
      raw: Slots and response times of the upstreams.
      variant: Name of the routing variant; '' for the shipped router.
      daemons: Number of daemons.
      target_ms: Latency target of the services.
      deadline_ms: Deadline of a request.
      wave_rate_limit: Rate limit of the noisy team, in requests per second.
    """

    site: Site
    raw: RawOptions
    variant: str = ''
    daemons: int = 3
    target_ms: float = 1000.0
    deadline_ms: float = 4000.0
    wave_rate_limit: float = 0.0


def read_cpu_seconds(process: Process) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    stat = pathlib.Path(f'/proc/{process.popen.pid}/stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


class Fleet:
    """The processes of one routing variant, started by `async with`.

    Attributes:
      options: Options of the fleet.
      capacity: Requests per second served when all slots are in use.
    """

    def __init__(self, options: FleetOptions):
        self.options = options
        site = options.site
        self.capacity = get_capacity(site.workers, options.raw)
        platform = PlatformOptions(
            make_zones(
                site.zones, site.workers, site.per_rack, Room(8.0, 32768)
            )
        )
        self.deployment = Deployment(platform, raw=options.raw)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Fleet:
        """Starts the processes and waits until all replicas run."""
        self._stack.enter_context(self.deployment)
        module = 'lentilmount.daemon'
        variant = self.options.variant
        for number in range(self.options.daemons):
            self.deployment.start_daemon(
                f'entry-{number}',
                self.options.site.zones[number],
                module if not variant else f'benchmarks.variants {variant}',
                limits=LimitSettings(connections=MAX_CONNECTIONS),
            )
        operators = self.daemons[0].addresses['operators']
        self._client = HttpClient(f'http://{operators}', 10.0)
        self._stack.callback(self._client.close)
        await self._create_resources()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the processes."""
        await self._stack.aclose()

    @property
    def daemons(self) -> list[Process]:
        """The processes of the daemons."""
        return list(self.deployment.daemons.values())

    @property
    def endpoints(self) -> dict[str, str]:
        """Addresses of the raw upstreams, by worker name."""
        return self.deployment.options.endpoints

    def list_zone_addresses(self, zone: str) -> list[str]:
        """Returns the addresses of the raw upstreams in a zone."""
        return [a for n, a in self.endpoints.items() if n.startswith(zone)]

    async def _call(self, method: str, path: str, value: Any = None) -> Any:
        body = None if value is None else json.dumps(value).encode()
        response = await self._client.call(method, path, body, AUTHORIZATION)
        if response.status >= 400:
            raise RuntimeError(f'{method} {path}: {response.body.decode()}')
        return json.loads(response.body)

    async def _create_resources(self) -> None:
        await self._call(
            'POST',
            '/v1/teams',
            {
                'kind': 'Team',
                'metadata': {'name': 'noisy-team'},
                'spec': {'requests_per_second': self.options.wave_rate_limit},
            },
        )
        for service in (self.options.site.service, WAVE_SERVICE):
            await self._create_service(service)
        for service in (self.options.site.service, WAVE_SERVICE):
            await self._wait_for_replicas(service)

    async def _create_service(self, service: str) -> None:
        team, _, name = service.partition('/')
        await self._call(
            'POST',
            '/v1/services',
            {
                'kind': 'Service',
                'metadata': {'team': team, 'name': name},
                'spec': {
                    'replicas': self.options.site.workers,
                    'demand': {'cores': 1, 'memory_mb': 1024},
                    'target_ms': self.options.target_ms,
                    'deadline_ms': self.options.deadline_ms,
                },
            },
        )

    async def _wait_for_replicas(self, service: str) -> None:
        deadline = time.monotonic() + READY_SECONDS
        wanted = f'{self.options.site.workers} of'
        while time.monotonic() < deadline:
            status = (await self._call('GET', f'/v1/services/{service}'))[
                'status'
            ]
            if status['reason'].startswith(wanted):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(
            f'{service}: not all replicas run: {status["reason"]}'
        )
