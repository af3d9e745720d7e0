"""What the platform's workers are asked, and what they answer.

One call, `sync`, carries any number of operations to a worker and brings
back its state, so that a daemon pays one call per worker and interval.
Every operation carries the owner's epoch, which the worker compares with the
highest it has seen, and times on the worker's own monotonic clock, so that
one delayed in the network or by a paused daemon has no late effect.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from lentilmount.codec import decode, encode
from lentilmount.errors import ErrorKind, LentilmountError
from lentilmount.resources import Demand, Room
from lentilmount.upstream.http import HttpClient

SYNC_PATH = '/v1/sync'


class Action(enum.Enum):
    """What a worker can be asked to do with an attempt."""

    START = 'start'
    RENEW = 'renew'
    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'
    FORGET = 'forget'


class Outcome(enum.Enum):
    """What a worker answers to one operation."""

    DONE = 'done'
    LATE = 'late'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class AttemptState(enum.Enum):
    """How an attempt stands on its worker."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


@attrs.frozen
class Command:
    """One operation on one attempt.

    Attributes:
      action: What to do.
      task: The task's id, as kind/team/name/index.
      attempt: The attempt's number.
      lease_until: Worker's monotonic time when the lease ends unless renewed.
      not_after: Worker's monotonic time after which this is to be ignored.
      demand: For start: what the attempt may take.
      job_class: For start: what kind of work it is.
      payload: For start: what to run.
      resume_from: For start: object name of a checkpoint, or ''.
      save_as: For start: prefix of the names of its output and checkpoints.
      share: For throttle: share of the processors it may use.
    """

    action: Action
    task: str
    attempt: int
    lease_until: float = 0.0
    not_after: float = 0.0
    demand: Demand | None = None
    job_class: str = ''
    payload: str = ''
    resume_from: str = ''
    save_as: str = ''
    share: float = 1.0


@attrs.frozen
class SyncRequest:
    """Operations for one worker.

    Attributes:
      scope: The slice whose owner is asking.
      epoch: The owner's epoch.
      boot: The boot of the worker that the operations are meant for, or ''.
      commands: What to do, in order.
      seen: Version of the attempts that the owner has; 0 for none.
      seen_saves: Number of checkpoints that the owner has heard of.
      renew_until: Worker's monotonic time up to which every running attempt
        is renewed, if `seen` is still its version; 0 for none. It has no
        effect once that time is past.
      with_usage: Whether measurements are wanted.
    """

    scope: str
    epoch: int
    boot: str = ''
    commands: tuple[Command, ...] = ()
    seen: int = 0
    seen_saves: int = 0
    renew_until: float = 0.0
    with_usage: bool = True

    @property
    def extends_leases(self) -> bool:
        """Whether the worker may hold a lease longer for this."""
        return bool(self.commands or self.renew_until)


@attrs.frozen
class AttemptReport:
    """An attempt as the worker sees it.

    Attributes:
      task: The task's id.
      attempt: The attempt's number.
      state: How it stands.
      endpoint: IP number and port that serves requests, or ''.
      output: Object name of its output, or ''.
      checkpoint: Object name of its last whole checkpoint, or ''.
      message: Why it failed.
    """

    task: str
    attempt: int
    state: AttemptState
    endpoint: str = ''
    output: str = ''
    checkpoint: str = ''
    message: str = ''


@attrs.frozen
class Usage:
    """What an attempt used, as measured some time ago.

    Attributes:
      task: The task's id.
      attempt: The attempt's number.
      age: Seconds since it was measured.
      cores: Processors used.
      memory_mb: Memory used in MiB.
      p99_ms: For services: 99th percentile of its answers; 0 if unknown.
      load: For services: share of its slots in use.
      progress: For jobs: work done per second, as a share of running alone.
    """

    task: str
    attempt: int
    age: float
    cores: float = 0.0
    memory_mb: int = 0
    p99_ms: float = 0.0
    load: float = 0.0
    progress: float = 1.0


@attrs.frozen
class SyncAnswer:
    """A worker's whole state.

    Attributes:
      boot: Id of this boot of the worker.
      clock: The worker's monotonic time.
      capacity: What it has in all.
      outcomes: One for each command, in order.
      attempts: Every attempt it holds; none if `version` and `saves` were
        both seen.
      usage: Lagging measurements.
      leaving: Whether it is going away.
      version: Raised with each change of the attempts but for their
        checkpoints; above 0.
      saves: Raised with each checkpoint.
    """

    boot: str
    clock: float
    capacity: Room
    outcomes: tuple[Outcome, ...] = ()
    attempts: tuple[AttemptReport, ...] = ()
    usage: tuple[Usage, ...] = ()
    leaving: bool = False
    version: int = 0
    saves: int = 0


class WorkerError(LentilmountError):
    """A worker that did not answer; its operations may have taken effect."""

    kind = ErrorKind.UPSTREAM_FAILED


class SyncClient(Protocol):
    """The platform's workers."""

    async def sync(self, address: str, request: SyncRequest) -> SyncAnswer:
        """Sends operations to a worker and reads its state.

        Raises:
          WorkerError: No answer; the operations may have taken effect.
        """


class HttpSyncClient:
    """The `SyncClient` protocol over HTTP."""

    def __init__(self, timeout: float = 1.0, clients: int = 64):
        self._caller = HttpClient('http://', timeout, clients)

    async def sync(self, address: str, request: SyncRequest) -> SyncAnswer:
        """See `SyncClient`."""
        answer = await self._caller.call(
            'POST', address + SYNC_PATH, encode(request)
        )
        if answer.status != 200:
            raise WorkerError(f'{address}: HTTP status {answer.status}')
        try:
            return decode(answer.body, SyncAnswer)
        except LentilmountError as error:
            raise WorkerError(f'{address}: {error.detail}') from error

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
