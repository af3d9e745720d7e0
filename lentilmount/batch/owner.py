"""The owner of a slice: admits, places, and keeps a link to each worker."""

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
from lentilmount.batch.shapes import WorkerShapes, publish_shapes
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

STEP_SECONDS = 1.0
INBOX_PAGE = 40


@attrs.frozen
class OwnerOptions:
    """How an owner works.

    Attributes:
      sessions: Times of the leases of tasks.
      slices: Every slice of the deployment.
      lease_seconds: How long the slice is held without renewal.
    """

    sessions: SessionOptions
    slices: tuple[str, ...]
    lease_seconds: float


class Owner:
    """Runs one slice for as long as its lease is held.

    Args:
      ledger: The slice's rows, loaded.
      table: Where the inbox is.
      workers: How workers are reached.
      configuration: What operators declared.
      list_hosts: The workers of this slice, as the host list tells.
      options: How to work.
      monotonic: The clock for durations.
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
        self._followed: tuple[int, int, list[Host]] | None = None
        self._wake = asyncio.Event()
        self._tasks: asyncio.TaskGroup | None = None
        self._running: list[asyncio.Task[None]] = []
        self._stopped = asyncio.Event()
        self.policy = Policy(
            ledger, self.sessions, configuration, len(options.slices), monotonic
        )
        self._shapes = WorkerShapes(table, options.slices, monotonic)

    def wake(self) -> None:
        """Makes the owner look at its inbox now."""
        self._wake.set()

    def stop(self) -> None:
        """Makes `run` return when no write is under way."""
        self._stopped.set()

    async def run(self) -> None:
        """Works until told to stop or the slice is lost.

        Raises:
          ExceptionGroup: With a `LeaseLostError`.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self._tasks = group
                for name in self.ledger.workers:
                    self._add_link(name)
                self._start(self._keep_lease())
                self._start(self._work())
                retention = Retention(self._table, self.ledger.slice_name)
                self._start(retention.run())
                await self._stopped.wait()
                async with self.ledger.change(urgent=True):
                    for task in self._running:
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
            await self._answer_inbox()
            await self._follow_news()
            await self._refuse_hopeless()
            await self._enforce()
            await self._place()
            await wait_with_timeout(self._wake, STEP_SECONDS)
            self._wake.clear()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        assert self._tasks is not None
        self._running.append(self._tasks.create_task(work))

    def _add_link(self, name: str) -> None:
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

    async def _follow_news(self) -> None:
        hosts = self._list_hosts()
        news = (self._configuration.revision, self.ledger.generation, hosts)
        if news == self._followed:
            return
        self._followed = news
        await self._meet_hosts(hosts)
        await self._reconcile_services()
        await self._drain_workers()

    async def _meet_hosts(self, hosts: list[Host]) -> None:
        stale = [host for host in hosts if self._is_stale(host)]
        while stale:
            async with self.ledger.change() as draft:
                while stale and not draft.is_full:
                    draft.set_worker(self._update_worker(stale.pop(), draft))
        for name in self.ledger.workers:
            if name not in self.sessions:
                self._add_link(name)

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

    async def _answer_inbox(self) -> None:
        # Urgent requests come first in the inbox and are not held up. Others
        # wait for the limit on writes, so that a wave of cancellations is
        # worked off over many steps.
        with contextlib.suppress(UnavailableError):
            while rows := await self._read_inbox():
                urgent = is_urgent(rows[0])
                if self.ledger.is_write_limited and not urgent:
                    return
                async with self.ledger.change(urgent=urgent) as draft:
                    for row in rows:
                        if draft.is_full or is_urgent(row) is not urgent:
                            break
                        self._answer(draft, row)
                self._wake_stopping()

    async def _read_inbox(self) -> list[Row]:
        partition = make_inbox_partition(self.ledger.slice_name)
        after = ''
        while rows := await self._table.scan(partition, after, INBOX_PAGE):
            known = [row for row in rows if not is_newer(row)]
            if known:
                return known
            # What a newer version accepted waits for an owner of its version.
            after = rows[-1].key.sort
        return []

    def _answer(self, draft: Draft, row: Row) -> None:
        # A row that cannot be read would come first in the inbox for ever,
        # and nothing behind it would be answered.
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

    def _wake_stopping(self) -> None:
        for task in self.ledger.tasks.values():
            if task.phase in STOPPING and task.worker in self.sessions:
                self.sessions[task.worker].wake()

    async def _reconcile_services(self) -> None:
        if not self._configuration.is_ready:
            return
        wanted = self._list_wanted_replicas()
        held = self.ledger.tasks
        missing = [t for t in wanted.values() if t.id not in held]
        extra = [
            task
            for task in held.values()
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
        self._wake_stopping()

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
                where = find_replica_slice(index, slices)
                if where == self.ledger.slice_name:
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
        moving = [
            task
            for task in self.ledger.tasks.values()
            if task.phase in (Phase.STARTING, Phase.RUNNING)
            and self._is_emptying(task.worker)
        ]
        while moving:
            async with self.ledger.change() as draft:
                while moving and not draft.is_full:
                    task = draft.get_task(moving.pop().id)
                    if task and task.phase in (Phase.STARTING, Phase.RUNNING):
                        draft.transition(
                            task,
                            Transition.EVICT,
                            reason='the worker is leaving',
                        )
            self._wake_stopping()

    def _is_emptying(self, worker: str) -> bool:
        record = self.ledger.workers.get(worker)
        leaving = record is not None and record.leaving
        return leaving or self._configuration.get_worker(worker).drain

    async def _refuse_hopeless(self) -> None:
        publish_shapes(self.ledger.lease.data, self.ledger.workers.values())
        await self._shapes.refresh()
        infeasible = self.policy.list_infeasible(self._shapes.list_shapes)
        while infeasible:
            async with self.ledger.change() as draft:
                while infeasible and not draft.is_full:
                    task_id, reason = infeasible.pop()
                    task = draft.get_task(task_id)
                    if task is not None and task.phase is Phase.PENDING:
                        draft.transition(task, Transition.REFUSE, reason=reason)

    async def _enforce(self) -> None:
        plan = self.policy.plan()
        while plan.is_open:
            async with self.ledger.change() as draft:
                workers = self.policy.apply_plan(draft, plan)
            self._wake_links(workers)

    async def _place(self) -> None:
        more = len(self.policy.scheduler.queue) > 0
        while more:
            urgent = self.policy.has_urgent
            async with self.ledger.change(urgent=urgent) as draft:
                placed = self.policy.place(draft)
            self._wake_links(placed.workers)
            more = placed.more

    def _wake_links(self, workers: set[str]) -> None:
        for name in workers & self.sessions.keys():
            self.sessions[name].wake()

    def count_committed(self) -> int:
        """Returns how many tasks are committed on workers."""
        return sum(
            t.phase in COMMITTED_PHASES for t in self.ledger.tasks.values()
        )
