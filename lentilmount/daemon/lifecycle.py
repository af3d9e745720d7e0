"""The daemon from start to end; an exit stack owns all that must close."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

import attrs
import logbook
from grpclib.server import Server
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lentilmount.access import Gate
from lentilmount.batch.links import LinkOptions
from lentilmount.batch.manager import SliceManager
from lentilmount.batch.owner import OwnerOptions
from lentilmount.clock import SystemClock
from lentilmount.commands.configure import Configurer
from lentilmount.commands.jobs import JobDesk, Submitted
from lentilmount.configuration import Configuration
from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.table import (
    Key,
    Put,
    TableError,
    scan_all,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.daemon.callers import make_callers_app
from lentilmount.daemon.follower import Follower
from lentilmount.daemon.operators import Api, make_operators_app
from lentilmount.daemon.peers import News, Peers
from lentilmount.errors import LentilmountError, SettingsError
from lentilmount.events import EventKind, EventLog
from lentilmount.queries.resources import Reader
from lentilmount.routing.directory import Directory
from lentilmount.routing.forward import CurlForwarder
from lentilmount.routing.router import Router, RouterOptions
from lentilmount.settings import Settings
from lentilmount.slices import list_slices
from lentilmount.upstream.hosts import HttpHosts
from lentilmount.upstream.table import HttpTable
from lentilmount.upstream.workers import HttpWorkers

log = logbook.Logger('daemon')

MEMBERS = 'member'
DISCOVERY_SECONDS = 2.0
REACH_SECONDS = 2.0


class Daemon:
    """One `lentilmountd`.

    Attributes:
      addresses: Where it listens, by listener.
      stopping: Whether a planned stop has begun.
      failed: Set when a part of the daemon died.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.stopping = False
        self.failed = asyncio.Event()
        times = settings.times
        clock = SystemClock()
        self.events = EventLog(settings.name, clock)
        self.configuration = Configuration()
        self.directory = Directory()
        self._stack = contextlib.AsyncExitStack()
        self._slices = tuple(
            list_slices(settings.zones, settings.slices_per_zone)
        )
        self.table = HttpTable(settings.platform.table)
        self._hosts = HttpHosts(settings.platform.hosts)
        self._workers = HttpWorkers()
        self._forwarder = CurlForwarder()
        self.router = Router(
            self.directory,
            self.configuration,
            self._forwarder,
            RouterOptions(settings.zone, settings.entry_hosts),
            clock.monotonic,
        )
        self._follower = Follower(
            self.table,
            self.configuration,
            self.directory,
            self._slices,
            self.events,
            times.poll,
        )
        incarnation = int(time.time() * 1000)
        self.membership = Membership(
            Member(settings.name, settings.zone, '', incarnation),
            times.silence,
            clock.monotonic,
        )
        self._peers = Peers(
            self.membership,
            self.events,
            settings.peers,
            times.heartbeat,
            self._get_news,
            self._take_news,
            self._wake_slice,
        )
        self.manager = SliceManager(
            self.table,
            self._workers,
            self.configuration,
            self.membership,
            self.events,
            OwnerOptions(
                LinkOptions(
                    sync_seconds=times.sync,
                    lease_seconds=times.task_lease,
                    promise_seconds=times.task_promise,
                ),
                self._slices,
                times.slice_lease,
            ),
            settings.slices_per_zone,
            clock.monotonic,
        )

    async def __aenter__(self) -> Daemon:
        """Starts every listener and every task."""
        async with contextlib.AsyncExitStack() as stack:
            for part in (
                self.table,
                self._hosts,
                self._workers,
                self._forwarder,
                self._peers,
            ):
                stack.callback(part.close)
            await self._listen(stack)
            for work in (
                self._follower.run(),
                self._peers.run(),
                self.manager.run(),
                self._watch_hosts(),
                self._watch_members(),
            ):
                task = asyncio.create_task(work)
                task.add_done_callback(self._note_end)
                stack.push_async_callback(_cancel, task)
            self._stack = stack.pop_all()
        self.events.record('daemon', EventKind.STARTED)
        log.info('Daemon {} started.', self.settings.name)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes everything."""
        await self._stack.aclose()

    def _note_end(self, task: asyncio.Task[None]) -> None:
        # A part that died would leave a daemon that looks alive and does half
        # of its work; the platform restarts one that ends.
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        log.error(
            'A part of the daemon failed.',
            exc_info=(type(error), error, error.__traceback__),
        )
        self.failed.set()

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        gate = Gate(self.settings.access)
        listen = self.settings.listen
        server = Server([self._peers.make_service()])
        self.addresses['peers'] = await self._serve_peers(
            stack, server, listen.peers
        )
        self.membership.me = attrs.evolve(
            self.membership.me, address=self.addresses['peers']
        )
        api = Api(
            gate,
            self.configuration,
            Configurer(self.table),
            JobDesk(self.table, self._slices),
            Reader(
                self.table, self.configuration, self.directory, self._slices
            ),
            self,
        )
        apps = {
            'callers': make_callers_app(gate, self.router),
            'operators': make_operators_app(api),
        }
        for name, app in apps.items():
            self.addresses[name] = _serve(stack, app, getattr(listen, name))

    async def _serve_peers(
        self, stack: contextlib.AsyncExitStack, server: Server, address: str
    ) -> str:
        (socket,) = _bind(address)
        await server.start(sock=socket)
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)
        return _name(socket)

    async def _watch_hosts(self) -> None:
        while True:
            with contextlib.suppress(LentilmountError):
                self.manager.hosts = await self._hosts.list_hosts()
            await asyncio.sleep(self.settings.times.host_list)

    async def _watch_members(self) -> None:
        announced = False
        while True:
            with contextlib.suppress(TableError):
                if not announced:
                    await self._announce_member()
                    announced = True
                rows = await scan_all(self.table, MEMBERS)
                self.membership.discover(Member(**r.body) for r in rows)
            await asyncio.sleep(DISCOVERY_SECONDS)

    async def _announce_member(self) -> None:
        me = self.membership.me
        key = Key(MEMBERS, me.name)
        rows = await self.table.read([key])
        version = rows[key].version if key in rows else 0
        put = Put(key, attrs.asdict(me), version)
        await self.table.transact(make_token(), [put])

    def _get_news(self) -> News:
        return News(self.configuration.revision, self._follower.sequences)

    def _take_news(self, news: News) -> None:
        known = self._follower.sequences
        newer = any(
            sequence > known.get(name, 0)
            for name, sequence in news.sequences.items()
        )
        if newer or news.revision > self.configuration.known:
            self.configuration.note(news.revision)
            self._follower.wake()

    def _wake_slice(self, slice_name: str) -> None:
        owner = self.manager.owners.get(slice_name)
        if owner is not None:
            owner.wake()

    async def announce(self, submitted: Submitted) -> None:
        """See `StatusSource`."""
        if submitted.slice_name in self.manager.owners:
            self._wake_slice(submitted.slice_name)
            return
        await self._peers.wake_owner(submitted.slice_name)

    async def reach(self, revision: int) -> None:
        """See `StatusSource`."""
        self.configuration.note(revision)
        self._follower.wake()
        await self.configuration.reach(revision, REACH_SECONDS)

    def describe(self) -> dict[str, Any]:
        """See `StatusSource`."""
        return {
            'daemon': self.settings.name,
            'zone': self.settings.zone,
            'revision': self.configuration.revision,
            'ready': not self.find_fault(),
            'fault': self.find_fault(),
            'slices': sorted(self.manager.owners),
            'members': sorted(m.name for m in self.membership.list_up()),
            'in_flight': sum(self.router.in_flight.values()),
            'addresses': self.addresses,
        }

    def find_fault(self) -> str:
        """See `StatusSource`."""
        if self.stopping:
            return 'the daemon is stopping'
        if not self.configuration.is_ready:
            return 'no revision of the configuration is in force yet'
        return ''

    async def stop(self) -> None:
        """Shuts down so that no request in flight is cut off.

        The balancer goes on sending for a while after the daemon says that
        it is not ready, so the daemon goes on serving for as long.
        """
        self.stopping = True
        self.membership.stop()
        self.manager.stop()
        self.events.record('daemon', EventKind.STOPPING)
        log.info('Daemon {} is stopping.', self.settings.name)
        await asyncio.sleep(self.settings.times.drain)
        while sum(self.router.in_flight.values()):
            await asyncio.sleep(0.02)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def _bind(address: str) -> list[Any]:
    host, _, port = address.rpartition(':')
    try:
        return bind_sockets(int(port), host.strip('[]'))
    except OSError as error:
        raise SettingsError(
            f'listen: {address} cannot be used: {error.strerror}; choose '
            f'another address, or port 0 to let the system choose'
        ) from error


def _name(socket: Any) -> str:
    host, port = socket.getsockname()[:2]
    return f'{host}:{port}'


def _serve(
    stack: contextlib.AsyncExitStack, app: Application, address: str
) -> str:
    (socket,) = _bind(address)
    server = HTTPServer(app)
    server.add_socket(socket)
    stack.push_async_callback(server.close_all_connections)
    stack.callback(server.stop)
    return _name(socket)


def print_addresses(daemon: Daemon) -> None:
    """Prints where the daemon listens, as one line of JSON."""
    print(json.dumps(daemon.addresses), flush=True)
