"""Client and messages of the API of the platform's workers.

One call, `sync`, sends any number of commands to a worker and returns its
state, so that a daemon needs one call per worker and interval. Each request
carries the owner's epoch, which the worker compares with the highest one it
has seen, and times on the worker's own monotonic clock, so that a command
delayed by the network or by a paused daemon has no late effect.
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
    """Action of a command on an attempt."""

    START = 'start'
    RENEW = 'renew'
    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'
    FORGET = 'forget'


class Outcome(enum.Enum):
    """Result of a command, as reported by the worker."""

    DONE = 'done'
    LATE = 'late'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class AttemptState(enum.Enum):
    """State of an attempt on its worker."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


@attrs.frozen
class Command:
    """A command on one attempt.

    Attributes:
      action: Action to perform.
      task: Id of the task, as kind/team/name/index.
      attempt: Number of the attempt.
      lease_until: Worker's monotonic time at which the lease expires unless
        renewed, in seconds.
      not_after: Worker's monotonic time after which the command is ignored, in
        seconds.
      demand: For start: resources that the attempt may use.
      job_class: For start: class of the job.
      payload: For start: what to run.
      resume_from: For start: object name of a checkpoint, or ''.
      save_as: For start: prefix of the object names of its output and
        checkpoints.
      share: For throttle: share of the processors that it may use.
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
    """A request to one worker.

    Attributes:
      scope: Name of the slice whose owner sends the request.
      epoch: Epoch of the owner's lease.
      boot: Boot of the worker that the commands are meant for; '' for any.
      commands: Commands, in order.
      seen: Version of the attempts that the owner last received; 0 for none.
      seen_saves: Value of `SyncAnswer.saves` that the owner last received.
      renew_until: Worker's monotonic time in seconds until which the leases of
        all running attempts are renewed, if `seen` is the current version; 0
        for no renewal. It has no effect after that time.
      with_usage: Whether to return measurements.
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
        """Whether the request may extend a lease on the worker."""
        return bool(self.commands or self.renew_until)


@attrs.frozen
class AttemptReport:
    """A worker's report on one attempt.

    Attributes:
      task: Id of the task.
      attempt: Number of the attempt.
      state: State of the attempt.
      endpoint: IP address and port that serve requests, or ''.
      output: Object name of the output, or ''.
      checkpoint: Object name of the last complete checkpoint, or ''.
      message: Why the attempt failed.
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
    """Resource usage of an attempt, measured some time ago.

    Attributes:
      task: Id of the task.
      attempt: Number of the attempt.
      age: Seconds since the measurement.
      cores: Processors used.
      memory_mb: Memory used, in MiB.
      p99_ms: For services: 99th percentile of response times; 0 if unknown.
      load: For services: share of the slots in use.
      progress: For jobs: work done per second, as a share of the rate without
        neighbours.
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
    """Response of a worker, with its complete state.

    Attributes:
      boot: Id of this boot of the worker.
      clock: Monotonic time of the worker, in seconds.
      capacity: Total resources of the worker.
      outcomes: Result of each command, in order.
      attempts: All attempts on the worker; none if the request had the current
        `version` and `saves`.
      usage: Measurements, which lag.
      leaving: Whether the worker is shutting down.
      version: Increases with each change of the attempts other than a new
        checkpoint; above 0.
      saves: Increases with each new checkpoint.
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
    """A worker did not respond; its commands may have been carried out."""

    kind = ErrorKind.UPSTREAM_FAILED


class SyncClient(Protocol):
    """The platform's workers."""

    async def sync(self, address: str, request: SyncRequest) -> SyncAnswer:
        """Sends commands to a worker and returns its state.

        Args:
          address: IP address and port of the worker's API.
          request: The request.

        Raises:
          WorkerError: The worker did not respond; the commands may have been
            carried out.
        """


class HttpSyncClient:
    """The `SyncClient` protocol over HTTP."""

    def __init__(self, timeout: float = 1.0, clients: int = 64):
        self._caller = HttpClient('http://', timeout, clients)

    async def sync(self, address: str, request: SyncRequest) -> SyncAnswer:
        """See `SyncClient`."""
        response = await self._caller.call(
            'POST', address + SYNC_PATH, encode(request)
        )
        if response.status != 200:
            raise WorkerError(f'{address}: HTTP status {response.status}')
        try:
            return decode(response.body, SyncAnswer)
        except LentilmountError as error:
            raise WorkerError(f'{address}: {error.detail}') from error

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
