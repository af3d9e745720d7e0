"""A service with a real owner and model workers in virtual time.

The owner is the product's, from the election on. What runs is judged by what
the model workers have carried out.
"""

from __future__ import annotations

import asyncio
import math

import attrs
import orjson

from lentilmount.control.grouped_submissions import (
    Outcome,
    make_job_operations,
)
from lentilmount.control.keys import CANCEL_SUFFIX, JOBS_TABLE
from lentilmount.control.submission_relay import SUBMIT_SECONDS
from lentilmount.coordination.table import ABSENT
from lentilmount.platform.documents import encode_job_row
from lentilmount.platform.store import (
    CONFIGURATION_TABLE,
    CORDON_PREFIX,
    WORKERS_TABLE,
)
from lentilmount.scheduling.specs import JobSpec, TaskId
from stand_ins.limits import FULL_CORES, HEARTBEAT_SECONDS, MAX_CRASHES
from stand_ins.model_checks import Cordon, SiteChecks
from stand_ins.model_network import Link
from stand_ins.model_owners import (
    LEASE_SECONDS,
    SERVICE,
    OwnerSite,
    call_later,
)
from stand_ins.model_worker import (
    ALWAYS_CRASHING_PAYLOADS,
    CRASHING_PAYLOADS,
    ChooseWork,
    Execution,
    MeasureProgress,
    ModelWorker,
    choose_work,
    show_full_progress,
)
from stand_ins.rowstore import Address

REGISTRATION_SECONDS = 0.2
"""Time from the first start of a worker until it is registered."""

CRASH_SECONDS = 0.3
"""Time until a worker that a task has crashed is back."""

EXPIRY_SECONDS = 3.0
"""Time after which the registration of a worker that sends no heartbeats is
removed."""

FINISH_SECONDS = 30.0


@attrs.define(eq=False)
class ModelSite(OwnerSite):
    """A table, workers, and the processes that compete for their service.

    Attributes:
      record: All runs of all workers, in the order of their starts.
      workers: Workers that run or will run again, by position.
      jobs: Submitted jobs by id.
      cancelled: Ids of the cancelled jobs.
      uncertain: Ids of the jobs of which is not known whether they were
        accepted.
      cordons: Cordons of zones, in the order of their times.
      violations: What was found wrong.
      choose_work: See `ModelWorker`.
      measure_progress: See `ModelWorker`.
      keeps_ids: Whether a worker that a task has crashed is back under its id;
        if not, another one has its address.
      all_workers: All workers that ever were, by id.
      registered_at: Times in seconds of the first registrations of workers, by
        id.
    """

    record: list[Execution] = attrs.Factory(list)
    workers: list[ModelWorker] = attrs.Factory(list)
    jobs: dict[str, JobSpec] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)
    uncertain: set[str] = attrs.Factory(set)
    cordons: list[Cordon] = attrs.Factory(list)
    violations: list[str] = attrs.Factory(list)
    choose_work: ChooseWork = choose_work
    measure_progress: MeasureProgress = show_full_progress
    keeps_ids: bool = True
    all_workers: dict[str, ModelWorker] = attrs.Factory(dict)
    registered_at: dict[str, float] = attrs.Factory(dict)
    _unregistered: set[str] = attrs.Factory(set)
    _count: int = 0
    _checks: SiteChecks = attrs.field(
        init=False,
        default=attrs.Factory(SiteChecks, takes_self=True),
    )

    # Workers.

    def add_worker(self, zone: str = 'north') -> None:
        """Starts a worker with a new id."""
        worker = self._make_worker()
        worker.zone = zone
        self.workers.append(worker)
        self.network.links[worker.address] = Link(worker)
        self._boot(worker)

    def _make_worker(self, replaced: ModelWorker | None = None) -> ModelWorker:
        """Creates a worker, at the address of one that it replaces."""
        self._count += 1
        name = f'w{self._count}'
        worker = ModelWorker(
            name,
            replaced.address if replaced else f'{name}:1',
            self.record,
            incarnation=replaced.incarnation if replaced else 0,
            choose_work=self.choose_work,
            measure_progress=self.measure_progress,
        )
        if replaced is not None:
            worker.zone = replaced.zone
        worker.handle_crash = lambda: self._handle_crash(worker)
        self.all_workers[name] = worker
        return worker

    def _handle_crash(self, worker: ModelWorker) -> None:
        """Crashes a worker because of a task; it comes back soon."""
        position = self.workers.index(worker)
        self.crash(
            position, CRASH_SECONDS, REGISTRATION_SECONDS, self.keeps_ids
        )

    def resize(self, worker: ModelWorker, cores: float, seconds: float) -> None:
        """Changes the cores of a worker, which registers them later.

        Args:
          worker: The worker.
          cores: Its number of cores from now on.
          seconds: Time until it registers them.
        """
        worker.resize(cores)
        call_later(seconds, lambda: self.register(worker))

    def reject_starts(self, worker: ModelWorker, seconds: float) -> None:
        """Lets a worker reject starts, for lack of capacity, for a while."""
        worker.has_capacity = False

        def end() -> None:
            worker.has_capacity = True

        call_later(seconds, end)

    def get_link(self, worker: ModelWorker) -> Link:
        """Returns the link to a worker."""
        return self.network.links[worker.address]

    def _boot(
        self, worker: ModelWorker, seconds: float = REGISTRATION_SECONDS
    ) -> None:
        worker.boot()
        self.get_link(worker).worker = worker
        incarnation = worker.incarnation

        def register() -> None:
            if worker.is_up and worker.incarnation == incarnation:
                self.register(worker)
                call_later(HEARTBEAT_SECONDS, register)

        call_later(seconds, register)

    def register(self, worker: ModelWorker) -> None:
        """Writes the registration of a worker that is up, if it can."""
        if self.is_store_down:
            return
        if worker.is_up and worker.id not in self._unregistered:
            self.registered_at.setdefault(worker.id, self.clock.now)
            self.store.write(
                (WORKERS_TABLE, '', worker.id), worker.describe(SERVICE)
            )

    def set_registered(self, worker: ModelWorker, is_registered: bool) -> None:
        """Lets the registration of a worker vanish or come back."""
        if is_registered:
            self._unregistered.discard(worker.id)
            self.register(worker)
        else:
            self._unregistered.add(worker.id)
            self._remove_registration(worker)

    def _remove_registration(self, worker: ModelWorker) -> None:
        self.registered_at.pop(worker.id, None)
        address = (WORKERS_TABLE, '', worker.id)
        if address in self.store.rows:
            self.store.write(address, None)

    def crash(
        self,
        position: int,
        seconds: float,
        registration_seconds: float,
        has_same_id: bool,
    ) -> None:
        """Crashes a worker, which comes back later, under its id or another.

        Args:
          position: Position of the worker.
          seconds: Time until it is back.
          registration_seconds: Time from then until it is registered.
          has_same_id: Whether it comes back under its id.
        """
        worker = self.workers[position]
        if not worker.is_up:
            return
        worker.crash()
        crashed, incarnation = worker, worker.incarnation

        def expire() -> None:
            if crashed.incarnation == incarnation:
                self._remove_registration(crashed)

        call_later(EXPIRY_SECONDS, expire)
        if not has_same_id:
            worker = self.workers[position] = self._make_worker(crashed)
        call_later(seconds, lambda: self._boot(worker, registration_seconds))

    # The operator.

    def cordon(self, zone: str) -> None:
        """Writes that a zone gets no new work."""
        if any(c.zone == zone and math.isinf(c.until) for c in self.cordons):
            return
        self.cordons.append(Cordon(zone, self.clock.now))
        self.store.write(_make_cordon_address(zone), b'{}')

    def uncordon(self, zone: str) -> None:
        """Removes the row by which a zone gets no new work."""
        for cordon in self.cordons:
            if cordon.zone == zone and math.isinf(cordon.until):
                cordon.until = self.clock.now
                self.store.write(_make_cordon_address(zone), None)

    # Jobs.

    def find_worker(self, task: str) -> str:
        """Returns the id of the worker where the owner has a task, or ''."""
        task_id = TaskId.parse(task)
        if self.cluster is None or task_id is None:
            return ''
        job = self.cluster.jobs.get(task_id.job)
        return job.tasks[task_id].worker if job is not None else ''

    def submit(self, spec: JobSpec) -> None:
        """Writes the row of an accepted job."""
        self.jobs[spec.id] = spec
        self._write_job(spec.id, encode_job_row(spec))

    async def submit_to_owner(self, spec: JobSpec) -> Outcome:
        """Lets the owner write a job, as daemons do; it may run then."""
        owner = self.find_owner()
        if owner is None:
            return Outcome.REFUSED
        body = orjson.loads(orjson.dumps(encode_job_row(spec)))
        try:
            async with asyncio.timeout(SUBMIT_SECONDS):
                outcome = await owner.submit(spec.id, body)
        except TimeoutError:
            outcome = Outcome.UNKNOWN
        if outcome is not Outcome.REFUSED:
            self.jobs[spec.id] = spec
        if outcome is Outcome.UNKNOWN:
            self.uncertain.add(spec.id)
        return outcome

    def submit_late(self, spec: JobSpec, seconds: float) -> None:
        """Writes a job as daemons do; the write is carried out after a time.

        It has no effect if the job is cancelled by then.
        """
        operations = make_job_operations(SERVICE, spec.id, encode_job_row(spec))
        addresses = [(JOBS_TABLE, SERVICE, op.key.sort) for op in operations]
        value = orjson.dumps(['token', encode_job_row(spec)])

        def carry_out() -> None:
            conditions = dict.fromkeys(addresses, ABSENT)
            if self.store.transact(conditions, {addresses[0]: value}) is None:
                self.jobs[spec.id] = spec

        asyncio.get_running_loop().call_later(seconds, carry_out)

    def cancel(self, job_id: str) -> None:
        """Writes the row that cancels a job."""
        self.cancelled.add(job_id)
        self._write_job(job_id + CANCEL_SUFFIX, {})

    def _write_job(self, key: str, body: dict[str, object]) -> None:
        value = orjson.dumps(['token', body])
        self.store.write((JOBS_TABLE, SERVICE, key), value)

    # Checks.

    async def watch(self) -> None:
        """Checks what runs again and again, until it is cancelled."""
        while True:
            await asyncio.sleep(0.2)
            self.check()

    def check(self) -> None:
        """Adds violations by what has run up to now."""
        self._checks.check()

    # The end.

    async def finish(self) -> None:
        """Removes all faults, waits, and checks that all jobs have ended.

        Tasks that crash all workers in turn keep the others from running for up
        to a lease each time.
        """
        for link in self.network.links.values():
            link.cut(False, False, self.clock.now)
            link.faults.clear()
            link.refuses_until = -math.inf
        self.write_faults.clear()
        for cordon in self.cordons:
            self.uncordon(cordon.zone)
        for worker in self.workers:
            worker.ineffective_stops = 0
            worker.resize(FULL_CORES)
            self.set_registered(worker, True)
        if self.election is None:
            self.start_owner()
        crashing = sum(
            spec.payload in {*CRASHING_PAYLOADS, *ALWAYS_CRASHING_PAYLOADS}
            for spec in self.jobs.values()
        )
        seconds = FINISH_SECONDS + crashing * MAX_CRASHES * LEASE_SECONDS
        end = self.clock.now + seconds
        self.check()
        while self.clock.now < end and self._checks.list_unfinished():
            await asyncio.sleep(0.5)
            self.check()
        for problem in self._checks.list_unfinished():
            if problem:
                self.violations.append(problem)


def _make_cordon_address(zone: str) -> Address:
    return CONFIGURATION_TABLE, '', CORDON_PREFIX + zone
