"""A zone on virtual time: real slice managers on an in-memory platform."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

import attrs

from lentilmount.batch.inbox import Request, RequestKind, make_request_put
from lentilmount.batch.manager import SliceManager
from lentilmount.batch.owner import Owner, OwnerOptions
from lentilmount.batch.records import Task
from lentilmount.batch.worker_commands import SessionOptions
from lentilmount.clock import ManualClock
from lentilmount.codec import structure
from lentilmount.configuration import Configuration
from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.table import Put
from lentilmount.events import EventLog
from lentilmount.resources import Demand, Room, Urgency
from lentilmount.rows import make_job_key
from lentilmount.upstream.hosts import Host
from stand_ins.attempts import Run, WorkerOptions
from stand_ins.checker import Violation, check_history
from stand_ins.local import (
    MemoryObjects,
    PathFaults,
    TableView,
    WorkersView,
)
from stand_ins.table import MemoryTable
from stand_ins.worker import Worker

ZONE = 'a'
SLICE = f'{ZONE}/0'
TEAM = 'crew'
HEARTBEAT_SECONDS = 0.5
PEER_TIMEOUT_SECONDS = 2.0


@attrs.define
class CellOptions:
    """Options of a cell.

    Attributes:
      workers: Number of workers, two per rack.
      daemons: Number of daemons.
      capacity: Capacity of each worker.
      sessions: Options of the worker sessions, such as lease durations.
      slice_lease: Duration of a slice's lease, in seconds.
      clock_rates: Rates of the workers' clocks relative to real time; the
        last one holds for all further workers.
      tick_seconds: Period of the workers' task updates.
    """

    workers: int = 3
    daemons: int = 2
    capacity: Room = Room(4.0, 16_000, 0)
    sessions: SessionOptions = SessionOptions(offline_renewal_seconds=60.0)
    slice_lease: float = 3.0
    clock_rates: tuple[float, ...] = (1.0,)
    tick_seconds: float = 0.25


class CellDaemon:
    """The batch part of one daemon.

    Attributes:
      name: Name of the daemon.
      gate: Event that is cleared while the daemon is paused.
      table: The table as this daemon reaches it.
      workers: The workers as this daemon reaches them.
      events: Event log of the daemon.
      membership: The daemon's view of the other daemons.
      manager: The slice manager.
      task: The running slice manager.
    """

    def __init__(self, cell: Cell, name: str, seed: int):
        self.name = name
        self.gate = asyncio.Event()
        self.gate.set()
        clock = cell.clock
        self.table = TableView(cell.table, PathFaults(), self.gate, seed)
        self.workers = WorkersView(cell.workers, self.gate, seed)
        self.events = EventLog(name, clock)
        self.membership = Membership(
            Member(name, ZONE, name, seed),
            PEER_TIMEOUT_SECONDS,
            clock.monotonic,
        )
        self.manager = SliceManager(
            self.table,
            self.workers,
            Configuration(),
            self.membership,
            self.events,
            OwnerOptions(
                cell.options.sessions, (SLICE,), cell.options.slice_lease
            ),
            1,
            clock.monotonic,
        )
        self.manager.hosts = cell.hosts
        self.task = asyncio.create_task(self.manager.run())

    @property
    def owner(self) -> Owner | None:
        """The slice's owner object, if this daemon believes to hold the slice.

        A paused or disconnected daemon may keep it past the lease's end.
        """
        return self.manager.owners.get(SLICE)

    @property
    def is_up(self) -> bool:
        """Whether the daemon runs and exchanges heartbeats."""
        return self.gate.is_set() and not self.task.done()

    async def kill(self) -> None:
        """Ends the daemon at once, without releasing its slice."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    def pause(self) -> None:
        """Pauses the daemon, like a stopped process."""
        self.gate.clear()

    def wake(self) -> None:
        """Resumes the daemon, with the calls that were in progress."""
        self.gate.set()


class Cell:
    """A table, an object store, workers and daemons on one manual clock.

    Attributes:
      clock: The clock of everything in the cell.
      options: The cell's options.
      table: The table that all daemons share.
      objects: The object store of the workers.
      workers: The workers.
      hosts: Host list entries of the workers.
      daemons: All daemons started so far.
      accepted: Ids of the accepted jobs' tasks, in order.
      cancelled: Ids of the tasks whose cancellation was accepted.
    """

    def __init__(self, clock: ManualClock, options: CellOptions | None = None):
        self.clock = clock
        self.options = options or CellOptions()
        self.table = MemoryTable(clock.monotonic)
        self.objects = MemoryObjects()
        self.workers = [
            self._make_worker(number) for number in range(self.options.workers)
        ]
        self.hosts = [
            Host(w.options.name, w.options.name, ZONE, w.options.rack, False)
            for w in self.workers
        ]
        self.daemons: list[CellDaemon] = []
        self.accepted: list[str] = []
        self.cancelled: set[str] = set()
        self._daemon_count = 0
        self._tasks: list[asyncio.Task[None]] = []

    def _make_worker(self, number: int) -> Worker:
        rates = self.options.clock_rates
        options = WorkerOptions(
            name=f'{ZONE}-{number:03d}',
            zone=ZONE,
            rack=f'{ZONE}-r{number // 2}',
            capacity=self.options.capacity,
            clock_rate=rates[min(number, len(rates) - 1)],
            tick_seconds=self.options.tick_seconds,
        )
        return Worker(options, self.objects, number, self.clock.monotonic)

    async def __aenter__(self) -> Cell:
        """Starts workers and daemons."""
        for worker in self.workers:
            self._tasks.append(asyncio.create_task(worker.run()))
        for _ in range(self.options.daemons):
            self.add_daemon()
        self._tasks.append(asyncio.create_task(self._exchange_heartbeats()))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all daemons and workers."""
        for daemon in self.daemons:
            await daemon.kill()
        for task in self._tasks:
            task.cancel()

    def add_daemon(self) -> CellDaemon:
        """Starts one more daemon."""
        self._daemon_count += 1
        daemon = CellDaemon(
            self, f'entry-{self._daemon_count}', self._daemon_count
        )
        self.daemons.append(daemon)
        return daemon

    async def _exchange_heartbeats(self) -> None:
        while True:
            up = [d for d in self.daemons if d.is_up]
            for daemon in up:
                reaches_table = not daemon.table.faults.down
                daemon.membership.set_eligible(reaches_table)
            heartbeats = [d.membership.advance_beat() for d in up]
            for daemon in up:
                daemon.membership.observe(heartbeats)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def find_owner(self) -> CellDaemon | None:
        """Returns the newest running daemon with an owner of the slice."""
        owners = [d for d in self.daemons if d.is_up and d.owner]
        return owners[-1] if owners else None

    def find_worker(self, name: str) -> Worker:
        """Returns the worker of a name."""
        return next(w for w in self.workers if w.options.name == name)

    async def wait_for_owner(self, other_than: str = '') -> CellDaemon:
        """Waits until a daemon owns the slice and reaches a worker.

        Args:
          other_than: Name of a daemon that does not count.
        """
        while True:
            daemon = self.find_owner()
            if daemon and daemon.owner and daemon.name != other_than:
                sessions = daemon.owner.sessions.values()
                if any(session.reachable for session in sessions):
                    return daemon
            await asyncio.sleep(0.1)

    async def submit(
        self,
        name: str,
        seconds: float = 10.0,
        cores: float = 1.0,
        urgency: Urgency = Urgency.BATCH,
        **work: Any,
    ) -> str:
        """Submits a job as the operators' API does; returns its task's id.

        Args:
          name: Name of the job.
          seconds: Seconds of work.
          cores: Demanded cores.
          urgency: Urgency of the job.
          **work: Further fields of its payload, read by the workers.
        """
        task = Task(
            f'Job/{TEAM}/{name}/0',
            Demand(cores, 1000),
            urgency=urgency,
            payload=json.dumps({'seconds': seconds, **work}),
            accepted=float(len(self.accepted)),
        )
        rank = '0' if urgency is Urgency.URGENT else '1'
        order = f'{rank}-{len(self.accepted):06d}'
        request = Request(RequestKind.SUBMIT, task.id, task)
        job = Put(make_job_key(TEAM, name), {})
        await self.table.transact(
            f'submit-{name}', [job, make_request_put(SLICE, order, request)]
        )
        self.accepted.append(task.id)
        return task.id

    async def cancel(self, task: str) -> None:
        """Submits the cancellation of a task."""
        self.cancelled.add(task)
        request = Request(RequestKind.CANCEL, task)
        order = f'2-{len(self.cancelled):06d}-{task}'
        await self.table.transact(
            f'cancel-{task}', [make_request_put(SLICE, order, request)]
        )

    def list_runs(self) -> list[Run]:
        """Returns the runs that all workers recorded."""
        return [run for worker in self.workers for run in worker.list_runs()]

    def list_history(self) -> list[dict[str, Any]]:
        """Returns the write history of the table."""
        return self.table.list_history()

    def find_violations(self) -> list[Violation]:
        """Returns the violations of the invariants up to now."""
        for worker in self.workers:
            if not worker.paused:
                worker.tick()
        capacities = {w.options.name: w.options.capacity for w in self.workers}
        return check_history(
            self.list_runs(), self.list_history(), capacities, self.clock.now
        )

    def list_done(self) -> list[str]:
        """Returns the ids of the tasks that have ended."""
        return [
            write.key.sort
            for write in self.table.history
            if write.key.partition == f'done/{SLICE}'
        ]

    def read_done(self, task: str) -> Task:
        """Returns the row of a task that has ended."""
        (body,) = [
            write['body']
            for write in self.list_history()
            if write['partition'] == f'done/{SLICE}' and write['sort'] == task
        ]
        return structure(body['task'], Task)

    async def finish(self, seconds: float = 600.0) -> bool:
        """Waits until every job has ended.

        Returns:
          Whether they ended within the timeout of `seconds`.
        """
        end = self.clock.now + seconds
        while set(self.list_done()) != set(self.accepted):
            if self.clock.now > end:
                return False
            await asyncio.sleep(1.0)
        return True
