"""Starts and stops the daemon; an exit stack closes its resources."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

import attrs
import logbook
from grpclib.server import Server
from tornado.web import Application

from lentilmount.access import Authenticator
from lentilmount.clock import SystemClock
from lentilmount.commands.configure import ConfigurationCommands
from lentilmount.commands.jobs import JobCommands, JobResult
from lentilmount.configuration import Configuration
from lentilmount.daemon.api import Api
from lentilmount.daemon.callers import make_callers_app
from lentilmount.daemon.control import (
    Control,
    ControlDependencies,
    make_membership,
)
from lentilmount.daemon.draining import Drain
from lentilmount.daemon.listeners import bind, name_address, serve
from lentilmount.daemon.metrics import (
    AnswerCounter,
    list_task_gauges,
    make_metrics_app,
)
from lentilmount.daemon.operators import make_operators_app
from lentilmount.daemon.peers import PeerService
from lentilmount.daemon.security import Security
from lentilmount.daemon.survey import Survey
from lentilmount.events import EventKind, EventLog
from lentilmount.metrics import GaugeValue, Metrics
from lentilmount.queries.resources import Reader
from lentilmount.queries.watch import Watcher
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.routing.forward import CurlForwarder
from lentilmount.routing.router import Router, RouterOptions
from lentilmount.settings import Settings
from lentilmount.upstream.hosts import HttpHostList
from lentilmount.upstream.table import HttpTable
from lentilmount.upstream.workers import HttpSyncClient

log = logbook.Logger('daemon')

REVISION_WAIT_SECONDS = 2.0
"""Timeout for an accepted revision to come into force on this daemon."""
QUIET_SECONDS = 0.5
"""After the drain time, a stop ends once no request arrived for this long."""


class Daemon:
    """One `lentilmountd` process: its listeners and background tasks.

    Attributes:
      addresses: Bound address of each listener, by its name.
      apps: HTTP application of each listener, by its name.
      stopping: Whether a planned stop has begun.
      failed: Set when a background task ended with an exception.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.apps: dict[str, Application] = {}
        self.stopping = False
        self.failed = asyncio.Event()
        self.authenticator = Authenticator(settings.access)
        self.security = Security(settings.tls)
        clock = SystemClock()
        self.events = EventLog(settings.name, clock)
        self.configuration = Configuration()
        self.directory = UpstreamDirectory()
        self._stack = contextlib.AsyncExitStack()
        self.table = HttpTable(settings.platform.table)
        self._hosts = HttpHostList(settings.platform.hosts)
        self._workers = HttpSyncClient()
        self._forwarder = CurlForwarder()
        self.membership = make_membership(settings, clock)
        self.router = Router(
            self.directory,
            self.configuration,
            self._forwarder,
            RouterOptions(settings.zone, settings.name, settings.entry_hosts),
            clock.monotonic,
            self.events,
            count_daemons=lambda: len(self.membership.list_active()),
        )
        self._drain = Drain(clock.monotonic)
        self.metrics = Metrics(self._read_gauges)
        self._control = Control(
            ControlDependencies(
                settings,
                clock,
                self.table,
                self._hosts,
                self._workers,
                self.events,
                self.configuration,
                self.directory,
                self.security,
            ),
            self.router,
            self.membership,
        )
        self.manager = self._control.manager

    async def __aenter__(self) -> Daemon:
        """Starts all listeners and background tasks."""
        async with contextlib.AsyncExitStack() as stack:
            for part in (
                self.table,
                self._hosts,
                self._workers,
                self._forwarder,
                self._control.peers,
            ):
                stack.callback(part.close)
            await self._listen(stack)
            for work in self._control.list_background_coroutines():
                task = asyncio.create_task(work)
                task.add_done_callback(self._handle_task_end)
                stack.push_async_callback(_cancel, task)
            self._stack = stack.pop_all()
        self.events.record('daemon', EventKind.STARTED)
        log.info('Daemon {} started.', self.settings.name)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Cancels the background tasks and closes listeners and clients."""
        await self._stack.aclose()

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        # With a failed task the daemon would stay ready and do only part of its
        # work. Ending the process makes the platform restart it.
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        log.error(
            'A background task of the daemon failed.',
            exc_info=(type(error), error, error.__traceback__),
        )
        self.failed.set()

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        listen = self.settings.listen
        service = PeerService(
            self._control.peers,
            self.events,
            self.manager.wake,
            self._control.answer_peer,
            self.describe,
        )
        server = Server([service])
        bound = bind(listen.peers, 'listen.peers')
        self.addresses['peers'] = name_address(bound)
        await server.start(sock=bound, ssl=self.security.servers['peers'])
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)
        self.membership.local_member = attrs.evolve(
            self.membership.local_member, address=self.addresses['peers']
        )
        counter = AnswerCounter(self.metrics, self.configuration, self.events)
        listeners = (
            (
                'callers',
                make_callers_app(self.authenticator, self.router),
                counter.count_call,
            ),
            (
                'operators',
                make_operators_app(self._make_api()),
                counter.count_command,
            ),
            (
                'metrics',
                make_metrics_app(self.authenticator, self.metrics),
                lambda _: None,
            ),
        )
        for name, app, on_answer in listeners:
            bound = bind(getattr(listen, name), f'listen.{name}')
            self.addresses[name] = name_address(bound)
            self.apps[name] = app
            tls = self.security.servers[name]
            limits = self.settings.limits
            delays_stop = name == 'callers'
            serve(
                stack,
                app,
                bound,
                limits,
                tls,
                on_answer,
                self._drain,
                delays_stop=delays_stop,
            )

    def _make_api(self) -> Api:
        slices = self._control.slices
        reader = Reader(self.table, self.configuration, self.directory, slices)
        return Api(
            authenticator=self.authenticator,
            configuration=self.configuration,
            configuration_commands=ConfigurationCommands(self.table),
            jobs=JobCommands(self.table, slices),
            reader=reader,
            watcher=Watcher(self.table, slices, self._control.get_positions),
            survey=Survey(self._control.peers),
            events=self.events,
            status=self,
            zones=self.settings.zones,
            max_watches=self.settings.limits.watches,
        )

    def _read_gauges(self) -> list[GaugeValue]:
        owners = list(self.manager.owners.values())
        values = {
            'ready': not self.find_fault(),
            'store_up': self._control.follower.store_up,
            'revision': self.configuration.revision,
            'known_revision': self.configuration.known,
            'slices': len(owners),
            'members': len(self.membership.list_active()),
            'in_flight': self._drain.in_flight,
        }
        return [
            *(
                GaugeValue(f'lentilmount_{n}', float(v))
                for n, v in values.items()
            ),
            *list_task_gauges(
                t for o in owners for t in o.ledger.tasks.values()
            ),
        ]

    async def notify_owner(self, submitted: JobResult) -> None:
        """See `StatusSource`."""
        await self._control.wake_owner(submitted.slice_name)

    async def wait_for_revision(self, revision: int) -> None:
        """See `StatusSource`."""
        self.configuration.record_known_revision(revision)
        self._control.follower.wake()
        await self.configuration.wait_for_revision(
            revision, REVISION_WAIT_SECONDS
        )

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
            'members': sorted(m.name for m in self.membership.list_active()),
            'in_flight': self._drain.in_flight,
            'addresses': self.addresses,
        }

    def find_fault(self) -> str:
        """See `StatusSource`."""
        if self.stopping:
            return 'the daemon is stopping'
        if self._control.registry.replaced:
            return 'another daemon was started under the same name'
        if not self.configuration.is_ready:
            return (
                f'revision {self.configuration.known} of the configuration '
                f'is not in force yet'
            )
        if not self._control.follower.knows_upstreams:
            return 'the upstreams of some slices are not known yet'
        return ''

    def set_duration(self, name: str, seconds: float) -> None:
        """Changes one of the durations that may change without a restart."""
        times = attrs.evolve(self.settings.times, **{name: seconds})
        self.settings = attrs.evolve(self.settings, times=times)
        self._control.host_list_seconds = times.host_list

    async def stop(self) -> None:
        """Shuts down gracefully, without aborting requests in flight.

        The load balancer keeps sending requests for a while after the
        daemon reports that it is not ready. The daemon serves them for the
        drain time, and then until no more requests arrive. Meanwhile other
        daemons take over its slices.
        """
        self.stopping = True
        self._drain.refuse_keep_alive()
        self._control.stop()
        self.events.record('daemon', EventKind.STOPPING)
        log.info('Daemon {} is stopping.', self.settings.name)
        try:
            async with asyncio.timeout(self.settings.times.stop_limit):
                await asyncio.sleep(self.settings.times.drain)
                await self._control.wait_released()
                await self._drain.wait_idle(QUIET_SECONDS)
        except TimeoutError:
            log.warning(
                'The stop limit has expired; {} requests are aborted.',
                self._drain.in_flight,
            )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def print_addresses(daemon: Daemon) -> None:
    """Prints the address of each listener, as one line of JSON."""
    print(json.dumps(daemon.addresses), flush=True)
