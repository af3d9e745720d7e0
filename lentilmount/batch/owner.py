"""Owner of a slice: admits and places tasks, and talks to the workers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import logbook

from lentilmount.batch.drafts import Draft
from lentilmount.batch.inbox import (
    RequestKind,
    is_newer,
    is_urgent,
    read_request,
)
from lentilmount.batch.ledger import Ledger
from lentilmount.batch.policy import Policy
from lentilmount.batch.records import (
    Task,
    WorkerRecord,
    make_inbox_partition,
)
from lentilmount.batch.retention import Retention
from lentilmount.batch.shapes import ShapePublisher, WorkerShapes
from lentilmount.batch.states import COMMITTED_PHASES, STOPPING, Transition
from lentilmount.batch.worker_commands import SessionOptions
from lentilmount.batch.worker_session import WorkerSession
from lentilmount.configuration import Configuration
from lentilmount.coordination.table import Row, Table, UnavailableError
from lentilmount.errors import InvalidError
from lentilmount.resources import Kind, Phase, ServiceSpec, Urgency
from lentilmount.slices import find_replica_slice, get_zone
from lentilmount.upstream.hosts import Host
from lentilmount.upstream.workers import SyncClient
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('batch')

ITERATION_SECONDS = 1.0
INBOX_PAGE = 40


@attrs.frozen
class OwnerOptions:
    """Options of an owner.

    Attributes:
      sessions: Options of the sessions with workers.
      slices: Names of all slices of the deployment.
      lease_seconds: Duration of the slice's lease.
    """

    sessions: SessionOptions
    slices: tuple[str, ...]
    lease_seconds: float


class Owner:
    """Runs one slice while its lease is held.

    Args:
      ledger: The slice's rows, loaded.
      table: The table with the inbox.
      workers: Client for the workers.
      configuration: The operators' configuration.
      list_hosts: Returns the workers of this slice in the host list.
      options: Options of the owner.
      monotonic: Clock for durations.

    Attributes:
      ledger: The slice's rows.
      sessions: The sessions with its workers, by name.
      policy: The scheduling policy.
    """

    def __init__(
        self,
        ledger: Ledger,
        table: Table,
        workers: SyncClient,
        configuration: Configuration,
        list_hosts: Callable[[], list[Host]],
        options: OwnerOptions,
        monotonic: Callable[[], float],
    ):
        self.ledger = ledger
        self.sessions: dict[str, WorkerSession] = {}
        self._table = table
        self._workers = workers
        self._configuration = configuration
        self._list_hosts = list_hosts
        self._options = options
        self._monotonic = monotonic
        self._reconciled_inputs: tuple[int, int, list[Host]] | None = None
        self._wake = asyncio.Event()
        self._task_group: asyncio.TaskGroup | None = None
        self._subtasks: list[asyncio.Task[None]] = []
        self._stopped = asyncio.Event()
        self.policy = Policy(
            ledger, self.sessions, configuration, len(options.slices), monotonic
        )
        self._publisher = ShapePublisher(ledger.lease.data)
        self._shapes = WorkerShapes(table, options.slices, monotonic)

    def wake(self) -> None:
        """Starts the next iteration now, for example to read the inbox."""
        self._wake.set()

    def stop(self) -> None:
        """Makes `run` return as soon as no write is in progress."""
        self._stopped.set()

    async def run(self) -> None:
        """Runs the slice until `stop` is called or the lease is lost.

        Raises:
          ExceptionGroup: Contains a `LeaseLostError` or another error.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self._task_group = group
                for name in self.ledger.workers:
                    self._add_session(name)
                self._start(self._keep_lease())
                self._start(self._work())
                retention = Retention(self._table, self.ledger.slice_name)
                self._start(retention.run())
                await self._stopped.wait()
                async with self.ledger.change(urgent=True):
                    for task in self._subtasks:
                        task.cancel()
        finally:
            self.ledger.close()

    async def _keep_lease(self) -> None:
        pause = self._options.lease_seconds / 3
        while True:
            renewed_at = self.ledger.lease.renewed_at
            if self._monotonic() - renewed_at >= pause:
                await self.ledger.renew()
            await asyncio.sleep(pause / 3)

    async def _work(self) -> None:
        while True:
            await self._process_inbox()
            await self._reconcile()
            await self._refuse_infeasible()
            await self._apply_policy()
            await self._place()
            await wait_with_timeout(self._wake, ITERATION_SECONDS)
            self._wake.clear()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        assert self._task_group is not None
        self._subtasks.append(self._task_group.create_task(work))

    def _add_session(self, name: str) -> None:
        session = WorkerSession(
            name,
            self.ledger,
            self._workers,
            self._options.sessions,
            self._monotonic,
            self.wake,
            self.policy.handle_failure,
        )
        self.sessions[name] = session
        self._start(session.run())

    async def _reconcile(self) -> None:
        hosts = self._list_hosts()
        inputs = (self._configuration.revision, self.ledger.generation, hosts)
        if inputs == self._reconciled_inputs:
            return
        self._reconciled_inputs = inputs
        await self._register_hosts(hosts)
        await self._reconcile_services()
        await self._drain_workers()

    async def _register_hosts(self, hosts: list[Host]) -> None:
        stale = [host for host in hosts if self._is_stale(host)]
        while stale:
            async with self.ledger.change() as draft:
                while stale and not draft.is_full:
                    draft.set_worker(self._update_worker(stale.pop(), draft))
        for name in self.ledger.workers:
            if name not in self.sessions:
                self._add_session(name)

    def _is_stale(self, host: Host) -> bool:
        if host.name in self.ledger.unreadable:
            return False
        known = self.ledger.workers.get(host.name)
        return known is None or known != self._update_worker(host, None)

    def _update_worker(self, host: Host, draft: Draft | None) -> WorkerRecord:
        known = self.ledger.workers.get(host.name)
        if known is not None and draft is not None:
            known = draft.get_worker(host.name)
        spec = self._configuration.get_worker(host.name)
        record = known or WorkerRecord(
            host.name, host.address, host.zone, host.rack
        )
        return attrs.evolve(
            record,
            address=host.address,
            cordoned=spec.cordoned or spec.drain,
            leaving=record.leaving or host.leaving,
        )

    async def _process_inbox(self) -> None:
        # Urgent requests come first in the inbox and are answered at once.
        # Others are subject to the write limit, so that a burst of
        # cancellations is spread over many iterations.
        with contextlib.suppress(UnavailableError):
            while rows := await self._read_inbox():
                urgent = is_urgent(rows[0])
                if self.ledger.is_write_limited and not urgent:
                    return
                async with self.ledger.change(urgent=urgent) as draft:
                    for row in rows:
                        if draft.is_full or is_urgent(row) is not urgent:
                            break
                        self._process_request(draft, row)
                self._wake_stopping_sessions()

    async def _read_inbox(self) -> list[Row]:
        partition = make_inbox_partition(self.ledger.slice_name)
        after = ''
        while rows := await self._table.scan(partition, after, INBOX_PAGE):
            known = [row for row in rows if not is_newer(row)]
            if known:
                return known
            # Requests in a newer format are left to a newer owner.
            after = rows[-1].key.sort
        return []

    def _process_request(self, draft: Draft, row: Row) -> None:
        # An unreadable row has to leave the inbox, since it would block all
        # the requests after it.
        try:
            request = read_request(row)
        except InvalidError as error:
            log.error('Request {} is set aside: {}.', row.key, error)
            draft.keep_unreadable(row, str(error))
            return
        draft.consumed.append(row)
        task = draft.get_task(request.task_id)
        if request.wish is RequestKind.SUBMIT and task is None and request.task:
            self._admit(draft, request.task)
        elif request.wish is RequestKind.CANCEL and task is not None:
            draft.transition(
                task, Transition.CANCEL, cancel=True, reason='cancelled'
            )

    def _admit(self, draft: Draft, task: Task) -> None:
        draft.admit(task)
        shapes = self._shapes.list_shapes(task.zone)
        reason = self.policy.explain_refusal(task, shapes)
        if reason:
            draft.transition(task, Transition.REFUSE, reason=reason)

    def _wake_stopping_sessions(self) -> None:
        for task in self.ledger.tasks.values():
            if task.phase in STOPPING and task.worker in self.sessions:
                self.sessions[task.worker].wake()

    async def _reconcile_services(self) -> None:
        if not self._configuration.is_ready:
            return
        wanted = self._list_wanted_replicas()
        current = self.ledger.tasks
        missing = [t for t in wanted.values() if t.id not in current]
        extra = [
            task
            for task in current.values()
            if task.is_service
            and task.id not in wanted
            and task.phase is not Phase.CANCELLING
        ]
        while missing or extra:
            async with self.ledger.change(urgent=True) as draft:
                while missing and not draft.is_full:
                    draft.admit(missing.pop())
                while extra and not draft.is_full:
                    draft.transition(
                        extra.pop(), Transition.CANCEL, reason='not wanted'
                    )
        self._wake_stopping_sessions()

    def _list_wanted_replicas(self) -> dict[str, Task]:
        wanted = {}
        for resource in self._configuration.list_kind(Kind.SERVICE):
            spec = resource.spec
            assert isinstance(spec, ServiceSpec)
            slices = [
                name
                for name in self._options.slices
                if not spec.zones or get_zone(name) in spec.zones
            ]
            for index in range(spec.replicas if slices else 0):
                slice_name = find_replica_slice(index, slices)
                if slice_name == self.ledger.slice_name:
                    task = Task(
                        id=f'{resource.path}/{index}',
                        demand=spec.demand,
                        job_class=resource.metadata.name,
                        urgency=Urgency.URGENT,
                        payload=spec.payload,
                        accepted=time.time(),
                    )
                    wanted[task.id] = task
        return wanted

    async def _drain_workers(self) -> None:
        draining = [
            task
            for task in self.ledger.tasks.values()
            if task.phase in (Phase.STARTING, Phase.RUNNING)
            and self._is_draining(task.worker)
        ]
        while draining:
            async with self.ledger.change() as draft:
                while draining and not draft.is_full:
                    task = draft.get_task(draining.pop().id)
                    if task and task.phase in (Phase.STARTING, Phase.RUNNING):
                        draft.transition(
                            task,
                            Transition.EVICT,
                            reason='the worker is leaving',
                        )
            self._wake_stopping_sessions()

    def _is_draining(self, worker: str) -> bool:
        record = self.ledger.workers.get(worker)
        leaving = record is not None and record.leaving
        return leaving or self._configuration.get_worker(worker).drain

    async def _refuse_infeasible(self) -> None:
        self._publisher.publish(self.ledger.workers.values())
        await self._shapes.refresh()
        infeasible = self.policy.list_infeasible(self._shapes.list_shapes)
        while infeasible:
            async with self.ledger.change() as draft:
                while infeasible and not draft.is_full:
                    task_id, reason = infeasible.pop()
                    task = draft.get_task(task_id)
                    if task is not None and task.phase is Phase.PENDING:
                        draft.transition(task, Transition.REFUSE, reason=reason)

    async def _apply_policy(self) -> None:
        plan = self.policy.plan()
        while plan.is_open:
            async with self.ledger.change() as draft:
                workers = self.policy.apply_plan(draft, plan)
            self._wake_sessions(workers)

    async def _place(self) -> None:
        more = len(self.policy.scheduler.queue) > 0
        while more:
            urgent = self.policy.has_urgent
            async with self.ledger.change(urgent=urgent) as draft:
                result = self.policy.place(draft)
            self._wake_sessions(result.workers)
            more = result.more

    def _wake_sessions(self, workers: set[str]) -> None:
        for name in workers & self.sessions.keys():
            self.sessions[name].wake()

    def count_committed(self) -> int:
        """Returns the number of tasks committed on workers."""
        return sum(
            t.phase in COMMITTED_PHASES for t in self.ledger.tasks.values()
        )
