"""Attempts on a stand-in worker, and the worker's options."""

from __future__ import annotations

import collections
from typing import Any

import attrs

from lentilmount.resources import Room
from lentilmount.upstream.workers import AttemptState, Command

TICK_SECONDS = 0.05
CHECKPOINT_SECONDS = 0.5
RESTART_SECONDS = 5.0
MAX_LATENCIES = 200


@attrs.frozen
class Run:
    """When an attempt ran, as recorded outside the system under test.

    Attributes:
      worker: Name of the worker.
      task: Id of the task.
      attempt: Number of the attempt.
      began: Start, in seconds on one clock for all workers.
      ended: End on the same clock; 0 if it still runs.
      state: Value of the attempt's state.
    """

    worker: str
    task: str
    attempt: int
    began: float
    ended: float
    state: str


@attrs.define
class Attempt:
    """An attempt on a worker.

    Attributes:
      command: The start command.
      lease_until: End of the lease, in seconds on the worker's clock.
      began: Monotonic time in seconds of the start.
      state: Current state.
      share: Share of the demanded processors that it may use.
      done: Work done, in seconds of running alone and unthrottled.
      checkpoint: Object name of the last complete checkpoint.
      output: Object name of the output.
      message: Reason of a failure.
      ended: Monotonic time in seconds of the end; 0 while it runs.
      stopping: Whether a stop command was received.
      loading: Whether it waits for the checkpoint that it resumes from.
      saving: Whether its work is done and the output is being written.
      in_use: Number of request slots in use.
      latencies: Recent response times, in milliseconds.
      work: The decoded payload of the task.
    """

    command: Command
    lease_until: float
    began: float
    state: AttemptState = AttemptState.RUNNING
    share: float = 1.0
    done: float = 0.0
    checkpoint: str = ''
    output: str = ''
    message: str = ''
    ended: float = 0.0
    stopping: bool = False
    loading: bool = False
    saving: bool = False
    in_use: int = 0
    latencies: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_LATENCIES)
    )
    work: dict[str, Any] = attrs.Factory(dict)

    @property
    def is_service(self) -> bool:
        """Whether the attempt serves requests."""
        return self.command.task.startswith('Service/')


@attrs.define
class WorkerOptions:
    """Options of a stand-in worker.

    Attributes:
      name: Name of the worker.
      zone: Availability zone.
      rack: Rack.
      capacity: Capacity of the worker.
      usage_lag: Seconds by which usage measurements lag.
      interference: Slowdown factor of a service or job class, by the class
        that runs on the same worker.
      clock_rate: Rate of the worker's clock relative to real time.
      tick_seconds: Period of the task updates.
      checkpoint_seconds: Seconds of work between two checkpoints of a job.
      restart_seconds: Time from a crash to the worker's next boot.
    """

    name: str
    zone: str
    rack: str
    capacity: Room
    usage_lag: float = 2.0
    interference: dict[str, dict[str, float]] = attrs.Factory(dict)
    clock_rate: float = 1.0
    tick_seconds: float = TICK_SECONDS
    checkpoint_seconds: float = CHECKPOINT_SECONDS
    restart_seconds: float = RESTART_SECONDS
