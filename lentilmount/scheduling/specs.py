"""Jobs as clients hand them in, and the names of their tasks."""

from __future__ import annotations

import functools

import attrs

from lentilmount.resources import Room


@attrs.frozen
class StepSpec:
    """One step of a job: tasks that are alike.

    Attributes:
      count: How many tasks.
      demand: What one task takes; its cores are not reserved if it fills.
      estimated_seconds: Declared duration of a task; rough.
      after: Earlier steps whose tasks must all be done first.
      checkpointing: Whether a stopped task can resume.
      gang: Whether the tasks only work together.
      same_rack: Whether a gang is slow on more than one rack.
      label: Label that the worker must have, or ''.
      rack: Rack where the data is, or ''.
      most_per_worker: Most tasks of one occurrence on a worker; 0 for any.
      duplicates: Whether copies may run in parallel.
      lasting: Whether the tasks run until the job is cancelled.
      image: What the tasks run; tasks of an image behave alike.
      target_ms: Bound on the tail of a serving task's answers; 0 for none.
      fills: Whether the tasks use what the others leave of the processors.
      may_miss: Tasks that may be away at once through our own orders, or
        None where nothing was said.
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
        """What a task takes of its worker's capacity."""
        # Kept: every comparison of a task with a worker needs it, and made
        # anew it took an eighth of the processor of an owner of 245 workers.
        if self.fills:
            return attrs.evolve(self.demand, cores=0.0)
        return self.demand


@attrs.frozen
class QueuePolicy:
    """How a queue's jobs are treated, as configured at acceptance.

    Attributes:
      name: The queue.
      service: The service whose workers run the tasks.
      priority: 0 comes first.
      max_attempts: Failed runs of a task after which the job has failed.
      stretch: Allowed multiple of the longest chain of work.
      target_seconds: Allowed time on top of that.
      advised: Whether only the advice service knows the workers that may run
        a step.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_seconds: float = 0.0
    advised: bool = False


@attrs.frozen
class JobSpec:
    """A job as accepted.

    Attributes:
      id: Chosen by the client.
      payload: What each task is given.
      steps: Its steps.
      queue: How it is treated.
      accepted: Unix seconds at acceptance.
      occurrences: How often the steps run; 0 for a job without times.
      first: Unix seconds of the first occurrence.
      interval: Seconds between occurrences.
    """

    id: str
    payload: str
    steps: tuple[StepSpec, ...]
    queue: QueuePolicy
    accepted: float = 0.0
    occurrences: int = 0
    first: float = 0.0
    interval: float = 0.0

    def get_due(self, occurrence: int) -> float:
        """Returns the Unix second at which an occurrence may start."""
        if not self.occurrences:
            return 0.0
        return self.first + occurrence * self.interval


@attrs.frozen(order=True)
class TaskId:
    """Names a task: job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Formats the name as workers know it."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'

    @classmethod
    def parse(cls, text: str) -> TaskId | None:
        """Reads a name; None if it is none of ours."""
        parts = text.split('.')
        if len(parts) != 4 or not all(p.isdigit() for p in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
