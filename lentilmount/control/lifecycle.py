"""The daemon on the users' platform: what it opens, runs and closes."""

from __future__ import annotations

import asyncio
import os

import attrs
import logbook
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lentilmount.clock import SystemClock
from lentilmount.control.candidates import (
    Candidates,
    make_announcement,
    read_capacities,
)
from lentilmount.control.configuration_follower import (
    follow_configuration,
    watch_age,
)
from lentilmount.control.configuration_relay import ConfigurationSources
from lentilmount.control.election import ServiceElection, make_name
from lentilmount.control.frontend import Traffic, make_frontend, make_readiness
from lentilmount.control.keys import make_daemon_key, make_owner_key
from lentilmount.control.metrics import ControlMetrics, make_metrics
from lentilmount.control.owner import OwnerSettings
from lentilmount.control.peer_api import make_peer_api
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
    poll_peers_in_outage,
    probe_store,
)
from lentilmount.control.store_relay import PeerRelay
from lentilmount.control.submissions import Submissions
from lentilmount.coordination.table import (
    ABSENT,
    ConflictError,
    Put,
    UnavailableError,
    scan_all,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.platform.advice import AdviceClient
from lentilmount.platform.host_settings import Address, HostSettings
from lentilmount.platform.store import (
    CONFIGURATION_TABLE,
    PAGE_ROWS,
    PlatformTable,
    make_partition,
)
from lentilmount.platform.workers import WorkerClient
from lentilmount.upstream.http import HttpClient

log = logbook.Logger('daemon')

STORE_SECONDS = 0.6
"""For a call to the store: a write takes 6 ms, and 0.36 s when the store is
sixty times as slow as usual."""

SUBMISSION_SECONDS = 2.0
"""For a transaction that accepts jobs. A part refuses what would wait for more
than a second; given up earlier, a job is accepted all the same, and its caller
is told that nobody knows and sends it again."""

PEERS_SECONDS = 4.0
"""Between two readings of the other daemons' announcements. They serve to tell
an outage of the store and to find larger hosts, so a new daemon may be missing
for a while."""

FIRST_PEERS_SECONDS = 0.5
"""The same where this daemon has just announced itself for the first time: all
hosts of a new system start within 0.3 s of each other."""

GUARD_SECONDS = 0.2
"""Between two rounds of questions to the other daemons in an outage."""

ORDER_SECONDS = 0.8
"""For a call to a worker beside the time that it may wait; workers answer in
a few ms, and a slow link in some tens."""

ADVICE_SECONDS = 3.0
"""For a call to the advice service, which works them off in turn."""

STORE_CALLS = 64
WORKER_CALLS = 600
"""Most calls at once: one look and two orders for each of 200 workers."""

METRICS_PORT = int(os.environ.get('LENTILMOUNT_METRICS_PORT', '9464'))
"""Where the daemon's own metrics are, on the host's address; the same as in
the deploy file. 9464 is the usual port of exporters."""

UNREADY_SECONDS = 2.5
"""From the signal to stop until the balancer sends no new connections: two
looks, a second apart, and a margin."""

DRAIN_POLL_SECONDS = 0.05
"""Between two looks whether a request is still in flight."""

END_MARGIN_SECONDS = 0.8
"""Kept free before the kill."""


class Daemon:
    """One daemon: the frontend, and the campaigns for each service."""

    def __init__(self, settings: HostSettings):
        self._settings = settings
        self._clock = SystemClock()
        self.traffic = Traffic()
        self.store = HttpClient(
            f'http://{settings.store}', STORE_SECONDS, STORE_CALLS
        )
        self.workers = HttpClient('', ORDER_SECONDS, WORKER_CALLS)
        self.metrics = ControlMetrics()
        relay = PeerRelay(
            self.workers, self.find_outage_detector, self._clock.monotonic
        )
        self.table = PlatformTable(
            self.store, STORE_SECONDS, self._observe_store, relay
        )
        self._jobs_table = PlatformTable(
            self.store,
            STORE_SECONDS,
            self._observe_store,
            relay,
            SUBMISSION_SECONDS,
        )
        self.outage_detectors: dict[str, OutageDetector] = {}
        self._peers = PeerList(str(settings.internal))
        self._candidates = Candidates(settings.capacity)
        self._sources = ConfigurationSources(
            settings.name,
            settings.zone,
            settings.capacity,
            self.workers,
            self._clock.monotonic,
        )
        self.advice: AdviceClient | None = None
        if settings.advice is not None:
            caller = HttpClient(f'http://{settings.advice}', ADVICE_SECONDS)
            self.advice = AdviceClient(caller, ADVICE_SECONDS)
        self.routes = RouteTable(
            self._clock.monotonic,
            settings.times.apply,
            self.find_outage_detector('').outage_until,
        )
        self.elections: dict[str, ServiceElection] = {}
        self.name = make_name(settings.name)

    def find_outage_detector(self, part: str) -> OutageDetector:
        """Returns what is known of a part of the store: a service's rows.

        The part '' stands for what lies in none, such as the configuration.
        """
        outage = self.outage_detectors.get(part)
        if outage is None:
            watch = StoreHealth(self._clock.monotonic, part)
            outage = OutageDetector(watch, self.workers, self._peers)
            self.outage_detectors[part] = outage
        return outage

    def _observe_store(
        self, part: str, status: int, is_good: bool, took: float
    ) -> None:
        self.find_outage_detector(part).health.record(is_good, took)
        self.metrics.count_store_call(status)

    async def _probe(self, part: str) -> None:
        """Makes a direct call about a part; its outcome is observed."""
        partition = make_partition(CONFIGURATION_TABLE)
        if part:
            partition = make_owner_key(part).partition
        await self.table.send_directly(self.table.make_probe(partition))

    def _refresh_metrics(self) -> None:
        ready = float(self.is_ready())
        self.metrics.set_gauge('lentilmount_ready', {'': ready}, '')
        self.metrics.set_gauge(
            'lentilmount_configuration_age_seconds', {'': self.routes.age}, ''
        )
        for election in self.elections.values():
            if election.owner is not None:
                election.owner.refresh_metrics()

    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        if self.routes.current is None or self.traffic.is_closing:
            return False
        if self.routes.is_outdated:
            return False
        return not any(o.is_cut_off() for o in self.outage_detectors.values())

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until told to stop, then hands over and drains."""
        servers = self._listen_everywhere()
        async with asyncio.TaskGroup() as group:
            following = [
                group.create_task(
                    follow_configuration(self.table, self.routes, self._sources)
                ),
                group.create_task(watch_age(self.routes)),
                group.create_task(self._follow_peers()),
                group.create_task(self.metrics.watch_lag()),
                group.create_task(
                    poll_peers_in_outage(self.outage_detectors, GUARD_SECONDS)
                ),
                group.create_task(
                    probe_store(
                        self.outage_detectors, self._probe, GUARD_SECONDS
                    )
                ),
            ]
            campaigning = group.create_task(self._campaign(group))
            await stop.wait()
            self.traffic.is_closing = True
            log.info('Stopping.', extra={'ready': False})
            for election in self.elections.values():
                election.stop()
            campaigning.cancel()
            await self._drain()
            for server in servers:
                server.stop()
            for task in following:
                task.cancel()

    def _listen_everywhere(self) -> list[HTTPServer]:
        settings = self._settings
        submissions = Submissions(
            self._jobs_table,
            self.routes,
            self._clock,
            self.find_outage_detector,
        )
        frontend = make_frontend(
            submissions, self.routes, self.traffic, self.metrics
        )
        readiness = make_readiness(self.is_ready)
        metrics = make_metrics(self.metrics, self._refresh_metrics)
        scraped = Address(settings.internal.host, METRICS_PORT)
        listeners = {
            'frontend': _listen(frontend, settings.frontend),
            'readiness': _listen(readiness, settings.readiness),
            'internal': _listen(
                make_peer_api(
                    self.find_outage_detector,
                    self.table,
                    self.routes,
                    lambda: self.traffic.is_closing,
                ),
                settings.internal,
            ),
            'metrics': _listen(metrics, scraped),
        }
        self._peers.own = str(listeners['internal'].address)
        log.info(
            'Started.',
            extra={
                'host': settings.name,
                'zone': settings.zone,
                'cores': round(settings.capacity.cores, 3),
                'link_mbps': settings.capacity.link_mbps,
                **{
                    name: str(listener.address)
                    for name, listener in listeners.items()
                },
            },
        )
        return [listener.server for listener in listeners.values()]

    async def _drain(self) -> None:
        """Serves until the balancer has noticed and nothing is in flight.

        Clients go on using open connections meanwhile; each is told to close
        with its next answer.
        """
        end = self._clock.monotonic() + (
            self._settings.times.grace - END_MARGIN_SECONDS
        )
        await asyncio.sleep(UNREADY_SECONDS)
        while self.traffic.in_flight and self._clock.monotonic() < end:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _follow_peers(self) -> None:
        """Announces this daemon and reads of the others."""
        while True:
            pause = FIRST_PEERS_SECONDS
            try:
                if await self._read_peers():
                    pause = PEERS_SECONDS
            except (UnavailableError, ConflictError) as error:
                log.info('Cannot follow the other daemons: {}', error)
            await asyncio.sleep(pause)

    async def _read_peers(self) -> bool:
        """Reads of the others; returns whether this daemon was announced."""
        key = make_daemon_key(self._settings.name)
        announced = make_announcement(
            self._peers.own, self._settings.zone, self._settings.capacity
        )
        rows = await scan_all(self.table, key.partition, PAGE_ROWS)
        mine = next((row for row in rows if row.key == key), None)
        if mine is None or mine.body != announced:
            version = mine.version if mine else ABSENT
            put = Put(key, announced, version)
            await self.table.transact(make_token(), [put])
        # A host that was removed for good may have left our address behind.
        others = [
            row.body
            for row in rows
            if row.key != key and row.body['address'] != self._peers.own
        ]
        peers = (self._peers.own, *(body['address'] for body in others))
        if peers != self._peers.known:
            log.info('Knows {} daemons.', len(peers))
        self._peers.known = peers
        self._candidates.update(read_capacities(others), mine is not None)
        self._sources.update(others)
        return mine is not None

    async def _campaign(self, group: asyncio.TaskGroup) -> None:
        while True:
            await self.routes.changed.wait()
            self.routes.changed.clear()
            current = self.routes.current
            for service in current.services if current else ():
                if service not in self.elections:
                    election = self._make_campaign(service)
                    self.elections[service] = election
                    group.create_task(election.run())

    def _make_campaign(self, service: str) -> ServiceElection:
        times = self._settings.times
        settings = OwnerSettings(service, times.lease, times.status)
        return ServiceElection(
            settings,
            self.table,
            self.name,
            self._clock,
            lambda epoch: WorkerClient(self.workers, epoch, ORDER_SECONDS),
            self.find_outage_detector(service).is_general,
            self.advice,
            self.metrics,
            self._candidates,
            self.find_outage_detector(service).may_own,
        )


@attrs.frozen
class _Listener:
    """A server and the address that it really has."""

    server: HTTPServer
    address: Address


def _listen(application: Application, address: Address) -> _Listener:
    """Listens; port 0 stands for any free one."""
    server = HTTPServer(application)
    sockets = bind_sockets(address.port, address.host)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return _Listener(server, Address(address.host, port))
