"""Builds and connects the parts of a daemon that talk to other daemons.

These are membership, the heartbeats with peers, the follower of the
configuration, and the owners of slices.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from typing import Any

import attrs

from lentilmount.batch.manager import SliceManager
from lentilmount.batch.owner import OwnerOptions
from lentilmount.batch.ownership import OwnershipOptions, OwnershipPolicy
from lentilmount.batch.worker_commands import SessionOptions
from lentilmount.clock import Clock
from lentilmount.configuration import CONFIGURATION_LOG, Configuration
from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.table import Table
from lentilmount.daemon.feed import WorkerFeed
from lentilmount.daemon.follower import Follower
from lentilmount.daemon.gossip import Gossip
from lentilmount.daemon.heartbeats import VersionReport
from lentilmount.daemon.housekeeping import run_housekeeping
from lentilmount.daemon.peers import PeerOptions, Peers
from lentilmount.daemon.registry import Registry
from lentilmount.daemon.security import Security
from lentilmount.errors import LentilmountError
from lentilmount.events import EventLog
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.routing.router import Router
from lentilmount.settings import Settings
from lentilmount.slices import get_zone, list_slices
from lentilmount.upstream.hosts import HostList
from lentilmount.upstream.workers import SyncClient
from lentilmount.wire import peer_pb2

ELIGIBILITY_CHECK_SECONDS = 0.5


@attrs.frozen
class ControlDependencies:
    """The objects that `Control` is built from.

    Attributes:
      settings: The settings that the daemon was started with.
      clock: The wall clock and the monotonic clock.
      table: The table service.
      hosts: The host list.
      workers: Client for calls to workers.
      events: Log of this daemon's events.
      configuration: The configuration in force.
      directory: The upstreams of each service.
      security: TLS contexts, also for calls to peers.
    """

    settings: Settings
    clock: Clock
    table: Table
    hosts: HostList
    workers: SyncClient
    events: EventLog
    configuration: Configuration
    directory: UpstreamDirectory
    security: Security


class Control:
    """Membership, configuration, and owned slices of one daemon.

    Attributes:
      slices: Names of all slices of the deployment.
      membership: The known daemons and whether they are up.
      peers: Exchanges heartbeats with the other daemons.
      follower: Keeps configuration and directory up to date.
      registry: Keeps this daemon's row among the member rows.
      manager: Runs the slices that this daemon owns.
      host_list_seconds: Period between two reads of the host list.
    """

    def __init__(
        self,
        dependencies: ControlDependencies,
        router: Router,
        membership: Membership,
    ):
        settings, times = dependencies.settings, dependencies.settings.times
        monotonic = dependencies.clock.monotonic
        self.host_list_seconds = times.host_list
        self.slices = list_slice_names(settings)
        self.membership = membership
        self._dependencies = dependencies
        self._router = router
        self._wake_calls: set[asyncio.Task[None]] = set()
        self._ownership_policy = OwnershipPolicy(
            membership,
            OwnershipOptions(self.slices, times.settle, times.slice_lease),
            monotonic,
        )
        self.peers = Peers(
            membership,
            dependencies.events,
            PeerOptions(
                settings.peers,
                times.heartbeat,
                times.silence,
                settings.zone_links,
            ),
            self._get_report,
            self._handle_report,
            monotonic,
            dependencies.security.peer_client,
            Gossip(router.pools),
        )
        router.pools.on_new_mark = self.peers.push
        self.follower = Follower(
            dependencies.table,
            dependencies.configuration,
            dependencies.directory,
            self.slices,
            dependencies.events,
            times.poll,
            self._is_reader,
            self.peers.fetch_changes,
            self.peers.push,
        )
        self.registry = Registry(
            dependencies.table, membership, times.members, monotonic
        )
        self.manager = SliceManager(
            dependencies.table,
            dependencies.workers,
            dependencies.configuration,
            membership,
            dependencies.events,
            OwnerOptions(
                SessionOptions(
                    sync_seconds=times.sync,
                    lease_seconds=times.task_lease,
                    offline_renewal_seconds=times.task_promise,
                    usage_seconds=times.usage,
                ),
                self.slices,
                times.slice_lease,
            ),
            settings.slices_per_zone,
            monotonic,
            self._announce_release,
            self._ownership_policy,
        )

    def list_background_coroutines(
        self,
    ) -> tuple[Coroutine[Any, Any, None], ...]:
        """Returns the coroutines that run until the daemon stops."""
        return (
            self.follower.run(),
            self.peers.run(),
            self.manager.run(),
            self._poll_hosts(),
            WorkerFeed(self.manager, self._router.pools).run(),
            self.registry.run(),
            self._update_eligibility(),
            run_housekeeping(self._dependencies.table, self._is_housekeeper),
        )

    async def _poll_hosts(self) -> None:
        while True:
            with contextlib.suppress(LentilmountError):
                self.manager.hosts = await self._dependencies.hosts.list_hosts()
                self._router.pools.update_hosts(self.manager.hosts)
            await asyncio.sleep(self.host_list_seconds)

    async def _update_eligibility(self) -> None:
        """Declares this daemon ineligible while it could not serve slices.

        A daemon that cannot reach the table loses its leases anyway. Other
        daemons read the flag from heartbeats and assign it no slices.
        """
        while True:
            is_eligible = self.follower.store_up and not self.registry.replaced
            self.membership.set_eligible(is_eligible)
            await asyncio.sleep(ELIGIBILITY_CHECK_SECONDS)

    def _is_housekeeper(self) -> bool:
        names = [m.name for m in self.membership.list_eligible()]
        return bool(names) and min(names) == self.membership.local_member.name

    def _is_reader(self, slice_name: str) -> bool:
        owned = slice_name in self.manager.owners
        return owned or self._ownership_policy.is_preferred(slice_name)

    def _get_report(self) -> VersionReport:
        return self.follower.get_report()

    def _handle_report(self, report: VersionReport) -> None:
        self.follower.handle_report(report)

    def answer_peer(
        self, request: peer_pb2.ChangesRequest
    ) -> peer_pb2.ChangesReply:
        """Returns the changes that a peer requests."""
        return self.follower.answer(request)

    def get_positions(self) -> dict[str, int]:
        """Returns the newest known sequence number of each change log."""
        revision = self._dependencies.configuration.revision
        return {CONFIGURATION_LOG: revision, **self.follower.logs.heads}

    def _announce_release(self, slice_name: str) -> None:
        work = self.peers.wake_owner(slice_name, get_zone(slice_name))
        self._wake_calls.add(task := asyncio.create_task(work))
        task.add_done_callback(self._wake_calls.discard)

    async def wake_owner(self, slice_name: str) -> None:
        """Notifies the owner of a slice that its inbox has a new entry."""
        if slice_name in self.manager.owners:
            self.manager.wake(slice_name)
            return
        await self.peers.wake_owner(slice_name, get_zone(slice_name))

    def stop(self) -> None:
        """Announces the stop to peers and begins to release all slices."""
        self.membership.stop()
        self.peers.push()
        self.manager.stop()

    async def wait_released(self) -> None:
        """Waits until all slices are released and their zones are notified."""
        await self.manager.wait_released()
        await asyncio.gather(*self._wake_calls)


def list_slice_names(settings: Settings) -> tuple[str, ...]:
    """Returns the names of all slices of a deployment."""
    return tuple(list_slices(settings.zones, settings.slices_per_zone))


def make_membership(settings: Settings, clock: Clock) -> Membership:
    """Builds the membership with this daemon as its local member."""
    incarnation = int(time.time() * 1000)
    return Membership(
        Member(settings.name, settings.zone, '', incarnation),
        settings.times.silence,
        clock.monotonic,
        settings.times.forget,
    )
