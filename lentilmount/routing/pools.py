"""Pools of all services, kept up to date with configuration and peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from lentilmount.configuration import Configuration
from lentilmount.events import EventKind, EventLog
from lentilmount.resources import Kind, ServiceSpec, UpstreamSpec
from lentilmount.routing.balance import Balancer
from lentilmount.routing.directory import Upstream, UpstreamDirectory
from lentilmount.routing.leaving import LeavingMark, LeavingMarks
from lentilmount.routing.loads import LoadReport, PeerLoads, pack_counts
from lentilmount.routing.pool import Pool, PoolOptions
from lentilmount.upstream.hosts import Host
from lentilmount.upstream.workers import Usage


def _do_nothing() -> None:
    return


class Pools:
    """The pool of each service that was called on this daemon.

    Attributes:
      marks: Workers that are leaving.
      on_new_mark: Called for each new mark, to inform peers without delay.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        configuration: Configuration,
        options: PoolOptions,
        balancer: Balancer,
        events: EventLog,
        rng: random.Random,
        monotonic: Callable[[], float],
        count_daemons: Callable[[], int],
    ):
        self.marks = LeavingMarks()
        self._directory = directory
        self._configuration = configuration
        self._options = options
        self._balancer = balancer
        self._events = events
        self._rng = rng
        self._monotonic = monotonic
        self._count_daemons = count_daemons
        self.on_new_mark: Callable[[], None] = _do_nothing
        self._pools: dict[str, Pool] = {}
        self._versions = (-1, -1, -1)
        self._peer_loads = PeerLoads(options.daemon, options.zone)

    @property
    def in_flight(self) -> dict[str, int]:
        """Number of this daemon's requests at each upstream, by task id."""
        return {
            task: target.own_in_flight
            for pool in self._pools.values()
            for task, target in pool.targets.items()
            if target.own_in_flight
        }

    def get(self, service: str, spec: ServiceSpec) -> Pool:
        """Returns the updated pool of a service; creates it if needed."""
        self.refresh()
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = Pool(
                service,
                spec,
                self._options,
                self._balancer,
                self._events,
                self._rng,
            )
            self._update_pool(service, pool)
        return pool

    def refresh(self) -> None:
        """Updates the pools if upstreams, configuration or marks changed."""
        versions = (
            self._directory.version,
            self._configuration.revision,
            self.marks.version,
        )
        if versions == self._versions:
            return
        self._versions = versions
        for service, pool in list(self._pools.items()):
            self._update_pool(service, pool)

    def _update_pool(self, service: str, pool: Pool) -> None:
        team, _, name = service.partition('/')
        spec = self._configuration.get_service(team, name)
        if spec is None:
            if not pool.in_flight:
                del self._pools[service]
            return
        upstreams = self._directory.list_service(service)
        spill = self._configuration.get_weights().spill_ms / 1000
        pool.update(spec, spill, upstreams, self._is_excluded)
        self._share_loads()
        pool.assign_waiting(self._monotonic())

    def _is_excluded(self, upstream: Upstream) -> bool:
        """Returns whether an upstream gets no new requests."""
        team = upstream.service.partition('/')[0]
        found = self._configuration.get(Kind.UPSTREAM, team, upstream.resource)
        drained = (
            found is not None
            and isinstance(found.spec, UpstreamSpec)
            and found.spec.drain
        )
        return (
            drained
            or self._configuration.get_worker(upstream.worker).drain
            or self.marks.is_leaving(upstream.worker, upstream.boot)
        )

    def mark_leaving(self, mark: LeavingMark, source: str) -> None:
        """Records that a boot of a worker is leaving.

        Args:
          mark: The worker and its boot.
          source: Who reported it, for the event.
        """
        if self.marks.add(mark):
            self._handle_leaving(mark, source)

    def update_hosts(self, hosts: Iterable[Host]) -> None:
        """Applies the host list: hosts that are leaving get no requests."""
        boots = {u.worker: u.boot for u in self._directory.list_all()}
        names = [host.name for host in hosts if host.leaving]
        for mark in self.marks.update_from_host_list(names, boots):
            self._handle_leaving(mark, 'the host list')
        self.refresh()

    def _handle_leaving(self, mark: LeavingMark, source: str) -> None:
        self._events.record(
            'routing', EventKind.LEAVING, worker=mark.worker, cause=source
        )
        self.on_new_mark()
        self.refresh()

    def list_loads(self, zone: str) -> list[LoadReport]:
        """Returns the load reports to send to a daemon of a zone."""
        now = self._monotonic()
        own = {
            service: pack_counts(
                {
                    target.upstream.number: round(
                        target.get_mean_in_flight(now)
                    )
                    for target in pool.targets.values()
                }
            )
            for service, pool in self._pools.items()
        }
        return self._peer_loads.list_reports_for(zone, own, now)

    def update_peer_loads(self, reports: Iterable[LoadReport]) -> None:
        """Applies the load reports of a peer."""
        self._peer_loads.update(reports, self._monotonic())
        self._share_loads()
        for pool in list(self._pools.values()):
            pool.assign_waiting(self._monotonic())

    def _share_loads(self) -> None:
        now = self._monotonic()
        count = self._count_daemons()
        for service, pool in self._pools.items():
            others = self._peer_loads.sum_others(service, now)
            pool.set_daemons(count)
            for target in pool.targets.values():
                number = target.upstream.number
                known = number < len(others)
                target.other_in_flight = float(others[number]) if known else 0.0

    def update_usage(self, usages: Iterable[Usage]) -> None:
        """Applies workers' measurements of services, which lag."""
        for usage in usages:
            service = usage.task.partition('/')[2].rpartition('/')[0]
            pool = self._pools.get(service)
            target = pool.targets.get(usage.task) if pool else None
            if target is not None and usage.p99_ms:
                target.latency.observe_report(
                    usage.load,
                    usage.p99_ms / 1000,
                    usage.age,
                    self._monotonic(),
                )
