"""Real daemons in front of raw upstreams, with the brief's two services."""

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
MANY_CONNECTIONS = 8192
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
TICKS = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Site:
    """One service of the brief.

    Attributes:
      service: As team/name.
      zones: Availability zones; the last one has no entry host here.
      workers: Workers, each with one replica.
      per_rack: How many to a rack.
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
"""Served by the same upstreams, in the same slots."""


@attrs.frozen
class FleetOptions:
    """What a fleet is like.

    Attributes:
      site: Zones and workers.
      raw: The upstreams' slots and times.
      variant: Router of the daemons; '' for the shipped one.
      daemons: How many.
      target_ms: Target of the service.
      deadline_ms: Longest that a request may take.
      wave_rate: Limit of the noisy team, in requests a second.
    """

    site: Site
    raw: RawOptions
    variant: str = ''
    daemons: int = 3
    target_ms: float = 1000.0
    deadline_ms: float = 4000.0
    wave_rate: float = 0.0


def read_cpu_seconds(process: Process) -> float:
    """Returns the processor time that a process has used."""
    stat = pathlib.Path(f'/proc/{process.popen.pid}/stat').read_text('utf-8')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Fleet:
    """Processes of one variant, ready to be called.

    Attributes:
      options: What it is like.
      capacity: Requests a second that full slots serve.
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
        """Starts everything and waits until every replica runs."""
        self._stack.enter_context(self.deployment)
        module = 'lentilmount.daemon'
        variant = self.options.variant
        for number in range(self.options.daemons):
            self.deployment.start_daemon(
                f'entry-{number}',
                self.options.site.zones[number],
                module if not variant else f'benchmarks.variants {variant}',
                limits=LimitSettings(connections=MANY_CONNECTIONS),
            )
        operators = self.daemons[0].addresses['operators']
        self._caller = HttpClient(f'http://{operators}', 10.0)
        self._stack.callback(self._caller.close)
        await self._declare()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends everything."""
        await self._stack.aclose()

    @property
    def daemons(self) -> list[Process]:
        """The daemons' processes."""
        return list(self.deployment.daemons.values())

    @property
    def endpoints(self) -> dict[str, str]:
        """Addresses of the raw upstreams, by worker."""
        return self.deployment.options.endpoints

    def list_zone(self, zone: str) -> list[str]:
        """Returns the raw upstreams of a zone."""
        return [a for n, a in self.endpoints.items() if n.startswith(zone)]

    async def _call(self, method: str, path: str, value: Any = None) -> Any:
        body = None if value is None else json.dumps(value).encode()
        answer = await self._caller.call(method, path, body, AUTHORIZATION)
        if answer.status >= 400:
            raise RuntimeError(f'{method} {path}: {answer.body.decode()}')
        return json.loads(answer.body)

    async def _declare(self) -> None:
        await self._call(
            'POST',
            '/v1/teams',
            {
                'kind': 'Team',
                'metadata': {'name': 'noisy-team'},
                'spec': {'requests_per_second': self.options.wave_rate},
            },
        )
        for service in (self.options.site.service, WAVE_SERVICE):
            await self._declare_service(service)
        for service in (self.options.site.service, WAVE_SERVICE):
            await self._wait_for(service)

    async def _declare_service(self, service: str) -> None:
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

    async def _wait_for(self, service: str) -> None:
        until = time.monotonic() + READY_SECONDS
        wanted = f'{self.options.site.workers} of'
        while time.monotonic() < until:
            status = (await self._call('GET', f'/v1/services/{service}'))[
                'status'
            ]
            if status['reason'].startswith(wanted):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'{service}: {status["reason"]}')
