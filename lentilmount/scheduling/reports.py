"""Registrations of workers and their reports on running and ended tasks."""

from __future__ import annotations

import enum
import math

import attrs

from lentilmount.resources import Room


class WorkerState(enum.Enum):
    """State that a worker registers for itself."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class WorkerEntry:
    """Registration of a worker.

    Attributes:
      id: Id of the worker.
      started_ms: Unix time in ms at which this incarnation started.
      address: Host and port.
      service: Service whose pool the worker belongs to.
      zone: Availability zone.
      state: Whether the worker accepts new tasks.
      capacity: Resources of the worker.
      labels: Kind and rack of the worker.
      drain_seconds: Minimum time in seconds that a draining worker remains, or
        None.
      usable_until: Monotonic time until which tasks may be started by it, as
        the worker may have shrunk since it was written.
      is_cordoned: Whether operators let no new work be sent to its zone.
    """

    id: str
    started_ms: int
    address: str
    service: str
    zone: str
    state: WorkerState
    capacity: Room
    labels: tuple[str, ...] = ()
    drain_seconds: float | None = None
    usable_until: float = math.inf
    is_cordoned: bool = False


@attrs.frozen
class RunReport:
    """A run that a worker reports as running.

    Attributes:
      task: Formatted id of the task.
      run: Run number.
      checkpoint: Newest checkpoint, or ''.
      progress: Progress in percent. A long-running task is working at 100.
      usage: See `Task`.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    usage: float | None


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@attrs.frozen
class EndReport:
    """A run that a worker reports as ended.

    Attributes:
      number: Number of the end, by which it is acknowledged.
      task: Formatted id of the task.
      run: Run number.
      kind: How the run ended.
      checkpoint: Newest checkpoint, or ''.
    """

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """Answer of a worker to a poll: its running and ended runs.

    Attributes:
      started_ms: Unix time in ms at which the answering incarnation started, or
        None.
      clock_ms: Monotonic clock of the worker in ms.
      running: Runs in progress.
      ended: Run ends that are not acknowledged yet, oldest first.
      has_all_ends: Whether there are certainly no more of these ends.
    """

    started_ms: int | None
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    has_all_ends: bool = True


@attrs.frozen
class StaleRun:
    """A run on a worker that must be stopped if it is or gets there.

    Attributes:
      worker: Id of the worker.
      task: Formatted id of the task.
      run: Run number.
    """

    worker: str
    task: str
    run: int
