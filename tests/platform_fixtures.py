"""Fixtures: daemon processes on a stand-in platform in the test's process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from collections.abc import AsyncIterator
from typing import Any

import attrs
import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from lentilmount.clock import ManualClock, SystemClock
from lentilmount.control.candidates import Candidates
from lentilmount.control.election import ServiceElection
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner_settings import OwnerSettings
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.platform.store import Changes, PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.upstream.http import HttpClient
from stand_ins.entry_hosts import (
    HOST,
    PREFIX,
    SERVICE,
    listen,
    make_configuration,
    make_settings,
    write_settings,
)
from stand_ins.fleet import Fleet
from stand_ins.rowstore import RowStore, StoreListener, make_row_service

__all__ = [
    'HOST',
    'PREFIX',
    'SERVICE',
    'listen',
    'make_configuration',
    'make_settings',
]

WAIT_SECONDS = 20.0


@attrs.define
class Daemon:
    """A daemon process and its log lines."""

    process: asyncio.subprocess.Process
    lines: list[dict[str, Any]] = attrs.Factory(list)

    def get_address(self, name: str) -> str:
        """Returns an address that it listens on, or '' before it has logged it.

        Args:
          name: Name of the listener, such as 'frontend'.
        """
        for line in self.select(message='Started.'):
            return str(line[name])
        return ''

    async def read_log(self) -> None:
        """Collects its log lines until it exits."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def select(self, **fields: Any) -> list[dict[str, Any]]:
        """Returns the log lines with these fields."""
        return [
            line
            for line in self.lines
            if all(line.get(name) == value for name, value in fields.items())
        ]


@attrs.define
class PlatformFixture:
    """The stand-ins of the platform, and the daemons started on it."""

    store: RowStore
    fleet: Fleet
    address: str
    folder: pathlib.Path
    stack: contextlib.AsyncExitStack
    client: AsyncHTTPClient = attrs.field(
        factory=lambda: AsyncHTTPClient(force_instance=True)
    )

    def open_store_address(self) -> StoreListener:
        """Opens another address of the store, with faults of its own."""
        listener = StoreListener()
        listener.address = serve_store(self.store, self.stack, listener)
        return listener

    async def start(
        self, name: str = 'host-1', store: str = '', **fields: Any
    ) -> Daemon:
        """Starts a daemon and waits until it is ready.

        Args:
          name: Name of its host.
          store: Address of the store, if not the default one.
          **fields: Settings that differ from the defaults.
        """
        variables = write_settings(
            self.folder, store or self.address, name, **fields
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lentilmount.control',
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, **variables},
        )
        daemon = Daemon(process)
        reader = asyncio.create_task(daemon.read_log())
        self.stack.push_async_callback(end_process, process, reader)
        await self.wait_for(lambda: self.is_ready(daemon))
        return daemon

    async def is_ready(self, daemon: Daemon) -> bool:
        """Returns the result of a readiness check."""
        address = daemon.get_address('readiness')
        if not address:
            return False
        answer = await self.client.fetch(
            f'http://{address}/readiness', raise_error=False
        )
        return answer.code == 200

    async def call(
        self, daemon: Daemon, method: str, path: str, body: Any = None
    ) -> HTTPResponse:
        """Sends a request of a client."""
        request = HTTPRequest(
            f'http://{daemon.get_address("frontend")}{path}',
            method=method,
            body=None if body is None else orjson.dumps(body),
            headers={'Host': HOST},
            allow_nonstandard_methods=True,
        )
        return await self.client.fetch(request, raise_error=False)

    async def submit(
        self, daemon: Daemon, job_id: str, payload: str = 'ok', **step: Any
    ) -> HTTPResponse:
        """Submits a job with one step."""
        steps = [
            {'count': 1, 'cpu': 1000, 'memMb': 500, 'estimatedMs': 100, **step}
        ]
        body = {'spec': payload, 'steps': steps}
        return await self.call(daemon, 'POST', PREFIX + job_id, body)

    async def get_state(self, daemon: Daemon, job_id: str) -> str:
        """Returns a job's state, or the HTTP status if it is not 200."""
        answer = await self.call(daemon, 'GET', PREFIX + job_id)
        if answer.code != 200:
            return str(answer.code)
        state: str = orjson.loads(answer.body)['state']
        return state

    async def wait_for_state(
        self, daemon: Daemon, job_id: str, state: str
    ) -> None:
        """Waits until a daemon reports a state of a job."""

        async def is_reached() -> bool:
            return await self.get_state(daemon, job_id) == state

        await self.wait_for(is_reached)

    async def wait_for(self, check: Any) -> None:
        """Waits until an asynchronous check returns True."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not await check():
                await asyncio.sleep(0.05)


async def wait_for_line(
    platform: PlatformFixture, daemon: Daemon, message: str
) -> None:
    """Waits until a daemon has logged a message."""

    async def is_logged() -> bool:
        return bool(daemon.select(message=message))

    await platform.wait_for(is_logged)


async def end_process(
    process: asyncio.subprocess.Process, reader: asyncio.Task[None]
) -> None:
    """Kills a daemon process if it still runs."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
    await process.wait()
    await reader


def serve_store(
    store: RowStore, stack: contextlib.AsyncExitStack, listener: StoreListener
) -> str:
    """Serves a stand-in of the table service; returns the address."""
    return listen(make_row_service(store, listener), stack)


@contextlib.asynccontextmanager
async def open_platform(
    folder: pathlib.Path, workers: int = 2
) -> AsyncIterator[PlatformFixture]:
    """Opens the stand-ins of the platform."""
    async with contextlib.AsyncExitStack() as stack:
        store = RowStore()
        store.write(('op', '', 'config'), make_configuration(1))
        address = serve_store(store, stack, StoreListener())
        fleet = Fleet(store, SERVICE, workers)
        fleet.open()
        stack.callback(fleet.close)
        yield PlatformFixture(store, fleet, address, folder, stack)


def open_store(
    stack: contextlib.AsyncExitStack,
) -> tuple[RowStore, HttpClient]:
    """Opens a stand-in of the table service and an HTTP client for it."""
    store = RowStore()
    http_client = HttpClient(
        f'http://{serve_store(store, stack, StoreListener())}'
    )
    stack.callback(http_client.close)
    return store, http_client


@contextlib.asynccontextmanager
async def open_table() -> AsyncIterator[tuple[RowStore, PlatformTable]]:
    """Opens a stand-in of the table service and its `PlatformTable`."""
    async with contextlib.AsyncExitStack() as stack:
        store, http_client = open_store(stack)
        yield store, PlatformTable(http_client, 0.5)


class BlockedTable(PlatformTable):
    """A table client whose reads of the jobs block until `gate` is set."""

    gate: asyncio.Event

    async def read_all(self, table: str, part: str = '') -> Changes:
        """See `PlatformTable`."""
        if table == 'jobs':
            await self.gate.wait()
        return await super().read_all(table, part)


def open_blocked_table(
    stack: contextlib.AsyncExitStack,
) -> tuple[RowStore, BlockedTable]:
    """Opens a stand-in of the table service and a client that blocks."""
    store, http_client = open_store(stack)
    table = BlockedTable(http_client, 1.0)
    table.gate = asyncio.Event()
    return store, table


async def _may_own(address: str) -> bool:
    return True


def make_election(
    table: PlatformTable, candidates: Candidates
) -> ServiceElection:
    """Returns an election in which every larger host can own the service."""
    return ServiceElection(
        OwnerSettings(SERVICE, 6.0, 120.0),
        table,
        'host-1.a',
        SystemClock(),
        lambda epoch: WorkerClient(HttpClient(''), epoch, 1.0),
        lambda: False,
        None,
        ControlMetrics(),
        candidates,
        _may_own,
    )


@attrs.define
class FakeOutageDetector(OutageDetector):
    """An outage detector with predefined answers of its peers.

    Attributes:
      ages_by_peer: Seconds since the store last answered each peer; None for a
        peer that does not answer.
    """

    ages_by_peer: dict[str, float | None] = attrs.field(kw_only=True)

    async def _ask_peer(self, address: str) -> float | None:
        return self.ages_by_peer[address]


def make_outage_detector(
    ages: dict[str, float | None], clock: ManualClock
) -> OutageDetector:
    """Returns the detector of a daemon whose calls have failed for a second."""
    health = StoreHealth(clock.monotonic, SERVICE)
    health.record(True)
    clock.advance(1.0)
    health.record(False)
    peers = PeerList('a', ('a', *ages))
    return FakeOutageDetector(health, HttpClient(''), peers, ages_by_peer=ages)
