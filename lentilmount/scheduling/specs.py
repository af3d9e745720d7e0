"""Specifications of jobs as accepted from clients, and identifiers of tasks."""

from __future__ import annotations

import functools

import attrs

from lentilmount.resources import Room


@attrs.frozen
class StepSpec:
    """One step of a job: a number of identical tasks.

    The field names are part of the stored job row. `lasting` marks long-running
    tasks, `fills` marks best-effort tasks.

    Attributes:
      count: Number of tasks.
      demand: Resources requested by one task. The cores of a best-effort task
        are not reserved.
      estimated_seconds: Declared run time of a task, a rough estimate.
      after: Indexes of earlier steps whose tasks must all be done first.
      checkpointing: Whether a stopped task can resume from a checkpoint.
      gang: Whether the tasks must run at the same time.
      same_rack: Whether all tasks of a gang should run on one rack; they are
        slow across racks.
      label: Label that the worker must have, or ''.
      rack: Rack that stores the input data, or ''.
      most_per_worker: Maximum number of tasks of one occurrence on a worker; 0
        means no limit.
      duplicates: Whether copies of a task may run in parallel.
      lasting: Whether the tasks are long-running: they run until the job is
        cancelled.
      image: Image that the tasks run. Tasks of one image are expected to behave
        alike.
      target_ms: Tail latency target of a serving task in milliseconds; 0 if it
        is not a serving task.
      fills: Whether the tasks are best-effort: they use processor time that
        other tasks leave over.
      may_miss: Number of tasks that the scheduler may interrupt at once, or
        None if not specified.
    """

    count: int
    demand: Room
    estimated_seconds: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    rack: str = ''
    most_per_worker: int = 0
    duplicates: bool = False
    lasting: bool = False
    image: str = ''
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int | None = None

    @functools.cached_property
    def reserved(self) -> Room:
        """Resources that a task reserves on its worker."""
        # Cached because every comparison of a task with a worker needs it:
        # computing it each time took 1/8 of an owner's CPU at 245 workers.
        if self.fills:
            return attrs.evolve(self.demand, cores=0.0)
        return self.demand


@attrs.frozen
class QueuePolicy:
    """Policy of a queue, as configured when the job was accepted.

    Attributes:
      name: Name of the queue.
      service: Service whose workers run the tasks.
      priority: Priority of the queue; 0 is the highest.
      max_attempts: Number of failed runs of a task after which the job fails.
      stretch: Allowed completion time as a multiple of the critical path.
      target_seconds: Allowed completion time on top of that.
      advised: Whether the advice service decides which workers may run a step.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_seconds: float = 0.0
    advised: bool = False

    def get_objective(self, critical_path: float) -> float:
        """Returns the time within which a job should complete.

        Args:
          critical_path: Length of its longest path of steps in seconds.
        """
        return self.stretch * critical_path + self.target_seconds


@attrs.frozen
class JobSpec:
    """A job as accepted.

    Attributes:
      id: Id chosen by the client.
      payload: Payload passed to each task.
      steps: Steps of the job.
      queue: Policy of the queue that the job was submitted to.
      accepted: Unix time of acceptance in seconds.
      occurrences: How often the steps run; 0 for a job without a schedule.
      first: Unix time of the first occurrence in seconds.
      interval: Time between occurrences in seconds.
    """

    id: str
    payload: str
    steps: tuple[StepSpec, ...]
    queue: QueuePolicy
    accepted: float = 0.0
    occurrences: int = 0
    first: float = 0.0
    interval: float = 0.0

    @functools.cached_property
    def first_steps(self) -> tuple[int, ...]:
        """Indexes of the steps that depend on no other."""
        return tuple(n for n, step in enumerate(self.steps) if not step.after)

    @property
    def core_seconds(self) -> float:
        """Declared work of all its occurrences; 0 if no run time is."""
        once = sum(
            step.count * step.demand.cores * step.estimated_seconds
            for step in self.steps
        )
        return once * max(1, self.occurrences)

    def get_due(self, occurrence: int) -> float:
        """Returns the Unix time in seconds at which an occurrence may start."""
        if not self.occurrences:
            return 0.0
        return self.first + occurrence * self.interval


def measure_critical_paths(spec: JobSpec) -> tuple[float, ...]:
    """Returns for each step the length in seconds of its critical path.

    That is the longest path of dependent steps that starts with the step.
    """
    path_seconds = [step.estimated_seconds for step in spec.steps]
    for number in reversed(range(len(spec.steps))):
        step = spec.steps[number]
        for predecessor in step.after:
            seconds = (
                spec.steps[predecessor].estimated_seconds + path_seconds[number]
            )
            path_seconds[predecessor] = max(path_seconds[predecessor], seconds)
    return tuple(path_seconds)


@attrs.frozen(order=True)
class TaskId:
    """Identifies a task by job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Formats the id in the form used by workers."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'

    @classmethod
    def parse(cls, text: str) -> TaskId | None:
        """Parses a formatted id. Returns None if the text is not a task id."""
        parts = text.split('.')
        if len(parts) != 4 or not all(p.isdigit() for p in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
