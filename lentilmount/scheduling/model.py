"""Data model of jobs, tasks and workers in the owner of a service."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.reports import WorkerEntry, WorkerState
from lentilmount.scheduling.specs import JobSpec, StepSpec, TaskId

if TYPE_CHECKING:
    # Only owners need it.
    from lentilmount.scheduling.ranges import Ranges


class JobState(enum.Enum):
    """State of a job as shown to clients."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class TaskPhase(enum.Enum):
    """Phase in the life cycle of a task."""

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'
    GIVEN_UP = 'given-up'

    @property
    def is_placed(self) -> bool:
        """Whether a worker may be running the task."""
        return self in _PLACED


_PLACED = frozenset({TaskPhase.STARTING, TaskPhase.RUNNING, TaskPhase.STOPPING})


@attrs.define
class WatchedStart:
    """A start by which a task may crash its worker.

    Attributes:
      worker: Id of the worker.
      address: Its address, where another instance may prove that it has ended.
      started_ms: Start time of its incarnation, as in `WorkerEntry`; 0 if it is
        not known.
      lost_at: Monotonic time at which the run was lost with the worker;
        infinity if it was not.
    """

    worker: str
    address: str = ''
    started_ms: int = 0
    lost_at: float = math.inf


@attrs.define(eq=False)
class Task:
    """State of one task.

    Attributes:
      id: Id of the task.
      spec: Specification of its step.
      job: Job that it belongs to.
      phase: Current phase.
      run: Number of the newest known run; 0 before the first.
      skipped: How many further run numbers a previous owner may have used.
      worker: Id of the worker where it is placed, or ''.
      is_done_elsewhere: Whether an earlier run of it is done, so that it is not
        placed again once the current run has ended.
      checkpoint: Newest checkpoint, or ''.
      failed_runs: Numbers of the failed runs that count against its job.
      failed_on: Ids of the workers on which it failed.
      crashed_runs: Numbers of its newest runs if their workers, one after the
        other, crashed shortly after they had started it.
      placed_at: Monotonic time of the newest placement in seconds.
      confirmed_at: Monotonic time by which its worker has certainly started it;
        infinity until then, 0 if it was restored from a row and not reported.
      cleared_run: Number of the newest run that did not crash its worker.
      is_watched: Whether it may have crashed a worker. A start of it is then
        recorded with its worker, which must answer a probe just before.
      watched_starts: These starts by run, until it is known whether the worker
        has crashed.
      start_follows_answer: Whether its worker had just answered such a probe
        when its start was last sent.
      start_sent_at: Monotonic time at which its start was last sent; infinity
        if it was not, minus infinity if a previous owner may have sent it.
      start_deadline_ms: Deadline for the start in ms of the worker's clock; 0
        if no start was sent.
      start_expired_at: Monotonic time by which that deadline has certainly
        passed.
      stopped_at: Monotonic time by which its worker has certainly begun to stop
        it.
      stop_accepted_at: Monotonic time at which its worker last accepted its
        stop in phase STOPPING; infinity if it has not.
      is_stop_overdue: Whether its worker listed it too long after that.
      cpu_percent: Share of time in percent for which it may use the processor.
      previous_cpu_percent: That share before the last change.
      throttled_at: Monotonic time of that change in seconds.
      usage: Newest measurement: tail latency in ms of a serving task, otherwise
        millicores in use.
      idle_since: Monotonic time since which it has used no processor time;
        infinity if it is not idle.
      reported_at: Monotonic time of the newest report on its run; minus
        infinity if there is none.
      progress: Highest known progress of its run, in percent; None if it is not
        known before the first report.
      progress_signs: Number of signs of progress of its run: percents gained
        and new checkpoints; see `hangs`.
      progressed_at: Monotonic time of the report with the newest of them, or of
        the first one if its progress may be older; minus infinity before it.
      tolerated_stall: Time in seconds without progress for which a run of it is
        not taken for hanging; 0 unless an earlier one was. See `hangs`.
      last_ended_at: Monotonic time at which its last run ended. A long-running
        task must run again soon after.
      older: An older run of it that goes on beside this one; see `copies`.
      newer: The task whose older run this is; None unless it is one.
      is_copied: Whether a copy of it was started by this owner.
    """

    id: TaskId
    spec: StepSpec
    job: Job
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    skipped: int = 0
    worker: str = ''
    is_done_elsewhere: bool = False
    checkpoint: str = ''
    failed_runs: set[int] = attrs.Factory(set)
    failed_on: set[str] = attrs.Factory(set)
    crashed_runs: set[int] = attrs.Factory(set)
    cleared_run: int = 0
    is_watched: bool = False
    watched_starts: dict[int, WatchedStart] = attrs.Factory(dict)
    start_follows_answer: bool = False
    placed_at: float = 0.0
    confirmed_at: float = 0.0
    start_sent_at: float = -math.inf
    start_deadline_ms: int = 0
    start_expired_at: float = math.inf
    stopped_at: float = math.inf
    stop_accepted_at: float = math.inf
    is_stop_overdue: bool = False
    cpu_percent: int = 100
    previous_cpu_percent: int = 100
    throttled_at: float = 0.0
    usage: float | None = None
    idle_since: float = math.inf
    reported_at: float = -math.inf
    progress: int | None = None
    progress_signs: int = 0
    progressed_at: float = -math.inf
    tolerated_stall: float = 0.0
    last_ended_at: float = 0.0
    older: Task | None = None
    newer: Task | None = None
    is_copied: bool = False

    @property
    def is_serving(self) -> bool:
        """Whether the task has a tail latency target."""
        return self.spec.target_ms > 0

    @property
    def failures(self) -> int:
        """Number of failed runs that count against the job."""
        return len(self.failed_runs)

    def forget_reports(self) -> None:
        """Drops what was reported on an earlier run."""
        self.usage = None
        self.idle_since = math.inf
        self.reported_at = -math.inf
        self.progress = None
        self.progress_signs = 0
        self.progressed_at = -math.inf


@attrs.frozen
class PlacedRun:
    """A run of a task as it was placed on a worker.

    Attributes:
      task: The task, which may have been placed anew since.
      run: Number of the run.
    """

    task: Task
    run: int

    @property
    def is_due(self) -> bool:
        """Whether the run is still the current one and to be started."""
        is_current = self.task.run == self.run
        return is_current and self.task.phase is TaskPhase.STARTING


BUSY_USAGE = 1.0
QUIET_USAGE = 0.67
"""Share of its cores that a best-effort task uses in its busy and quiet phases.
The phases alternate every few seconds, independently for each task."""

QUIET_INTENSITY = 0.4
"""Interference of a task in a quiet phase, relative to a busy phase."""

MEAN_INTENSITY = 0.76
"""Mean interference over both phases. It is above the midpoint because tasks
are busy more often than quiet."""

MIN_MEASURABLE_PERCENT = 20
"""CPU share in percent below which usage does not distinguish the phases."""


def measure_intensity(task: Task) -> float:
    """Returns the current interference of a best-effort task (busy: 1)."""
    if task.usage is None or task.cpu_percent < MIN_MEASURABLE_PERCENT:
        return MEAN_INTENSITY
    allowed = 10 * task.spec.demand.cores * task.cpu_percent
    used = task.usage / allowed if allowed else BUSY_USAGE
    position = (used - QUIET_USAGE) / (BUSY_USAGE - QUIET_USAGE)
    position = min(1.0, max(0.0, position))
    return QUIET_INTENSITY + position * (1 - QUIET_INTENSITY)


@attrs.define
class DurationRatio:
    """How long steps of a queue take relative to their estimates.

    Attributes:
      value: The ratio; 1 while nothing is known.
    """

    value: float = 1.0


@attrs.define(eq=False)
class Job:
    """State of a job and its tasks.

    Attributes:
      spec: Specification as accepted.
      accepted_at: Estimated monotonic time of acceptance in seconds.
      finished: Occurrences of which all steps are done.
      state: State shown to clients.
      tasks: Tasks of the open steps, by id; those of steps that are done until
        another occurrence, or a held step, is opened.
      occurrences: Number of the first occurrence that may not be open yet.
      done_steps: Steps that are done and not dropped yet, each with its
        occurrence first.
      held_steps: Steps whose predecessors are done and that are not open, as
        enough tasks wait; each with its occurrence first.
      critical_paths: For each step, the length in seconds of the longest path
        of steps that starts with it, by the declared estimates.
      durations: How long its steps are expected to take beside that.
      version: Version of the job's state row; 0 before the first write.
      row_version: Version of the job's own row.
      cancel_version: Version of the row that requests its cancellation, if any.
      ended_at: Estimated monotonic time at which the job ended.
      remaining: Number of unfinished tasks by (occurrence, step), of the open
        occurrences and those that are not dropped yet.
      was_placed: Whether any task was ever placed.
      has_started: Whether a worker has certainly started any task.
      first_placed_at: Monotonic time of the first placement by this owner.
      is_end_logged: Whether the end was logged, by this owner or an earlier
        one.
    """

    spec: JobSpec
    accepted_at: float
    finished: Ranges
    state: JobState = JobState.QUEUED
    tasks: dict[TaskId, Task] = attrs.Factory(dict)
    occurrences: int = 0
    done_steps: list[tuple[int, int]] = attrs.Factory(list)
    held_steps: list[tuple[int, int]] = attrs.Factory(list)
    critical_paths: tuple[float, ...] = ()
    durations: DurationRatio = attrs.Factory(DurationRatio)
    version: int = 0
    row_version: int = 0
    cancel_version: int = 0
    ended_at: float = math.inf
    remaining: dict[tuple[int, int], int] = attrs.Factory(dict)
    was_placed: bool = False
    has_started: bool = False
    first_placed_at: float = math.inf
    is_end_logged: bool = False

    @property
    def objective(self) -> float:
        """Time in seconds within which the job should complete."""
        critical_path = max(self.critical_paths, default=0.0)
        return self.spec.queue.get_objective(
            self.durations.value * critical_path
        )

    def get_critical_path(self, step: int) -> float:
        """Returns the expected seconds from the start of a step to the end."""
        return self.durations.value * self.critical_paths[step]

    def count_remaining(self, occurrence: int, step: int) -> int:
        """Returns the number of unfinished tasks of a step that was open."""
        return self.remaining.get((occurrence, step), 0)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        if occurrence in self.finished:
            return True
        return self.remaining.get((occurrence, step)) == 0


@attrs.define
class FinishedRun:
    """A run that a worker lists although its job is over.

    Attributes:
      task: The task.
      listed_at: Monotonic time at which a report first listed it so.
      is_logged: Whether a log line tells that it runs on.
    """

    task: Task
    listed_at: float
    is_logged: bool = False


@attrs.frozen
class EndedTask:
    """A best-effort task that has ended on a worker.

    Attributes:
      image: Image that it ran.
      share: CPU share (0 to 1) times interference intensity.
      at: Monotonic time at which it ended, in seconds.
    """

    image: str
    share: float
    at: float


@attrs.define(eq=False)
class Worker:
    """State of a worker as known to the owner.

    Attributes:
      entry: Newest registration.
      tasks: Tasks that it runs or may run, including those being stopped.
      has_answered: Whether it has ever answered this owner.
      reachable: Whether it answered the last poll.
      incarnation_ms: Start time of the incarnation that made the newest report,
        as in `WorkerEntry.started_ms`; None if it is not known.
      has_crashed: Whether it has certainly ended, as another instance has its
        address.
      suspects: Runs that may have crashed it, by task, until its crash is
        proved or it answers again.
      lost_at: Monotonic time at which its tasks were last lost with it.
      reached_at: Monotonic time since which no poll has failed.
      last_answer_at: Monotonic time of its newest answer to any call; minus
        infinity if there is none.
      has_missed_poll: Whether a poll has failed since its last answer.
      is_reported_unreachable: Whether the service's lease row may list it as
        unreachable, so that the next owner assumes its leases are no longer
        renewed.
      answers_commands: Whether it answered the last command.
      stop_unanswered_since: Monotonic time since which it has answered no
        command while a stop is pending; infinity if there is none.
      renews_leases: Whether the owner may renew its leases.
      is_registered: Whether it is currently registered.
      runs_unknown_tasks: Whether it runs tasks of jobs that this owner does not
        know.
      unknown_runs: Monotonic time at which a report first listed each of these
        runs, by formatted id of the task and number of the run.
      has_stale_runs: Whether it runs tasks that must be stopped.
      finished_runs: Runs of jobs that are over, as listed in its last report,
        by id of the task and number of the run.
      leases_expire_at: Monotonic time by which all its leases have expired; 0
        if there are none known.
      quarantined_until: Monotonic time until which it gets no new tasks.
      on_probation: Whether it gets only one task, to test it.
      slowdown: Run time of tasks there relative to their estimates.
      change_count: Incremented whenever its tasks or their state change.
    """

    entry: WorkerEntry
    tasks: dict[TaskId, Task] = attrs.Factory(dict)
    has_answered: bool = False
    reachable: bool = False
    incarnation_ms: int | None = None
    has_crashed: bool = False
    suspects: dict[Task, int] = attrs.Factory(dict)
    lost_at: float = -math.inf
    reached_at: float = -math.inf
    last_answer_at: float = -math.inf
    has_missed_poll: bool = False
    is_reported_unreachable: bool = False
    answers_commands: bool = True
    stop_unanswered_since: float = math.inf
    renews_leases: bool = True
    is_registered: bool = True
    runs_unknown_tasks: bool = False
    unknown_runs: dict[tuple[str, int], float] = attrs.Factory(dict)
    has_stale_runs: bool = False
    finished_runs: dict[tuple[TaskId, int], FinishedRun] = attrs.Factory(dict)
    leases_expire_at: float = 0.0
    quarantined_until: float = 0.0
    on_probation: bool = False
    slowdown: float = 1.0
    change_count: int = 0
    _used: Room | None = None
    _stale: Room = attrs.Factory(Room)
    _ended_tasks: list[EndedTask] = attrs.Factory(list)

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.entry.id

    @property
    def is_entry_outdated(self) -> bool:
        """Whether a newer incarnation, maybe of another size, has reported."""
        known = (None, self.entry.started_ms)
        return bool(self.entry.started_ms) and self.incarnation_ms not in known

    @property
    def rack(self) -> str:
        """Rack of the worker, which is its last label."""
        return self.entry.labels[-1] if self.entry.labels else ''

    @property
    def used(self) -> Room:
        """Resources reserved by its tasks, including those being stopped.

        Stale runs that it listed in its last report count as well.
        """
        if self._used is None:
            # Summed from scratch: incremental additions and subtractions
            # would accumulate rounding errors over hours.
            total = self._stale
            for task in self.tasks.values():
                total = total.add(task.spec.reserved)
            self._used = total
        return self._used

    def is_registration_outdated(self, now: float) -> bool:
        """Returns whether its capacity may have shrunk too long ago."""
        return now > self.entry.usable_until

    def may_be_overcommitted(self, now: float) -> bool:
        """Returns whether its tasks may reserve more than its capacity."""
        is_known_to_fit = self.used.fits(self.entry.capacity)
        return not is_known_to_fit or self.is_registration_outdated(now)

    def accepts_starts(self, now: float) -> bool:
        """Returns whether starts of tasks placed there may still be sent."""
        is_closed = self.entry.is_cordoned or self.may_be_overcommitted(now)
        return not is_closed

    def add(self, task: Task) -> None:
        """Adds a task that runs or will run on the worker."""
        self.tasks[task.id] = task
        self._used = None
        self.change_count += 1

    def set_stale(self, stale: Room) -> None:
        """Replaces the resources of the stale runs that it lists."""
        self._stale = stale
        self._used = None
        self.change_count += 1

    def remove(self, task: Task) -> None:
        """Removes a task that certainly no longer runs on the worker."""
        if self.tasks.get(task.id) is task:
            del self.tasks[task.id]
            self._used = None
            self.change_count += 1

    @property
    def awaits_starts(self) -> bool:
        """Whether it has not answered all starts."""
        starting = TaskPhase.STARTING
        return any(task.phase is starting for task in self.tasks.values())

    @property
    def is_being_tested(self) -> bool:
        """Whether a task was placed there since its quarantine ended."""
        return any(
            task.placed_at >= self.quarantined_until
            for task in self.tasks.values()
        )

    def record_ended_task(self, ended: EndedTask) -> None:
        """Remembers a best-effort task for measurements that still cover it."""
        self._ended_tasks.append(ended)

    def list_recently_ended(self, since: float) -> list[EndedTask]:
        """Lists the best-effort tasks that ended after a monotonic time.

        Older ones are dropped.
        """
        self._ended_tasks = [
            ended for ended in self._ended_tasks if ended.at > since
        ]
        return self._ended_tasks

    def fits(self, demand: Room) -> bool:
        """Returns whether a demand fits into the unreserved capacity."""
        return demand.fits(self.entry.capacity.subtract(self.used))


def make_unregistered_worker(worker: str, address: str = '') -> Worker:
    """Creates a worker known only from state rows.

    Args:
      worker: Its id.
      address: Its address, '' if that is not known.
    """
    entry = WorkerEntry(
        worker, 0, address, '', '', WorkerState.READY, Room(), ()
    )
    return Worker(entry, is_registered=False)
