"""Schedules the tasks of one service while this daemon holds its lease."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import logbook

from lentilmount.clock import Clock
from lentilmount.control.advice import Advice
from lentilmount.control.backlog_log import BacklogLog
from lentilmount.control.cancellations import Cancellations
from lentilmount.control.dispatcher import Dispatcher
from lentilmount.control.gauges import refresh_gauges
from lentilmount.control.grouped_submissions import (
    GroupedSubmissions,
    Outcome,
    Submission,
)
from lentilmount.control.job_loader import JobLoader
from lentilmount.control.loop_lag import LoopLag
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner_load import OwnerLoad
from lentilmount.control.owner_policies import apply_policies
from lentilmount.control.owner_settings import (
    RENEW_WITHOUT_STORE_SECONDS,
    OwnerSettings,
)
from lentilmount.control.placement_log import PlacementLog, log_restored
from lentilmount.control.registry import poll_workers
from lentilmount.control.retention import Retention
from lentilmount.control.start_relay import RelayPool, StartRelay
from lentilmount.control.state_writer import StateWriter
from lentilmount.control.takeover import take_over
from lentilmount.control.task_control import TaskController
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.coordination.leases import CLOCK_DRIFT, Lease, LeaseKeeper
from lentilmount.platform.advice import AdviceClient
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.admission import AdmissionGate
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, Task, TaskPhase, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.poll_intervals import (
    choose_idle_pause,
    choose_pause,
    choose_poll_seconds,
)
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import (
    StaleRun,
    WorkerEntry,
    WorkerState,
)
from lentilmount.scheduling.start_window import make_start_window
from lentilmount.scheduling.takeover import (
    InheritedLeases,
    UnrecordedStarts,
    apply_lease_seconds,
    list_lease_seconds,
)
from lentilmount.version_times import AgeBounds

log = logbook.Logger('owner')

MAX_FIRST_POLLS = 500
"""Number of workers that are polled for the first time at once. A new owner of
thousands would otherwise be busy with these calls for longer than its lease."""

CHECK_SECONDS = 0.1
"""Interval between checks for due occurrences and stalled tasks."""


class Owner:
    """Schedules the tasks of one service and tracks them on its workers.

    Args:
      settings: Settings of the service.
      table: Table with the rows of the service.
      keeper: Renews the lease.
      lease: The lease on the service, just acquired.
      worker_client: Client for the workers.
      clock: Wall and monotonic clocks.
      lease_expiry_seconds: Time until leases granted by the previous owner have
        expired on a worker that cannot be reached.
      are_all_recorded: Whether the rows are known to contain every start by the
        previous owner.
      is_outage: Returns whether the store is unavailable to all daemons.
      advice: Client for the advice service, or None where there is none.
      metrics: Metrics of the daemon.
      inherited: Worker leases as the previous owner recorded them.
      list_relays: Lists the daemons that may send starts for this one, those
        with the most capacity first.
      gate: Judges the jobs that arrive at this daemon, or None if all jobs are
        accepted.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        table: PlatformTable,
        keeper: LeaseKeeper,
        lease: Lease,
        worker_client: WorkerClient,
        clock: Clock,
        lease_expiry_seconds: float,
        are_all_recorded: bool,
        is_outage: Callable[[], bool],
        advice: AdviceClient | None,
        metrics: ControlMetrics,
        inherited: InheritedLeases,
        list_relays: Callable[[], Sequence[str]] = tuple,
        gate: AdmissionGate | None = None,
    ):
        self.cluster = ClusterState()
        self.sessions: dict[str, WorkerSession] = {}
        self.loaded = asyncio.Event()
        self._settings = settings
        self._table = table
        self._lease = lease
        self._worker_client = worker_client
        self._clock = clock
        self._lease_expiry_seconds = lease_expiry_seconds
        self._inherited = inherited
        self._are_all_recorded = are_all_recorded
        self._is_outage = is_outage
        self._metrics = metrics
        self._lag = LoopLag(clock.monotonic)
        self._wake = asyncio.Event()
        self._first_polls = asyncio.Semaphore(MAX_FIRST_POLLS)
        self._stopping = asyncio.Event()
        self._lost_reason = ''
        self._group: asyncio.TaskGroup | None = None
        self._background: set[asyncio.Task[None]] = set()
        self._placement_log = PlacementLog(
            settings.service, self.cluster.history, metrics
        )
        self._backlog_log = BacklogLog(
            settings.service, self.cluster.occurrences
        )
        interference_model = self._interference_model = InterferenceModel()
        self._advice = Advice(
            self.cluster, advice, clock.monotonic, self._wake.set
        )
        self._commands = CommandSender(
            self.cluster,
            worker_client,
            self.sessions,
            self,
            clock.monotonic,
            self._spawn,
            self._advice.get_ticket,
            self._wake.set,
            self._placement_log.record_start,
            StartRelay(
                worker_client,
                RelayPool(list_relays, clock.monotonic),
                OwnerLoad(
                    settings.link_bytes_per_second, clock.monotonic, self._lag
                ),
                self._spawn,
            ),
        )
        self._task_controller = TaskController(
            self.cluster,
            interference_model,
            WorkerHealth(),
            self._commands,
            metrics,
        )
        self._policies = apply_policies(
            settings,
            self.cluster,
            interference_model,
            self._task_controller,
            self._commands.stop,
            gate,
            metrics,
        )
        self._submissions = GroupedSubmissions(
            settings.service,
            clock.monotonic,
            self.cluster.jobs.__contains__,
            self._request_write,
        )
        early_cancellations = Cancellations()
        self._state_writer = StateWriter(
            settings.service,
            table,
            keeper,
            lease,
            self.cluster,
            interference_model,
            self.sessions,
            clock,
            self._commands.start,
            self.handle_lease_lost,
            Retention(
                settings.service,
                self.cluster,
                settings.status_seconds,
                early_cancellations,
            ),
            self._forget_jobs,
            table.version_times,
            self._submissions,
            self._admit_submission,
            settings.link_bytes_per_second,
            self._make_lease_data,
        )
        self._job_loader = JobLoader(
            settings.service,
            table,
            self.cluster,
            clock,
            self._cancel,
            self._wake.set,
            early_cancellations,
        )

    def _make_lease_data(self, now: float) -> dict[str, Any]:
        unrecorded = self._state_writer.unrecorded_starts
        return self._policies.make_lease_data(unrecorded, now)

    @property
    def lost_reason(self) -> str:
        """Why the lease was lost, or '' while it is held."""
        return self._lost_reason

    async def run(self) -> None:
        """Runs until the lease is lost or `stop` is called.

        Raises:
          UnavailableError: The rows could not be read at the start.
        """
        lease_expiry_seconds = self._lease_expiry_seconds
        if not await take_over(
            self._job_loader,
            self._state_writer,
            lease_expiry_seconds,
            self._stopping,
        ):
            return
        now = self._clock.monotonic()
        self._apply_previous_leases()
        unrecorded_seconds = self._inherited.get_unrecorded_seconds(
            CLOCK_DRIFT, now
        )
        unrecorded_starts = UnrecordedStarts(
            self.cluster,
            self._are_all_recorded,
            now
            + (
                lease_expiry_seconds
                if unrecorded_seconds is None
                else unrecorded_seconds
            ),
            frozenset(self.cluster.jobs),
        )
        self._state_writer.unrecorded_starts = unrecorded_starts
        dispatcher = Dispatcher(
            self.cluster,
            Placer(
                self.cluster,
                self._interference_model,
                make_start_window(self._settings.link_bytes_per_second),
            ),
            self._state_writer,
            self._advice,
            unrecorded_starts,
            self._metrics,
            self._clock.monotonic,
            self._lease,
            self._is_outage,
            self._wake,
            self._task_controller.stop,
            self._placement_log.log_starts,
            self._policies.copier,
        )
        log.info(
            'Loaded {} jobs of {}.',
            len(self.cluster.jobs),
            self._settings.service,
            extra={
                'epoch': self._lease.epoch,
                'ready': len(self.cluster.ready),
                'written': self._are_all_recorded,
            },
        )
        log_restored(self.cluster, self._settings.service)
        self.loaded.set()
        async with contextlib.AsyncExitStack() as stack:
            # Timers and callbacks may ask for background work after its end.
            stack.callback(self._end_background)
            group = await stack.enter_async_context(asyncio.TaskGroup())
            self._group = group
            self._resume()
            self._spawn(self._state_writer.run())
            self._spawn(self._job_loader.follow())
            self._spawn(self._poll_workers(unrecorded_starts))
            self._spawn(dispatcher.run())
            self._spawn(self._advice.run())
            self._spawn(self._lag.watch())
            self._spawn(self._run_periodic_checks())
            await self._stopping.wait()
            if not self._lost_reason:
                await self._state_writer.finish()
            for task in list(self._background):
                task.cancel()

    def _apply_previous_leases(self) -> None:
        leases = self._inherited
        apply_lease_seconds(
            self.cluster, leases.remaining, CLOCK_DRIFT, leases.at
        )
        for worker_id in leases.remaining if leases.are_still_published else ():
            worker = self.cluster.workers.get(worker_id)
            if worker is not None:
                worker.is_reported_unreachable = True

    def list_lease_seconds(self) -> dict[str, float]:
        """Returns the seconds left of worker leases, by worker id."""
        now = self._clock.monotonic()
        if not self.loaded.is_set():
            return self._inherited.list_remaining(CLOCK_DRIFT, now)
        return list_lease_seconds(self.cluster, now)

    def stop(self) -> None:
        """Makes `run` return."""
        self._stopping.set()

    def _end_background(self) -> None:
        self._group = None
        self._submissions.close()

    async def submit(self, job_id: str, body: dict[str, Any]) -> Outcome:
        """Accepts a job; see `GroupedSubmissions.submit`."""
        return await self._submissions.submit(job_id, body)

    def _request_write(self) -> None:
        self._state_writer.request_write()

    def _admit_submission(self, submission: Submission) -> None:
        now = self._clock.monotonic()
        age_bounds = AgeBounds(most=now - submission.at)
        job = self.cluster.admit(
            submission.spec, now, self._clock.wall(), age_bounds
        )
        job.row_version = self._lease.version
        self._wake.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if self._group is None or self._stopping.is_set():
            work.close()
            return
        task = self._group.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _resume(self) -> None:
        """Resumes polling workers and stopping tasks after loading."""
        for worker in self.cluster.workers.values():
            self._add_session(worker)
            for task in worker.tasks.values():
                if task.phase is TaskPhase.STOPPING:
                    self._commands.stop(task)

    def _cancel(self, job_id: str) -> None:
        for task in self.cluster.cancel(job_id, self._clock.monotonic()):
            self._commands.stop(task)
        self._state_writer.request_write()

    def _forget_jobs(self, jobs: list[Job]) -> None:
        for job in jobs:
            self._advice.forget(job.spec.id)
            self._task_controller.forget_job(job)

    # Workers.

    async def _poll_workers(self, unrecorded_starts: UnrecordedStarts) -> None:
        def record_complete_list() -> None:
            unrecorded_starts.are_all_listed = True

        await poll_workers(
            self._table,
            self._settings.service,
            self._register_worker,
            self._unregister_worker,
            self._clock.monotonic,
            record_complete_list,
            is_complete=self._are_all_recorded,
            link_bytes_per_second=self._settings.link_bytes_per_second,
            capacity_seconds=self._settings.capacity_seconds,
            cordon_seconds=self._settings.cordon_seconds,
        )

    def _register_worker(self, entry: WorkerEntry) -> None:
        known = self.cluster.workers.get(entry.id)
        previous_entry = known.entry if known is not None else None
        worker = self.cluster.register_worker(entry)
        if previous_entry is not None and previous_entry.started_ms not in (
            0,
            entry.started_ms,
        ):
            session = self.sessions.get(entry.id)
            if session is not None:
                session.handle_registration(entry.started_ms)
        if entry.id not in self.sessions:
            self._add_session(worker)
        # A worker restored from rows has no start time and no real state yet.
        if (
            not previous_entry
            or not previous_entry.started_ms
            or previous_entry.state != entry.state
        ):
            log.info(
                'Worker is {}.',
                entry.state.value,
                extra={'worker': entry.id, 'born': entry.started_ms},
            )
            if entry.state is WorkerState.DRAINING:
                self._task_controller.drain(worker)
        self._wake.set()

    def _unregister_worker(self, worker_id: str) -> None:
        worker = self.cluster.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False
            log.warning(
                'Worker is no longer registered.', extra={'worker': worker_id}
            )

    def _add_session(self, worker: Worker) -> None:
        session = WorkerSession(
            worker,
            self.cluster,
            self._worker_client,
            self,
            self._settings.lease_seconds,
            self._clock.monotonic,
            self._choose_pause,
        )
        self.sessions[worker.id] = session
        self._spawn(self._run_session(session))

    def _choose_pause(self, worker: Worker) -> float:
        pause = choose_pause(worker, self._lag.seconds)
        if worker.tasks:
            return pause
        return max(pause, choose_idle_pause(len(self.cluster.workers)))

    async def _run_session(self, session: WorkerSession) -> None:
        async with self._first_polls:
            await session.poll_first()
        await session.run()
        worker = session.worker
        if self.sessions.get(worker.id) is session:
            del self.sessions[worker.id]
            self.cluster.workers.pop(worker.id, None)

    # Callbacks from worker sessions.

    def handle_lease_lost(self, reason: str) -> None:
        """See `SessionListener`."""
        if not self._lost_reason:
            self._lost_reason = reason
            self._metrics.count_loss(self._settings.service)
            log.warning(
                'Lost {}: {}.',
                self._settings.service,
                reason,
                extra={'epoch': self._lease.epoch},
            )
        self._stopping.set()

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        seconds_since_renewal = self._clock.monotonic() - self._lease.renewed_at
        return (
            seconds_since_renewal < RENEW_WITHOUT_STORE_SECONDS
            or self._is_outage()
        )

    def choose_poll_seconds(self, worker: Worker) -> float:
        """See `SessionListener`."""
        return choose_poll_seconds(worker, self._interference_model)

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], reason: str
    ) -> None:
        """See `SessionListener`."""
        log.warning(
            'Its {} tasks ended: {}.',
            len(tasks),
            reason,
            extra={
                'worker': worker.id,
                'tasks': [str(t.id) for t in tasks],
                'suspects': [str(t.id) for t in worker.suspects],
            },
        )
        for task in tasks:
            self._task_controller.forget(task)
        self._wake.set()
        self._state_writer.request_write()

    def handle_crash(self, worker: Worker, suspects: list[Task]) -> None:
        """See `SessionListener`."""
        self._task_controller.handle_crash(
            worker, suspects, self._clock.monotonic()
        )
        self._state_writer.request_write()

    def handle_late_starts(
        self, worker: Worker, late_starts: list[StaleRun]
    ) -> None:
        """See `SessionListener`."""
        log.info(
            'Stops {} runs that it may still start after its restart.',
            len(late_starts),
            extra={
                'worker': worker.id,
                'tasks': [start.task for start in late_starts],
            },
        )
        self._commands.stop_late_starts(late_starts)

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """See `SessionListener`."""
        now = self._clock.monotonic()
        self._task_controller.handle_poll_result(worker, result, now)
        self._policies.handle_poll_result(result, now)
        if worker.is_reported_unreachable:
            self._state_writer.request_write()
        if result.ended or result.adopted or result.expired:
            self._wake.set()
            self._state_writer.request_write()

    def refresh_metrics(self) -> None:
        """Updates the gauges."""
        refresh_gauges(self.cluster, self._metrics)
        self._policies.refresh_metrics()

    async def _run_periodic_checks(self) -> None:
        try:
            while True:
                await asyncio.sleep(CHECK_SECONDS)
                self.cluster.occurrences.open_due(self._clock.wall())
                self._backlog_log.update()
                self._task_controller.check(self._clock.monotonic())
                self._policies.settle_copies(self._clock.monotonic())
                self._placement_log.flush()
        finally:
            self._placement_log.flush()
