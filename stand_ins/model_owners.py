"""The processes that compete for the service of model workers."""

from __future__ import annotations

import asyncio
import functools
import math
from collections.abc import Callable

import attrs

from lentilmount.clock import ManualClock
from lentilmount.control.candidates import Candidates
from lentilmount.control.election import ServiceElection, make_name
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import Owner
from lentilmount.control.owner_settings import OwnerSettings
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.policies import Policies
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.version_times import VersionTimes
from stand_ins.host_link import HostLink, StoreCalls
from stand_ins.limits import CORDON_SECONDS, SHRINK_SECONDS
from stand_ins.model_network import MemoryTable, Network, TableFault
from stand_ins.rowstore import RowStore

SERVICE = 'desk'
LEASE_SECONDS = 6.0
TIMEOUT_SECONDS = 0.8
STORE_TIMEOUT_SECONDS = 0.6


async def _may_own(address: str) -> bool:
    return True


@attrs.frozen
class Process:
    """A process that competes for the service.

    Attributes:
      election: Its election.
      table: Its table client.
      task: Runs the election.
    """

    election: ServiceElection
    table: PlatformTable
    task: asyncio.Task[None]


@attrs.define(eq=False)
class OwnerSite:
    """A table, the links to workers, and the processes that own their service.

    Attributes:
      clock: The clock.
      store: The table.
      network: Calls to the workers.
      write_faults: Faults of the next writes of the owner.
      election: The election of the newest process; None while all are killed.
      host_link: The link of the owner's host, which all its calls share; None
        if there is no need to model it.
      metrics: Metrics of all owners.
      processes: Processes that compete for the service, in the order of their
        starts.
      policies: Optional policies of all owners.
    """

    clock: ManualClock
    store: RowStore = attrs.Factory(RowStore)
    network: Network = attrs.Factory(Network)
    write_faults: list[TableFault] = attrs.Factory(list)
    election: ServiceElection | None = None
    host_link: HostLink | None = None
    metrics: ControlMetrics = attrs.Factory(ControlMetrics)
    processes: list[Process] = attrs.Factory(list)
    policies: Policies = attrs.Factory(Policies)
    _store_down_until: float = -math.inf

    def start_owner(self) -> None:
        """Starts the process that competes for the service."""
        name = f'host-{len(self.processes) + 1}'
        candidates = Candidates(Capacity(2.0, 200.0), True, name)
        table = self._make_table()
        self.election = ServiceElection(
            self._make_settings(),
            table,
            make_name(name),
            self.clock,
            lambda epoch: WorkerClient(self.network, epoch, TIMEOUT_SECONDS),
            lambda: False,
            None,
            self.metrics,
            candidates,
            _may_own,
        )
        task = asyncio.create_task(self.election.run())
        self.processes.append(Process(self.election, table, task))
        if self.is_store_down:
            left = self._store_down_until - self.clock.now
            self._cut_table(self.processes[-1], left)

    def _make_settings(self) -> OwnerSettings:
        rate = self.host_link.bytes_per_second if self.host_link else math.inf
        return OwnerSettings(
            SERVICE,
            LEASE_SECONDS,
            120.0,
            rate,
            SHRINK_SECONDS,
            CORDON_SECONDS,
            self.policies,
        )

    def _make_table(self) -> PlatformTable:
        if self.host_link is None:
            return MemoryTable(self.store, self.write_faults)
        self.network.host_link = self.host_link
        calls = StoreCalls(self.store, self.host_link)
        return PlatformTable(
            calls,
            STORE_TIMEOUT_SECONDS,
            version_times=VersionTimes(self.clock.monotonic),
        )

    async def kill_owner(self) -> None:
        """Kills all processes; their state is lost."""
        for process in self.processes:
            process.task.cancel()
            await asyncio.wait({process.task})
        self.processes.clear()
        self.election = None

    def take_store_down(self, seconds: float) -> None:
        """Lets no call arrive at the table for some seconds.

        Registrations stay as they are.
        """
        self._store_down_until = self.clock.now + seconds
        for process in self.processes:
            self._cut_table(process, seconds)

    @property
    def is_store_down(self) -> bool:
        """Whether no call arrives at the table."""
        return self.clock.now < self._store_down_until

    def _cut_table(self, process: Process, seconds: float) -> None:
        if isinstance(process.table, MemoryTable):
            process.table.is_cut = True
            call_later(seconds, functools.partial(_heal, process.table))

    def cut_off_owner(self, seconds: float) -> None:
        """Cuts all processes off from the table, and starts another one.

        It takes over while the owner still works for a while.

        Args:
          seconds: Time until they reach the table again.
        """
        for process in self.processes:
            self._cut_table(process, seconds)
        self.start_owner()

    def find_owner(self) -> Owner | None:
        """Returns the newest owner that has loaded all rows."""
        for process in reversed(self.processes):
            owner = process.election.owner
            if owner and owner.loaded.is_set() and not owner.lost_reason:
                return owner
        return None

    @property
    def cluster(self) -> ClusterState | None:
        """What the newest owner knows; None if there is none."""
        owner = self.find_owner()
        return owner.cluster if owner else None


def call_later(seconds: float, call: Callable[[], None]) -> None:
    """Calls a function after some seconds of the event loop."""
    asyncio.get_running_loop().call_later(seconds, call)


def _heal(table: MemoryTable) -> None:
    table.is_cut = False
