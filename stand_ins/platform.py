"""The platform in one process: table, object store, host list, workers."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterable
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lentilmount.resources import Room
from lentilmount.upstream.hosts import Host
from lentilmount.upstream.object_store import HttpObjectStore
from stand_ins.attempts import (
    CHECKPOINT_SECONDS,
    TICK_SECONDS,
    WorkerOptions,
)
from stand_ins.faults import Faults
from stand_ins.hosts import HostList, make_hosts_app
from stand_ins.objects import make_objects_app
from stand_ins.serving import make_worker_app
from stand_ins.table import MemoryTable, make_table_app
from stand_ins.worker import Worker

LOOPBACK = '127.0.0.1'


@attrs.frozen
class ZoneOptions:
    """The workers of one availability zone.

    Attributes:
      name: The zone's name.
      workers: Number of workers.
      per_rack: Number of workers per rack.
      capacity: Capacity of each worker.
    """

    name: str
    workers: int
    per_rack: int
    capacity: Room


@attrs.define
class PlatformOptions:
    """Options of the platform.

    Attributes:
      zones: The availability zones.
      usage_lag: Seconds by which usage measurements lag.
      interference: Slowdown factor of a class, by the class that runs on the
        same worker.
      host_lag: Seconds by which the host list lags.
      seed: Seed of every random number generator.
      tick_seconds: Period of the workers' task updates.
      endpoints: Endpoints that serve requests in place of a worker, by the
        worker's name.
      objects: URL of another platform's object store for the workers to use;
        empty for this platform's own.
      checkpoint_seconds: Seconds of work between two checkpoints of a job.
    """

    zones: tuple[ZoneOptions, ...]
    usage_lag: float = 2.0
    interference: dict[str, dict[str, float]] = attrs.Factory(dict)
    host_lag: float = 0.0
    seed: int = 1
    tick_seconds: float = TICK_SECONDS
    endpoints: dict[str, str] = attrs.Factory(dict)
    objects: str = ''
    checkpoint_seconds: float = CHECKPOINT_SECONDS


class Platform:
    """Runs the stand-ins while its context is open.

    Attributes:
      table_address: IP address and port of the table service.
      objects_address: IP address and port of the object store.
      hosts_address: IP address and port of the host list.
    """

    def __init__(self, options: PlatformOptions):
        self.options = options
        self.table = MemoryTable()
        self.objects: dict[str, bytes] = {}
        self.workers: list[Worker] = []
        self._addresses: dict[str, str] = {}
        self.table_faults = Faults()
        self.objects_faults = Faults()
        self.hosts_faults = Faults()
        self._stack = contextlib.AsyncExitStack()
        self.table_address = ''
        self.objects_address = ''
        self.hosts_address = ''

    async def __aenter__(self) -> Platform:
        """Starts every listener."""
        self.table_address = self._listen(
            make_table_app(self.table, self.table_faults)
        )
        self.objects_address = self._listen(
            make_objects_app(self.objects, self.objects_faults)
        )
        client = HttpObjectStore(
            self.options.objects or f'http://{self.objects_address}'
        )
        self._stack.callback(client.close)
        hosts = [
            self._start_worker(zone, number, client)
            for zone in self.options.zones
            for number in range(zone.workers)
        ]
        self.hosts = HostList(hosts, self.options.host_lag)
        self.hosts_address = self._listen(
            make_hosts_app(self.hosts, self.hosts_faults)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops everything."""
        await self._stack.aclose()

    def _listen(self, app: Application) -> str:
        (socket,) = bind_sockets(0, LOOPBACK)
        server = HTTPServer(app)
        server.add_socket(socket)
        self._stack.callback(server.stop)
        return f'{LOOPBACK}:{socket.getsockname()[1]}'

    def _start_worker(
        self, zone: ZoneOptions, number: int, objects: HttpObjectStore
    ) -> Host:
        options = WorkerOptions(
            name=f'{zone.name}-{number:03d}',
            zone=zone.name,
            rack=f'{zone.name}-r{number // zone.per_rack}',
            capacity=zone.capacity,
            usage_lag=self.options.usage_lag,
            interference=self.options.interference,
            tick_seconds=self.options.tick_seconds,
            checkpoint_seconds=self.options.checkpoint_seconds,
        )
        seed = self.options.seed * 1000 + len(self.workers)
        worker = Worker(options, objects, seed)
        address = self._listen(make_worker_app(worker))
        worker.endpoint = self.options.endpoints.get(options.name, address)
        self._addresses[options.name] = address
        task = asyncio.ensure_future(worker.run())
        self._stack.callback(task.cancel)
        self.workers.append(worker)
        return Host(options.name, address, zone.name, options.rack, False)

    def get_addresses(self) -> dict[str, Any]:
        """Returns all addresses; workers' ones by the worker's name."""
        return {
            'table': f'http://{self.table_address}',
            'objects': f'http://{self.objects_address}',
            'hosts': f'http://{self.hosts_address}',
            'workers': self._addresses,
        }


def make_zones(
    names: Iterable[str], workers: int, per_rack: int, capacity: Room
) -> tuple[ZoneOptions, ...]:
    """Returns zones over which the workers are spread evenly."""
    zones = list(names)
    return tuple(
        ZoneOptions(
            name,
            workers // len(zones) + (number < workers % len(zones)),
            per_rack,
            capacity,
        )
        for number, name in enumerate(zones)
    )


async def run_platform(options: PlatformOptions) -> None:
    """Starts the platform, prints its addresses and runs until cancelled."""
    async with Platform(options) as platform:
        print(json.dumps(platform.get_addresses()), flush=True)
        await asyncio.Event().wait()
