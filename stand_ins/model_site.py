"""A service with a real owner and model workers in virtual time.

The owner is the product's, from the election on. What runs is judged by what
the model workers have carried out.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import math

import attrs
import orjson

from lentilmount.clock import ManualClock
from lentilmount.control.candidates import Candidates
from lentilmount.control.election import ServiceElection, make_name
from lentilmount.control.grouped_submissions import Outcome
from lentilmount.control.keys import CANCEL_SUFFIX, JOBS_TABLE
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import Owner, OwnerSettings
from lentilmount.control.submission_relay import SUBMIT_SECONDS
from lentilmount.platform.documents import encode_job_row
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import (
    CONFIGURATION_TABLE,
    CORDON_PREFIX,
    WORKERS_TABLE,
    PlatformTable,
)
from lentilmount.platform.workers import WorkerClient
from lentilmount.policies import Policies
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState, TaskPhase
from lentilmount.scheduling.specs import JobSpec, TaskId
from lentilmount.version_times import VersionTimes
from stand_ins.host_link import HostLink, StoreCalls
from stand_ins.limits import (
    CORDON_SECONDS,
    FULL_CORES,
    HEARTBEAT_SECONDS,
    MAX_CRASHES,
    MAX_LATER_STARTS,
    MIN_CRASHES,
    SHRINK_SECONDS,
    count_starts_after_crashes,
    get_binding_capacity,
)
from stand_ins.model_network import Link, MemoryTable, Network, TableFault
from stand_ins.model_worker import (
    ALWAYS_CRASHING_PAYLOADS,
    CRASHING_PAYLOADS,
    ChooseWork,
    Execution,
    ModelWorker,
    choose_work,
)
from stand_ins.rowstore import Address, RowStore

SERVICE = 'desk'
LEASE_SECONDS = 6.0
TIMEOUT_SECONDS = 0.8
STORE_TIMEOUT_SECONDS = 0.6
REGISTRATION_SECONDS = 0.2
"""Time from the first start of a worker until it is registered."""

CRASH_SECONDS = 0.3
"""Time until a worker that a task has crashed is back."""

EXPIRY_SECONDS = 3.0
"""Time after which the registration of a silent worker is removed."""

STOP_LIMIT_SECONDS = 3.9
"""Time within which a run that must not go on has to end."""

DISTURBED_LIMIT_SECONDS = 3.0
"""Further time for that where calls were lost or late."""

NOTICE_SECONDS = 2.0
"""Time within which a worker that is up, registered and not cut off is reached,
so that a late start is stopped."""

FINISH_SECONDS = 30.0

COPY_LIMIT_SECONDS = 1.0
"""Time after the acknowledged end of a task that may be copied within which
another run of it may still begin."""

LATE_SECONDS = 1.0
"""Time from sending a start after which it was carried out late; no owner can
take it back."""


async def _may_own(address: str) -> bool:
    return True


@attrs.frozen
class _Process:
    """A process that competes for the service.

    Attributes:
      election: Its election.
      table: Its table client.
      task: Runs the election.
    """

    election: ServiceElection
    table: PlatformTable
    task: asyncio.Task[None]


@attrs.define
class Cordon:
    """A time during which a zone gets no new work.

    Attributes:
      zone: Name of the availability zone.
      since: Time in seconds at which the operator cordoned it.
      until: Time in seconds at which that was undone; infinity until then.
    """

    zone: str
    since: float
    until: float = math.inf

    def forbids(self, at: float) -> bool:
        """Returns whether a start may not begin at a time."""
        return self.since + CORDON_SECONDS < at < self.until


@attrs.define(eq=False)
class ModelSite:
    """A table, workers, and the processes that compete for their service.

    Attributes:
      clock: The clock.
      store: The table.
      network: Calls to the workers.
      record: All runs of all workers, in the order of their starts.
      workers: Workers that run or will run again, by position.
      jobs: Submitted jobs by id.
      cancelled: Ids of the cancelled jobs.
      uncertain: Ids of the jobs of which is not known whether they were
        accepted.
      cordons: Cordons of zones, in the order of their times.
      violations: What was found wrong.
      write_faults: Faults of the next writes of the owner.
      election: The election of the newest process; None while all are killed.
      host_link: The link of the owner's host, which all its calls share; None
        if there is no need to model it.
      choose_work: See `ModelWorker`.
      metrics: Metrics of all owners.
      processes: Processes that compete for the service, in the order of their
        starts.
      policies: Optional policies of all owners.
      keeps_ids: Whether a worker that a task has crashed is back under its id;
        if not, another one has its address.
    """

    clock: ManualClock
    store: RowStore = attrs.Factory(RowStore)
    network: Network = attrs.Factory(Network)
    record: list[Execution] = attrs.Factory(list)
    workers: list[ModelWorker] = attrs.Factory(list)
    jobs: dict[str, JobSpec] = attrs.Factory(dict)
    cancelled: set[str] = attrs.Factory(set)
    uncertain: set[str] = attrs.Factory(set)
    cordons: list[Cordon] = attrs.Factory(list)
    violations: list[str] = attrs.Factory(list)
    write_faults: list[TableFault] = attrs.Factory(list)
    election: ServiceElection | None = None
    host_link: HostLink | None = None
    choose_work: ChooseWork = choose_work
    metrics: ControlMetrics = attrs.Factory(ControlMetrics)
    processes: list[_Process] = attrs.Factory(list)
    policies: Policies = attrs.Factory(Policies)
    keeps_ids: bool = True
    _all_workers: dict[str, ModelWorker] = attrs.Factory(dict)
    _final_states: dict[str, JobState] = attrs.Factory(dict)
    _checked: int = 0
    _store_down_until: float = -math.inf
    _owner: object = None
    _learned_at: dict[str, float] = attrs.Factory(lambda: {'': 0.0})
    _unregistered: set[str] = attrs.Factory(set)
    _registered_at: dict[str, float] = attrs.Factory(dict)
    _count: int = 0

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
        )
        if replaced is not None:
            worker.zone = replaced.zone
        worker.handle_crash = lambda: self._handle_crash(worker)
        self._all_workers[name] = worker
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
        _call_later(seconds, lambda: self.register(worker))

    def set_room(self, worker: ModelWorker, seconds: float) -> None:
        """Lets a worker have no room for further runs for a while."""
        worker.has_room = False

        def end() -> None:
            worker.has_room = True

        _call_later(seconds, end)

    def get_link(self, worker: ModelWorker) -> Link:
        """Returns the link to a worker."""
        return self.network.links[worker.address]

    def _find_link(self, worker_id: str) -> Link:
        return self.get_link(self._all_workers[worker_id])

    def _boot(
        self, worker: ModelWorker, seconds: float = REGISTRATION_SECONDS
    ) -> None:
        worker.boot()
        self.get_link(worker).worker = worker
        incarnation = worker.incarnation

        def register() -> None:
            if worker.is_up and worker.incarnation == incarnation:
                self.register(worker)
                _call_later(HEARTBEAT_SECONDS, register)

        _call_later(seconds, register)

    def register(self, worker: ModelWorker) -> None:
        """Writes the registration of a worker that is up, if it can."""
        if self._is_store_down:
            return
        if worker.is_up and worker.id not in self._unregistered:
            self._registered_at.setdefault(worker.id, self.clock.now)
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
        self._registered_at.pop(worker.id, None)
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

        _call_later(EXPIRY_SECONDS, expire)
        if not has_same_id:
            worker = self.workers[position] = self._make_worker(crashed)
        _call_later(seconds, lambda: self._boot(worker, registration_seconds))

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

    # The owner.

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
        self.processes.append(_Process(self.election, table, task))
        if self._is_store_down:
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
        """Kills all processes; all that they know is gone."""
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
    def _is_store_down(self) -> bool:
        return self.clock.now < self._store_down_until

    def _cut_table(self, process: _Process, seconds: float) -> None:
        if isinstance(process.table, MemoryTable):
            process.table.is_cut = True
            _call_later(seconds, functools.partial(_heal, process.table))

    def cut_off_owner(self, seconds: float) -> None:
        """Cuts all processes off from the table, and starts another one.

        It takes over while the owner still works for a while.

        Args:
          seconds: Time until they reach the table again.
        """
        for process in self.processes:
            self._cut_table(process, seconds)
        self.start_owner()

    @property
    def cluster(self) -> ClusterState | None:
        """What the newest owner knows; None if there is none."""
        owner = self.find_owner()
        return owner.cluster if owner else None

    def find_worker(self, task: str) -> str:
        """Returns the id of the worker where the owner has a task, or ''."""
        task_id = TaskId.parse(task)
        if self.cluster is None or task_id is None:
            return ''
        job = self.cluster.jobs.get(task_id.job)
        return job.tasks[task_id].worker if job is not None else ''

    # Jobs.

    def submit(self, spec: JobSpec) -> None:
        """Writes the row of an accepted job."""
        self.jobs[spec.id] = spec
        self._write_job(spec.id, encode_job_row(spec))

    def find_owner(self) -> Owner | None:
        """Returns the newest owner that has loaded all rows."""
        for process in reversed(self.processes):
            owner = process.election.owner
            if owner and owner.loaded.is_set() and not owner.lost_reason:
                return owner
        return None

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
        for process in self.processes:
            if process.task.done():
                self._add(f'a process ended: {process.task}')
        self._note_cancellations()
        self._note_final_states()
        by_task: dict[str, list[Execution]] = {}
        for execution in self.record:
            by_task.setdefault(execution.task, []).append(execution)
        for executions in by_task.values():
            for number, later in enumerate(executions):
                for earlier in executions[:number]:
                    self._check_pair(earlier, later)
            self._check_crashes(executions)
        for number in range(self._checked, len(self.record)):
            self._check_room(number)
            self._check_cordon(self.record[number])
        self._checked = len(self.record)
        for execution in self.record:
            if math.isinf(execution.ended_at):
                self._check_cancelled(execution)

    def _check_crashes(self, executions: list[Execution]) -> None:
        """Checks how often a task was started that crashes its workers."""
        spec = self.jobs.get(executions[0].task.partition('.')[0])
        if spec is None or spec.payload not in ALWAYS_CRASHING_PAYLOADS:
            return
        later = count_starts_after_crashes(
            [e.started_at for e in executions],
            [e.ended_at for e in executions if e.kind == 'crashed'],
        )
        if later > MAX_LATER_STARTS:
            self._add('started again after its crashes', executions[-1])

    def _check_room(self, number: int) -> None:
        """Checks that a run fitted on its worker when it began."""
        begun = self.record[number]
        now = begun.started_at
        beside = [
            e
            for e in self.record[:number]
            if (e.worker, e.incarnation) == (begun.worker, begun.incarnation)
            and e.ended_at > now
        ]
        used = sum(self._get_cores(e.task) for e in [*beside, begun])
        worker = self._all_workers[begun.worker]
        if used > get_binding_capacity(worker.capacities, now):
            self._add('started beyond the capacity', begun, *beside)

    def _check_cordon(self, begun: Execution) -> None:
        """Checks that a run did not begin in a cordoned zone."""
        zone = self._all_workers[begun.worker].zone
        is_late = begun.started_at - begun.sent_at > LATE_SECONDS
        at = begun.sent_at if is_late else begun.started_at
        if any(c.zone == zone and c.forbids(at) for c in self.cordons):
            self._add('started in a cordoned zone', begun)

    def _get_cores(self, task: str) -> float:
        job, _, step, _ = task.split('.')
        return self.jobs[job].steps[int(step)].reserved.cores

    def _may_have_copies(self, task: str) -> bool:
        """Returns whether two runs of a task may go on at a time."""
        job, _, step, _ = task.split('.')
        is_allowed = self.jobs[job].steps[int(step)].duplicates
        return is_allowed and self.policies.copies is not None

    def _check_pair(self, earlier: Execution, later: Execution) -> None:
        is_beside = earlier.ended_at > later.started_at
        is_after_done = earlier.kind == 'done' and earlier.is_acknowledged
        if self._may_have_copies(earlier.task):
            is_beside = False
            last_start = earlier.acknowledged_at + COPY_LIMIT_SECONDS
            is_after_done &= later.started_at > last_start
        if not is_beside and not is_after_done:
            return
        if not self._is_unavoidable(earlier, later):
            problem = 'beside' if is_beside else 'after the end of'
            self._add(f'started {problem} a run', earlier, later)
            return
        late = later if later.is_late else earlier
        if self._is_overdue(late, late.started_at):
            self._add('a late start runs on', earlier, later)

    def _is_unavoidable(self, earlier: Execution, later: Execution) -> bool:
        """Returns whether no owner could have prevented a late start.

        The other run had started before the worker restarted and no stop could
        arrive before the start, or nobody could learn of the restart before
        the start of the other run was sent. A start that was sent cannot be
        taken back.
        """
        late, other = (later, earlier) if later.is_late else (earlier, later)
        if not late.is_late:
            return False
        link = self._find_link(late.worker)
        if other.sent_at >= late.booted_at:
            noticed_at = other.sent_at - NOTICE_SECONDS
            reported_at = link.reported_at.get(late.incarnation, math.inf)
            if noticed_at < late.booted_at and other.sent_at < reported_at:
                return True
            is_cut = link.is_cut_during(late.booted_at, noticed_at)
            return is_cut or self._is_address_unknown(late, noticed_at)
        reachable_at = max(
            late.booted_at,
            self._learned_at[''],
            self._registered_at.get(late.worker, math.inf),
        )
        is_early = late.started_at < reachable_at + NOTICE_SECONDS
        is_disturbed = link.is_cut or link.disturbed_at >= late.booted_at
        return is_early or is_disturbed or self.cluster is None

    def _is_address_unknown(self, late: Execution, at: float) -> bool:
        """Returns whether the owner could not know the worker's address.

        That is a later one than the owner that sent the start, while the worker
        is not registered.
        """
        is_other_owner = self._learned_at[''] > late.sent_at
        registered_at = self._registered_at.get(late.worker, math.inf)
        return is_other_owner and registered_at > at

    def _check_cancelled(self, execution: Execution) -> None:
        learned_at = self._learned_at.get(execution.task.partition('.')[0])
        if learned_at is not None and self._is_overdue(execution, learned_at):
            self._add('runs on after its cancellation', execution)

    def _is_overdue(self, execution: Execution, since: float) -> bool:
        """Returns whether a run should have been stopped by now.

        That is so 3.9 s after the time from which the owner could stop it, or
        after a stop that its worker accepted without effect, and 3 s later if
        calls were lost or late since; each fault of the link after that
        postpones it again.
        """
        if math.isfinite(execution.ended_at) or self.cluster is None:
            return False
        link = self._find_link(execution.worker)
        registered_at = self._registered_at.get(execution.worker)
        if registered_at is None or link.is_cut:
            return False
        since = max(since, execution.started_at, registered_at)
        since = max(since, self._learned_at[''], link.worker.ineffective_at)
        limit = since + STOP_LIMIT_SECONDS
        if link.disturbed_at >= since:
            limit = max(
                limit + DISTURBED_LIMIT_SECONDS,
                link.disturbed_at + STOP_LIMIT_SECONDS,
            )
        return self.clock.now > limit

    def _note_cancellations(self) -> None:
        cluster = self.cluster
        if cluster is not self._owner:
            self._owner = cluster
            self._learned_at = {'': self.clock.now}
        for job_id in self.cancelled if cluster is not None else ():
            job = cluster.jobs.get(job_id) if cluster is not None else None
            if job is not None and job.state is JobState.CANCELLED:
                self._learned_at.setdefault(job_id, self.clock.now)
        for link in self.network.links.values():
            if link.is_cut:
                link.disturbed_at = self.clock.now

    def _note_final_states(self) -> None:
        """Remembers how jobs have ended, which owners forget later."""
        jobs = self.cluster.jobs if self.cluster is not None else {}
        for job in jobs.values():
            if job.state.is_final:
                self._final_states[job.spec.id] = job.state

    def _add(self, problem: str, *executions: Execution) -> None:
        found = f'{problem}: ' + ', '.join(map(_format, executions))
        if found not in self.violations:
            self.violations.append(found)

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
        while self.clock.now < end and self._list_unfinished():
            await asyncio.sleep(0.5)
            self.check()
        for problem in self._list_unfinished():
            if problem:
                self.violations.append(problem)

    def _list_unfinished(self) -> list[str]:
        cluster = self.cluster
        if cluster is None:
            return ['there is no owner']
        found = [] if self.network.late_calls == 0 else ['']
        for job_id in self.jobs:
            job = cluster.jobs.get(job_id)
            state = self._final_states.get(job_id)
            if state is JobState.FAILED and not self._may_fail(job_id):
                found.append(f'{job_id} was given up without a cause')
            if job is None:
                if state is None and job_id not in self.uncertain:
                    found.append(f'{job_id} is not known')
                continue
            for task in job.tasks.values():
                problem = self._find_problem(job.state, str(task.id))
                if task.spec.lasting and not job.state.is_final:
                    problem = (
                        ''
                        if task.phase is TaskPhase.RUNNING
                        and self._count_running(str(task.id)) == 1
                        else 'does not run'
                    )
                if problem:
                    found.append(f'{task.id} of a {job.state} job {problem}')
        return found

    def _may_fail(self, job_id: str) -> bool:
        """Returns whether a task has failed, or crashed workers, too often."""
        ends = collections.Counter(
            (e.task, e.kind)
            for e in self.record
            if e.task.partition('.')[0] == job_id
        )
        limits = {
            'failed': self.jobs[job_id].queue.max_attempts,
            'crashed': MIN_CRASHES,
        }
        return any(
            count >= limits.get(kind, math.inf)
            for (_, kind), count in ends.items()
        )

    def _count_running(self, task: str) -> int:
        return sum(
            e.task == task and math.isinf(e.ended_at) for e in self.record
        )

    def _find_problem(self, state: JobState, task: str) -> str:
        if not state.is_final:
            return 'has not ended'
        if self._count_running(task):
            return 'runs on'
        done = [e for e in self.record if e.task == task and e.kind == 'done']
        if state is JobState.COMPLETED and not done:
            return 'was never done'
        if self._may_have_copies(task):
            return ''
        noted = [e for e in done if e.is_acknowledged]
        extra = [e for e in noted if not self._is_unavoidable(noted[0], e)]
        return 'was done more than once' if len(extra) > 1 else ''


def _format(execution: Execution) -> str:
    late = ', late' if execution.is_late else ''
    return (
        f'{execution.task} run {execution.run} on {execution.worker}'
        f' incarnation {execution.incarnation} of {execution.booted_at:.3f}'
        f' at {execution.started_at:.3f} to {execution.ended_at:.3f}'
        f' ({execution.kind}{late})'
    )


def _make_cordon_address(zone: str) -> Address:
    return CONFIGURATION_TABLE, '', CORDON_PREFIX + zone


def _heal(table: MemoryTable) -> None:
    table.is_cut = False


def _call_later(seconds: float, call: object) -> None:
    assert callable(call)
    asyncio.get_running_loop().call_later(seconds, call)
