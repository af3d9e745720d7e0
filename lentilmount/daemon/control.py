"""The parts of a daemon that work together with other daemons."""

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
from lentilmount.daemon.heartbeats import News
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

ELIGIBLE_LOOK_SECONDS = 0.5


@attrs.frozen
class Base:
    """What the parts stand on.

    Attributes:
      settings: The daemon's settings, as it started.
      clock: Its clocks.
      table: The table.
      hosts: The host list.
      workers: How workers are reached.
      events: The time line.
      configuration: The configuration in force.
      directory: Which upstreams serve what.
      security: How peers are checked.
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
    """Membership, following, and the slices of one daemon.

    Attributes:
      slices: Every slice of the deployment.
      membership: Who is there.
      peers: Talks to the others.
      follower: Keeps configuration and directory up to date.
      registry: Keeps this daemon's row.
      manager: Runs the slices that this daemon owns.
      host_list_seconds: Between two looks at the host list.
    """

    def __init__(self, base: Base, router: Router, membership: Membership):
        settings, times = base.settings, base.settings.times
        monotonic = base.clock.monotonic
        self.host_list_seconds = times.host_list
        self.slices = name_slices(settings)
        self.membership = membership
        self._base = base
        self._router = router
        self._calls: set[asyncio.Task[None]] = set()
        self._preference = OwnershipPolicy(
            membership,
            OwnershipOptions(self.slices, times.settle, times.slice_lease),
            monotonic,
        )
        self.peers = Peers(
            membership,
            base.events,
            PeerOptions(
                settings.peers,
                times.heartbeat,
                times.silence,
                settings.zone_links,
            ),
            self._get_news,
            self._take_news,
            monotonic,
            base.security.peer_client,
            Gossip(router.pools),
        )
        router.pools.on_new_mark = self.peers.push
        self.follower = Follower(
            base.table,
            base.configuration,
            base.directory,
            self.slices,
            base.events,
            times.poll,
            self._is_reader,
            self.peers.fetch_changes,
            self.peers.push,
        )
        self.registry = Registry(
            base.table, membership, times.members, monotonic
        )
        self.manager = SliceManager(
            base.table,
            base.workers,
            base.configuration,
            membership,
            base.events,
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
            self._preference,
        )

    def list_work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Returns what has to run for as long as the daemon does."""
        return (
            self.follower.run(),
            self.peers.run(),
            self.manager.run(),
            self._watch_hosts(),
            WorkerFeed(self.manager, self._router.pools).run(),
            self.registry.run(),
            self._watch_eligibility(),
            run_housekeeping(self._base.table, self._is_housekeeper),
        )

    async def _watch_hosts(self) -> None:
        while True:
            with contextlib.suppress(LentilmountError):
                self.manager.hosts = await self._base.hosts.list_hosts()
                self._router.pools.update_hosts(self.manager.hosts)
            await asyncio.sleep(self.host_list_seconds)

    async def _watch_eligibility(self) -> None:
        """Keeps this daemon from owning slices where it could not serve them.

        One that cannot reach the table loses its leases anyway; as long as
        the others know, they do not hand it new ones.
        """
        while True:
            able = self.follower.store_up and not self.registry.replaced
            self.membership.set_eligible(able)
            await asyncio.sleep(ELIGIBLE_LOOK_SECONDS)

    def _is_housekeeper(self) -> bool:
        names = [m.name for m in self.membership.list_eligible()]
        return bool(names) and min(names) == self.membership.local_member.name

    def _is_reader(self, slice_name: str) -> bool:
        owned = slice_name in self.manager.owners
        return owned or self._preference.is_preferred(slice_name)

    def _get_news(self) -> News:
        return self.follower.get_news()

    def _take_news(self, news: News) -> None:
        self.follower.hear(news)

    def answer_peer(
        self, request: peer_pb2.ChangesRequest
    ) -> peer_pb2.ChangesReply:
        """Answers a peer that asks for changes."""
        return self.follower.answer(request)

    def get_positions(self) -> dict[str, int]:
        """Returns the newest entry that is known of each change log."""
        revision = self._base.configuration.revision
        return {CONFIGURATION_LOG: revision, **self.follower.logs.heads}

    def _announce_release(self, slice_name: str) -> None:
        work = self.peers.wake_owner(slice_name, get_zone(slice_name))
        self._calls.add(task := asyncio.create_task(work))
        task.add_done_callback(self._calls.discard)

    async def wake_owner(self, slice_name: str) -> None:
        """Tells whoever owns a slice that there is something new."""
        if slice_name in self.manager.owners:
            self.manager.wake(slice_name)
            return
        await self.peers.wake_owner(slice_name, get_zone(slice_name))

    def stop(self) -> None:
        """Tells peers that this daemon stops, and gives its slices up."""
        self.membership.stop()
        self.peers.push()
        self.manager.stop()

    async def wait_released(self) -> None:
        """Waits until the slices are given up and the next owners know."""
        await self.manager.wait_released()
        await asyncio.gather(*self._calls)


def name_slices(settings: Settings) -> tuple[str, ...]:
    """Names every slice of a deployment."""
    return tuple(list_slices(settings.zones, settings.slices_per_zone))


def make_membership(settings: Settings, clock: Clock) -> Membership:
    """Builds the membership of a daemon that starts now."""
    incarnation = int(time.time() * 1000)
    return Membership(
        Member(settings.name, settings.zone, '', incarnation),
        settings.times.silence,
        clock.monotonic,
        settings.times.forget,
    )
