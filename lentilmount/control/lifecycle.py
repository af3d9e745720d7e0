"""Starts, runs and stops the parts of the daemon on the outer platform."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import attrs
import logbook
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lentilmount.clock import SystemClock
from lentilmount.control.call_monitor import CallMonitor
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
from lentilmount.control.owner_settings import OwnerSettings
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
from lentilmount.control.submission_relay import SubmissionRelay
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
from lentilmount.policies import Policies
from lentilmount.scheduling.admission import AdmissionGate
from lentilmount.upstream.http import HttpClient
from lentilmount.version_times import VersionTimes

if TYPE_CHECKING:
    from lentilmount.control.owner import Owner

log = logbook.Logger('daemon')

STORE_TIMEOUT_SECONDS = 0.6
"""Timeout for a call to the store. Reads take 4 ms and writes 10 ms; writes get
more time while the store is slow."""

SUBMISSION_TIMEOUT_SECONDS = 2.0
"""Timeout for a transaction that accepts jobs. The store refuses calls that
would queue for more than a second. With a shorter timeout a job could be
accepted although its client is told that the result is unknown and retries."""

ANNOUNCEMENT_SECONDS = 4.0
"""Period of reading the other daemons' announcements. They are used to detect
outages of the store and to find larger hosts, so a new daemon may be missing
for a while."""

FIRST_ANNOUNCEMENT_SECONDS = 0.5
"""The same until this daemon finds its own announcement: all hosts of a new
system start within 0.3 s of each other."""

OUTAGE_POLL_SECONDS = 0.2
"""Period of polling the other daemons, and of probes, in an outage."""

WORKER_TIMEOUT_SECONDS = 0.8
"""Timeout for a call to a worker, beyond the wait of a poll. Workers answer
within a few milliseconds, or some tens over a slow network link."""

ADVICE_TIMEOUT_SECONDS = 3.0
"""Timeout for a call to the advice service, which handles calls in sequence."""

MAX_STORE_CALLS = 64
MAX_WORKER_CALLS = 2000
"""Maximum concurrent calls to workers: a poll and two commands for each of 660
workers. Polls wait at the workers and calls to an unreachable one take a second
to fail, so with fewer a lost zone delayed the commands to all others."""

METRICS_PORT = int(os.environ.get('LENTILMOUNT_METRICS_PORT', '9464'))
"""Port of the daemon's own metrics on the host's address; the same as in the
deploy file. 9464 is the usual port of exporters."""

BALANCER_NOTICE_SECONDS = 2.5
"""Time from the stop signal until the load balancer sends no new connections:
two readiness checks, a second apart, and a margin."""

DRAIN_POLL_SECONDS = 0.05
"""Period of the check for requests in flight."""

KILL_MARGIN_SECONDS = 0.8
"""Time between the end of draining and the platform's kill."""


class Daemon:
    """One daemon: its HTTP servers, and an election for each service.

    Args:
      settings: Settings of the host.
      policies: Optional policies of owners.
    """

    def __init__(
        self, settings: HostSettings, policies: Policies | None = None
    ):
        self._settings = settings
        self._policies = policies or Policies()
        self._clock = SystemClock()
        self.traffic = Traffic()
        self.metrics = ControlMetrics()
        self.calls = CallMonitor(self._clock.monotonic)
        self.store = HttpClient(
            f'http://{settings.store}',
            STORE_TIMEOUT_SECONDS,
            MAX_STORE_CALLS,
            observer=self.calls,
        )
        self.workers = HttpClient(
            '', WORKER_TIMEOUT_SECONDS, MAX_WORKER_CALLS, observer=self.calls
        )
        relay = PeerRelay(
            self.workers, self.find_outage_detector, self._clock.monotonic
        )
        version_times = VersionTimes(self._clock.monotonic)
        self.table = PlatformTable(
            self.store,
            STORE_TIMEOUT_SECONDS,
            self._observe_store,
            relay,
            version_times=version_times,
        )
        self._jobs_table = PlatformTable(
            self.store,
            STORE_TIMEOUT_SECONDS,
            self._observe_store,
            relay,
            SUBMISSION_TIMEOUT_SECONDS,
            version_times,
        )
        self.outage_detectors: dict[str, OutageDetector] = {}
        self._peers = PeerList(str(settings.internal))
        self._candidates = Candidates(settings.capacity, host=settings.name)
        self._sources = ConfigurationSources(
            settings.name,
            settings.zone,
            settings.capacity,
            self.workers,
            self._clock.monotonic,
        )
        self.advice: AdviceClient | None = None
        if settings.advice is not None:
            caller = HttpClient(
                f'http://{settings.advice}',
                ADVICE_TIMEOUT_SECONDS,
                observer=self.calls,
            )
            self.advice = AdviceClient(caller, ADVICE_TIMEOUT_SECONDS)
        self.routes = RouteTable(
            self._clock.monotonic,
            settings.times.apply,
            self.find_outage_detector('').outage_until,
        )
        self.elections: dict[str, ServiceElection] = {}
        self._gates: dict[str, AdmissionGate] = {}
        self.name = make_name(settings.name)

    def find_outage_detector(self, part: str) -> OutageDetector:
        """Returns the outage detector of a part of the store, one per service.

        The part '' stands for tables without parts, such as the configuration.
        """
        detector = self.outage_detectors.get(part)
        if detector is None:
            health = StoreHealth(self._clock.monotonic, part)
            detector = OutageDetector(health, self.workers, self._peers)
            self.outage_detectors[part] = detector
        return detector

    def find_gate(self, service: str) -> AdmissionGate | None:
        """Returns the gate of a service; None if all jobs are accepted."""
        policy = self._policies.admission
        if policy is not None and service not in self._gates:
            self._gates[service] = AdmissionGate(policy, self._count_daemons)
        return self._gates.get(service)

    def _count_daemons(self) -> int:
        return max(1, len(self._peers.known))

    def _observe_store(
        self, part: str, status: int, is_answered: bool, took: float
    ) -> None:
        self.find_outage_detector(part).health.record(is_answered, took)
        self.metrics.count_store_call(status)

    async def _probe(self, part: str) -> None:
        """Makes a direct call to a part; `_observe_store` gets its outcome."""
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
        self.calls.refresh_metrics(self.metrics)
        for election in self.elections.values():
            if election.owner is not None:
                election.owner.refresh_metrics()

    def is_ready(self) -> bool:
        """Returns whether the daemon accepts new connections."""
        if self.routes.current is None or self.traffic.is_closing:
            return False
        if self.routes.is_outdated:
            return False
        return not any(o.is_cut_off() for o in self.outage_detectors.values())

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then releases services and drains."""
        servers = self._start_servers()
        async with asyncio.TaskGroup() as group:
            background = [
                group.create_task(
                    follow_configuration(self.table, self.routes, self._sources)
                ),
                group.create_task(watch_age(self.routes)),
                group.create_task(self._keep_peers_updated()),
                group.create_task(self.metrics.watch_lag()),
                group.create_task(
                    poll_peers_in_outage(
                        self.outage_detectors, OUTAGE_POLL_SECONDS
                    )
                ),
                group.create_task(
                    probe_store(
                        self.outage_detectors, self._probe, OUTAGE_POLL_SECONDS
                    )
                ),
            ]
            election_task = group.create_task(self._run_elections(group))
            await stop.wait()
            self.traffic.is_closing = True
            log.info('Stopping.', extra={'ready': False})
            for election in self.elections.values():
                election.stop()
            election_task.cancel()
            await self._drain()
            for server in servers:
                server.stop()
            for task in background:
                task.cancel()

    def _start_servers(self) -> list[HTTPServer]:
        settings = self._settings
        submission_relay = SubmissionRelay(
            self.workers,
            self._find_owner,
            self._find_owner_address,
            lambda service: self.find_outage_detector(service).health.is_slow,
        )
        submissions = Submissions(
            self._jobs_table,
            self.routes,
            self._clock,
            self.find_outage_detector,
            submission_relay.submit,
            self.find_gate,
            self._count_daemons,
            self.metrics.count_refusal,
        )
        frontend = make_frontend(
            submissions,
            self.routes,
            self.traffic,
            self.metrics,
            settings.zone,
        )
        readiness = make_readiness(self.is_ready)
        metrics = make_metrics(self.metrics, self._refresh_metrics)
        metrics_address = Address(settings.internal.host, METRICS_PORT)
        listeners = {
            'frontend': _listen(frontend, settings.frontend),
            'readiness': _listen(readiness, settings.readiness),
            'internal': _listen(
                make_peer_api(
                    self.find_outage_detector,
                    self.table,
                    self.routes,
                    lambda: self.traffic.is_closing,
                    self._make_worker_client,
                    self._find_owner,
                ),
                settings.internal,
            ),
            'metrics': _listen(metrics, metrics_address),
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

    def _find_owner(self, service: str) -> Owner | None:
        """Returns the owner of a service in this process, if it works."""
        election = self.elections.get(service)
        owner = election.owner if election is not None else None
        if owner is None or not owner.loaded.is_set() or owner.lost_reason:
            return None
        return owner

    def _find_owner_address(self, service: str) -> str:
        election = self.elections.get(service)
        host = election.owner_host if election is not None else ''
        return self._candidates.find_address(host)

    async def _drain(self) -> None:
        """Serves until no new connections come and no request is in flight.

        Clients may go on using their open connections; the next answer on each
        asks the client to close it.
        """
        end = self._clock.monotonic() + (
            self._settings.times.grace - KILL_MARGIN_SECONDS
        )
        await asyncio.sleep(BALANCER_NOTICE_SECONDS)
        while self.traffic.in_flight and self._clock.monotonic() < end:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _keep_peers_updated(self) -> None:
        """Announces this daemon and reads the others' announcements."""
        while True:
            pause = FIRST_ANNOUNCEMENT_SECONDS
            try:
                if await self._update_peers():
                    pause = ANNOUNCEMENT_SECONDS
            except (UnavailableError, ConflictError) as error:
                log.info('Cannot follow the other daemons: {}', error)
            await asyncio.sleep(pause)

    async def _update_peers(self) -> bool:
        """Updates the peers; returns whether this daemon was announced."""
        key = make_daemon_key(self._settings.name)
        announcement = make_announcement(
            self._peers.own, self._settings.zone, self._settings.capacity
        )
        rows = await scan_all(self.table, key.partition, PAGE_ROWS)
        own_row = next((row for row in rows if row.key == key), None)
        if own_row is None or own_row.body != announcement:
            version = own_row.version if own_row else ABSENT
            put = Put(key, announcement, version)
            await self.table.transact(make_token(), [put])
        # A host that was removed may have left a row with this address.
        other_rows = [
            row
            for row in rows
            if row.key != key and row.body['address'] != self._peers.own
        ]
        others = [row.body for row in other_rows]
        peers = (self._peers.own, *(body['address'] for body in others))
        if peers != self._peers.known:
            log.info('Knows {} daemons.', len(peers))
        self._peers.known = peers
        self._candidates.update(
            read_capacities(others),
            own_row is not None,
            {row.key.sort: row.body['address'] for row in other_rows},
        )
        self._sources.update(others)
        return own_row is not None

    async def _run_elections(self, group: asyncio.TaskGroup) -> None:
        while True:
            await self.routes.changed.wait()
            self.routes.changed.clear()
            current = self.routes.current
            for service in current.services if current else ():
                if service not in self.elections:
                    election = self._make_election(service)
                    self.elections[service] = election
                    group.create_task(election.run())

    def _make_worker_client(self, token: int) -> WorkerClient:
        return WorkerClient(self.workers, token, WORKER_TIMEOUT_SECONDS)

    def _make_election(self, service: str) -> ServiceElection:
        times = self._settings.times
        settings = OwnerSettings(
            service,
            times.lease,
            times.status,
            self._settings.capacity.link_bytes_per_second,
            times.capacity,
            times.cordon,
            self._policies,
        )
        return ServiceElection(
            settings,
            self.table,
            self.name,
            self._clock,
            self._make_worker_client,
            self.find_outage_detector(service).is_general,
            self.advice,
            self.metrics,
            self._candidates,
            self.find_outage_detector(service).may_own,
            self.find_gate(service),
        )


@attrs.frozen
class _Listener:
    """A server and the address that it listens on."""

    server: HTTPServer
    address: Address


def _listen(application: Application, address: Address) -> _Listener:
    """Starts a server; port 0 selects a free one."""
    server = HTTPServer(application)
    sockets = bind_sockets(address.port, address.host)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return _Listener(server, Address(address.host, port))
