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
from tornado.web import Application

from lentilmount.access import Gate
from lentilmount.batch.links import LinkOptions
from lentilmount.batch.manager import SliceManager
from lentilmount.batch.owner import OwnerOptions
from lentilmount.batch.preference import Preference, PreferenceOptions
from lentilmount.clock import SystemClock
from lentilmount.commands.configure import Configurer
from lentilmount.commands.jobs import JobDesk, Submitted
from lentilmount.configuration import CONFIGURATION_LOG, Configuration
from lentilmount.coordination.membership import Member, Membership
from lentilmount.daemon.api import Api
from lentilmount.daemon.callers import make_callers_app
from lentilmount.daemon.draining import Drain
from lentilmount.daemon.feed import WorkerFeed
from lentilmount.daemon.follower import Follower
from lentilmount.daemon.gossip import Gossip
from lentilmount.daemon.heartbeats import News
from lentilmount.daemon.housekeeping import run_housekeeping
from lentilmount.daemon.listeners import bind, name_address, serve
from lentilmount.daemon.metrics import (
    AnswerCounter,
    gauge_tasks,
    make_metrics_app,
)
from lentilmount.daemon.operators import make_operators_app
from lentilmount.daemon.peers import PeerOptions, Peers, PeerService
from lentilmount.daemon.registry import Registry
from lentilmount.daemon.security import Security
from lentilmount.daemon.survey import Survey
from lentilmount.errors import LentilmountError
from lentilmount.events import EventKind, EventLog
from lentilmount.metrics import Gauged, Metrics
from lentilmount.queries.resources import Reader
from lentilmount.queries.watch import Watcher
from lentilmount.routing.directory import Directory
from lentilmount.routing.forward import CurlForwarder
from lentilmount.routing.router import Router, RouterOptions
from lentilmount.settings import Settings
from lentilmount.slices import get_zone, list_slices
from lentilmount.upstream.hosts import HttpHosts
from lentilmount.upstream.table import HttpTable
from lentilmount.upstream.workers import HttpWorkers
from lentilmount.wire import peer_pb2

log = logbook.Logger('daemon')

REACH_SECONDS = 2.0
QUIET_SECONDS = 0.5
"""A stop ends when no request came for this long after the drain time."""

ELIGIBLE_LOOK_SECONDS = 0.5


class Daemon:
    """One `lentilmountd`.

    Attributes:
      addresses: Where it listens, by listener.
      apps: The HTTP applications, by listener.
      stopping: Whether a planned stop has begun.
      failed: Set when a part of the daemon died.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.apps: dict[str, Application] = {}
        self.stopping = False
        self.failed = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self.gate = Gate(settings.access)
        self.security = Security(settings.tls)
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
            RouterOptions(settings.zone, settings.name, settings.entry_hosts),
            clock.monotonic,
            self.events,
            count_daemons=lambda: len(self.membership.list_up()),
        )
        incarnation = int(time.time() * 1000)
        self.membership = Membership(
            Member(settings.name, settings.zone, '', incarnation),
            times.silence,
            clock.monotonic,
            times.forget,
        )
        self._preference = Preference(
            self.membership,
            PreferenceOptions(self._slices, times.settle, times.slice_lease),
            clock.monotonic,
        )
        self._peers = Peers(
            self.membership,
            self.events,
            PeerOptions(
                settings.peers,
                times.heartbeat,
                times.silence,
                settings.zone_links,
            ),
            self._get_news,
            self._take_news,
            clock.monotonic,
            self.security.peer_client,
            Gossip(self.router.pools),
        )
        self.router.pools.on_mark = self._peers.push
        self._follower = Follower(
            self.table,
            self.configuration,
            self.directory,
            self._slices,
            self.events,
            times.poll,
            self._is_reader,
            self._peers.fetch_changes,
            self._peers.push,
        )
        self._registry = Registry(
            self.table, self.membership, times.members, clock.monotonic
        )
        self._drain = Drain(clock.monotonic)
        self.metrics = Metrics(self._read_gauges)
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
            self._announce_release,
            self._preference,
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
                WorkerFeed(self.manager, self.router.pools).run(),
                self._registry.run(),
                self._watch_eligibility(),
                run_housekeeping(self.table, self._is_housekeeper),
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
        listen = self.settings.listen
        service = PeerService(
            self._peers,
            self.events,
            self.manager.wake,
            self._answer_peer,
            self.describe,
        )
        server = Server([service])
        bound = bind(listen.peers, 'listen.peers')
        self.addresses['peers'] = name_address(bound)
        await server.start(sock=bound, ssl=self.security.servers['peers'])
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)
        self.membership.me = attrs.evolve(
            self.membership.me, address=self.addresses['peers']
        )
        counter = AnswerCounter(self.metrics, self.configuration, self.events)
        listeners = (
            (
                'callers',
                make_callers_app(self.gate, self.router),
                counter.count_call,
            ),
            (
                'operators',
                make_operators_app(self._make_api()),
                counter.count_command,
            ),
            (
                'metrics',
                make_metrics_app(self.gate, self.metrics),
                lambda _: None,
            ),
        )
        for name, app, on_answer in listeners:
            bound = bind(getattr(listen, name), f'listen.{name}')
            self.addresses[name] = name_address(bound)
            self.apps[name] = app
            tls = self.security.servers[name]
            limits = self.settings.limits
            serve(stack, app, bound, limits, tls, on_answer, self._drain)

    def _make_api(self) -> Api:
        reader = Reader(
            self.table, self.configuration, self.directory, self._slices
        )
        return Api(
            gate=self.gate,
            configuration=self.configuration,
            configurer=Configurer(self.table),
            jobs=JobDesk(self.table, self._slices),
            reader=reader,
            watcher=Watcher(self.table, self._slices, self._get_positions),
            survey=Survey(self._peers),
            events=self.events,
            status=self,
            zones=self.settings.zones,
            most_watches=self.settings.limits.watches,
        )

    def _get_positions(self) -> dict[str, int]:
        revision = self.configuration.revision
        return {CONFIGURATION_LOG: revision, **self._follower.logs.heads}

    def _read_gauges(self) -> list[Gauged]:
        owners = list(self.manager.owners.values())
        values = {
            'ready': not self.find_fault(),
            'store_up': self._follower.store_up,
            'revision': self.configuration.revision,
            'known_revision': self.configuration.known,
            'slices': len(owners),
            'members': len(self.membership.list_up()),
            'in_flight': self._drain.in_flight,
        }
        return [
            *(Gauged(f'lentilmount_{n}', float(v)) for n, v in values.items()),
            *gauge_tasks(t for o in owners for t in o.ledger.tasks.values()),
        ]

    async def _watch_hosts(self) -> None:
        while True:
            with contextlib.suppress(LentilmountError):
                self.manager.hosts = await self._hosts.list_hosts()
                self.router.pools.take_hosts(self.manager.hosts)
            await asyncio.sleep(self.settings.times.host_list)

    async def _watch_eligibility(self) -> None:
        """Keeps this daemon from owning slices where it could not serve them.

        One that cannot reach the table loses its leases anyway; as long as
        the others know, they do not hand it new ones.
        """
        while True:
            able = self._follower.store_up and not self._registry.replaced
            self.membership.set_eligible(able)
            await asyncio.sleep(ELIGIBLE_LOOK_SECONDS)

    def _is_housekeeper(self) -> bool:
        names = [m.name for m in self.membership.list_eligible()]
        return bool(names) and min(names) == self.membership.me.name

    def _is_reader(self, slice_name: str) -> bool:
        owned = slice_name in self.manager.owners
        return owned or self._preference.is_first(slice_name)

    def _get_news(self) -> News:
        return self._follower.get_news()

    def _take_news(self, news: News) -> None:
        self._follower.hear(news)

    def _answer_peer(
        self, request: peer_pb2.ChangesRequest
    ) -> peer_pb2.ChangesReply:
        return self._follower.answer(request)

    def _announce_release(self, slice_name: str) -> None:
        work = self._peers.wake_owner(slice_name, get_zone(slice_name))
        self._calls.add(task := asyncio.create_task(work))
        task.add_done_callback(self._calls.discard)

    async def announce(self, submitted: Submitted) -> None:
        """See `StatusSource`."""
        if submitted.slice_name in self.manager.owners:
            self.manager.wake(submitted.slice_name)
            return
        await self._peers.wake_owner(
            submitted.slice_name, get_zone(submitted.slice_name)
        )

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
            'known_revision': self.configuration.known,
            'ready': not self.find_fault(),
            'fault': self.find_fault(),
            'slices': sorted(self.manager.owners),
            'members': sorted(m.name for m in self.membership.list_up()),
            'in_flight': self._drain.in_flight,
            'addresses': self.addresses,
        }

    def find_fault(self) -> str:
        """See `StatusSource`."""
        if self.stopping:
            return 'the daemon is stopping'
        if self._registry.replaced:
            return 'another daemon was started under the same name'
        if not self.configuration.is_ready:
            return (
                f'revision {self.configuration.known} of the configuration '
                f'is not in force yet'
            )
        return ''

    def set_time(self, name: str, seconds: float) -> None:
        """Changes one of the times that are read whenever they are needed."""
        times = attrs.evolve(self.settings.times, **{name: seconds})
        self.settings = attrs.evolve(self.settings, times=times)

    async def stop(self) -> None:
        """Shuts down so that no request in flight is cut off.

        The balancer goes on sending for a while after the daemon says that
        it is not ready, so the daemon goes on serving for as long, and then
        until no more requests come. Slices go to others meanwhile.
        """
        self.stopping = True
        self.membership.stop()
        self._peers.push()
        self._drain.refuse_keep_alive()
        self.manager.stop()
        self.events.record('daemon', EventKind.STOPPING)
        log.info('Daemon {} is stopping.', self.settings.name)
        try:
            async with asyncio.timeout(self.settings.times.stop_limit):
                await asyncio.sleep(self.settings.times.drain)
                await self.manager.wait_released()
                await asyncio.gather(*self._calls)
                await self._drain.wait_quiet(QUIET_SECONDS)
        except TimeoutError:
            log.warning(
                'The stop limit is over; {} requests are cut off.',
                self._drain.in_flight,
            )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def print_addresses(daemon: Daemon) -> None:
    """Prints where the daemon listens, as one line of JSON."""
    print(json.dumps(daemon.addresses), flush=True)
