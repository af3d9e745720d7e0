"""Jobs, tasks and workers, as the owner of a service sees them."""

from __future__ import annotations

import enum
import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.reports import WorkerEntry
from lentilmount.scheduling.specs import JobSpec, StepSpec, TaskId


class JobState(enum.Enum):
    """What a client is told of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class TaskPhase(enum.Enum):
    """Where a task is."""

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


@attrs.define(eq=False)
class Task:
    """One task.

    Attributes:
      id: Its name.
      spec: Its step.
      job: Its job.
      phase: Where it is.
      run: Number of its newest start that is known; 0 before the first.
      skipped: Run numbers after it that a previous owner may have used.
      worker: Where it is placed, or ''.
      checkpoint: Newest checkpoint, or ''.
      failed_runs: Runs whose ends count against its job.
      failed_on: Workers on which it failed.
      placed_at: Monotonic time of its newest start.
      confirmed_at: Monotonic time at which its worker had surely started it.
      start_deadline_ms: By when its start must begin, on its worker's clock; 0
        if none was sent.
      start_expired_at: Monotonic time at which that was surely past.
      stopped_at: Monotonic time at which its worker had surely begun to
        stop it.
      cpu_percent: Share of the time in which we let it work.
      previous_cpu_percent: The same before it was changed last.
      throttled_at: Monotonic time of that change.
      usage: Newest figure: tail in ms if it serves, else thousandths of a
        core in use.
      idle_since: Monotonic time since which it has used no processor.
      last_ended_at: Monotonic time of its last end; lasting tasks must be back
        soon after.
    """

    id: TaskId
    spec: StepSpec
    job: Job
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    skipped: int = 0
    worker: str = ''
    checkpoint: str = ''
    failed_runs: set[int] = attrs.Factory(set)
    failed_on: set[str] = attrs.Factory(set)
    placed_at: float = 0.0
    confirmed_at: float = 0.0
    start_deadline_ms: int = 0
    start_expired_at: float = math.inf
    stopped_at: float = math.inf
    cpu_percent: int = 100
    previous_cpu_percent: int = 100
    throttled_at: float = 0.0
    usage: float | None = None
    idle_since: float = math.inf
    last_ended_at: float = 0.0

    @property
    def is_serving(self) -> bool:
        """Whether it has a tail target of its own."""
        return self.spec.target_ms > 0

    @property
    def failures(self) -> int:
        """How many ends count against its job."""
        return len(self.failed_runs)


BUSY_USAGE = 1.0
QUIET_USAGE = 0.67
"""Shares of its cores that a filling task uses in its busy and its quiet
spells, which take turns every few seconds, task by task."""

QUIET_INTENSITY = 0.4
"""Interference of a task in a quiet spell, over that in a busy one."""

MEAN_INTENSITY = 0.76
"""The same on average: tasks are busy more often than quiet."""

LEAST_SHOWN_PERCENT = 20
"""Slowed further, a task's usage does not tell its spells."""


def measure_intensity(task: Task) -> float:
    """Returns how much a filling task interferes now, 1 for a busy spell."""
    if task.usage is None or task.cpu_percent < LEAST_SHOWN_PERCENT:
        return MEAN_INTENSITY
    allowed = 10 * task.spec.demand.cores * task.cpu_percent
    used = task.usage / allowed if allowed else BUSY_USAGE
    place = (used - QUIET_USAGE) / (BUSY_USAGE - QUIET_USAGE)
    place = min(1.0, max(0.0, place))
    return QUIET_INTENSITY + place * (1 - QUIET_INTENSITY)


@attrs.define(eq=False)
class Job:
    """A job and its tasks.

    Attributes:
      spec: As accepted.
      accepted_at: Monotonic time of acceptance, as far as it is known.
      state: What clients are told.
      tasks: Its tasks, those of occurrences that are due.
      occurrences: How many occurrences have tasks.
      objective: Seconds in which it should be completed.
      critical_paths: For each step, the seconds of the longest chain it begins.
      version: Version of its state's row; 0 before the first write.
      row_version: Version of its own row.
      cancel_version: Version of its cancellation's row, if there is one.
      ended_at: Monotonic time at which it ended, as far as it is known.
      remaining: Tasks of each (occurrence, step) that are not done.
      was_placed: Whether any task was placed.
      has_started: Whether a worker has surely begun any task.
      first_placed_at: Monotonic time of the first start by this owner.
      is_end_logged: Whether its end was logged, here or by an earlier owner.
    """

    spec: JobSpec
    accepted_at: float
    state: JobState = JobState.QUEUED
    tasks: dict[TaskId, Task] = attrs.Factory(dict)
    occurrences: int = 0
    objective: float = math.inf
    critical_paths: tuple[float, ...] = ()
    version: int = 0
    row_version: int = 0
    cancel_version: int = 0
    ended_at: float = math.inf
    remaining: dict[tuple[int, int], int] = attrs.Factory(dict)
    was_placed: bool = False
    has_started: bool = False
    first_placed_at: float = math.inf
    is_end_logged: bool = False


@attrs.frozen
class EndedTask:
    """A filling task that has ended.

    Attributes:
      image: What it ran.
      share: Share of the time in which it could work, times its intensity.
      at: Monotonic time of its end.
    """

    image: str
    share: float
    at: float


@attrs.define(eq=False)
class Worker:
    """A worker as the owner sees it.

    Attributes:
      entry: Its newest registration.
      tasks: Tasks that it runs or may run, those being stopped included.
      has_answered: Whether it has answered this owner.
      reachable: Whether its last look was answered.
      has_missed_poll: Whether a look at it got no answer since it last
        answered.
      is_reported_unreachable: Whether the service's lease may tell the next
        owner that its leases are no longer renewed.
      answers_commands: Whether its last order was answered.
      stop_unanswered_since: Monotonic time since which it has answered no
        order while a stop is asked of it; infinity if none is.
      renews_leases: Whether its leases may be renewed.
      is_registered: Whether it is registered now.
      runs_unknown_tasks: Whether it runs something that this owner does not
        know.
      has_stale_runs: Whether it runs something that should not be there.
      leases_expire_at: Monotonic time by which all leases there have run out;
        0 if none is known.
      quarantined_until: Monotonic time until which it gets no work.
      on_probation: Whether it gets one task to try it.
      slowdown: How long tasks take there, as a multiple of what was expected.
      change_count: Raised whenever its tasks or what is known of them change.
    """

    entry: WorkerEntry
    tasks: dict[TaskId, Task] = attrs.Factory(dict)
    has_answered: bool = False
    reachable: bool = False
    has_missed_poll: bool = False
    is_reported_unreachable: bool = False
    answers_commands: bool = True
    stop_unanswered_since: float = math.inf
    renews_leases: bool = True
    is_registered: bool = True
    runs_unknown_tasks: bool = False
    has_stale_runs: bool = False
    leases_expire_at: float = 0.0
    quarantined_until: float = 0.0
    on_probation: bool = False
    slowdown: float = 1.0
    change_count: int = 0
    _used: Room | None = None
    _left: list[EndedTask] = attrs.Factory(list)

    @property
    def id(self) -> str:
        """Its id."""
        return self.entry.id

    @property
    def rack(self) -> str:
        """Its rack: the last label."""
        return self.entry.labels[-1] if self.entry.labels else ''

    @property
    def used(self) -> Room:
        """What its tasks reserve, those being stopped included."""
        if self._used is None:
            # Summed anew each time: amounts added and taken away again for
            # hours would leave a rounding error behind.
            total = Room()
            for task in self.tasks.values():
                total = total.add(task.spec.reserved)
            self._used = total
        return self._used

    def add(self, task: Task) -> None:
        """Takes in a task that runs or will run here."""
        self.tasks[task.id] = task
        self._used = None
        self.change_count += 1

    def remove(self, task: Task) -> None:
        """Takes out a task that surely no longer runs here."""
        if self.tasks.get(task.id) is task:
            del self.tasks[task.id]
            self._used = None
            self.change_count += 1

    @property
    def is_being_tested(self) -> bool:
        """Whether a task was placed here since it was closed."""
        return any(
            task.placed_at >= self.quarantined_until
            for task in self.tasks.values()
        )

    def record_ended_task(self, left: EndedTask) -> None:
        """Remembers a filling task for the figures that still cover it."""
        self._left.append(left)

    def list_recently_ended(self, since: float) -> list[EndedTask]:
        """Lists the filling tasks that ended after a time."""
        self._left = [left for left in self._left if left.at > since]
        return self._left

    def fits(self, demand: Room) -> bool:
        """Tells whether a demand fits beside what is reserved."""
        return demand.fits(self.entry.capacity.subtract(self.used))
