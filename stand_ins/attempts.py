"""Attempts on a stand-in worker, and what the worker is like."""

from __future__ import annotations

import collections
from typing import Any

import attrs

from lentilmount.resources import Room
from lentilmount.upstream.workers import AttemptState, Command

TICK_SECONDS = 0.05
CHECKPOINT_SECONDS = 0.5
LATENCIES_KEPT = 200


@attrs.frozen
class Run:
    """When an attempt truly ran, on one clock outside the system."""

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
      command: The start that made it.
      lease_until: When it ends unless renewed, on the worker's clock.
      began: When it started.
      state: How it stands.
      share: Share of the processors that it may use.
      done: Seconds of work done, as if running alone.
      checkpoint: Name of the last whole checkpoint.
      output: Name of its output.
      ended: When it ended, or 0.
      stopping: Whether it was told to stop.
      loading: Whether it waits for the checkpoint that it resumes from.
      saving: Whether it is done and writes its output.
      in_use: Slots in use.
      latencies: Recent times of answers, in milliseconds.
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
        lambda: collections.deque(maxlen=LATENCIES_KEPT)
    )
    work: dict[str, Any] = attrs.Factory(dict)

    @property
    def is_service(self) -> bool:
        """Whether it serves requests."""
        return self.command.task.startswith('Service/')


@attrs.define
class WorkerOptions:
    """What a stand-in worker is like.

    Attributes:
      name: Its name.
      zone: Its availability zone.
      rack: Its rack.
      capacity: What it has.
      usage_lag: Seconds by which measurements are late.
      interference: Factor on (service or job) class by the class beside it.
      clock_rate: Rate of its clock, as a share of true time.
      tick_seconds: How often its tasks make progress.
      checkpoint_seconds: Work done between two checkpoints of a job.
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
