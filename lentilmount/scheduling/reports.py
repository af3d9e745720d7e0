"""What workers say of themselves and of what they run."""

from __future__ import annotations

import enum

import attrs

from lentilmount.resources import Room


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class WorkerEntry:
    """A worker as it registered itself.

    Attributes:
      id: Its id.
      started_ms: Unix ms of the start of this incarnation.
      address: Host and port.
      service: The pool it belongs to.
      zone: Its availability zone.
      state: Whether it takes work.
      capacity: What it has.
      labels: Its kind and its rack.
      drain_seconds: Seconds it certainly stays while draining, or None.
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


@attrs.frozen
class RunReport:
    """A run that a worker lists as running.

    Attributes:
      task: Name of the task.
      run: Number of the run.
      checkpoint: Newest checkpoint, or ''.
      progress: Percent; a lasting task is at work at 100.
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
    """A run that a worker lists as ended."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """What a worker says it runs.

    Attributes:
      started_ms: Unix ms of the start of the incarnation that answered, or
        None.
      clock_ms: Its steady clock.
      running: What runs there.
      ended: Ends not yet acknowledged, the oldest first.
    """

    started_ms: int | None
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
