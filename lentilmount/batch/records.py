"""Rows of a slice: its tasks and its workers with their commitments."""

from __future__ import annotations

import attrs

from lentilmount.codec import structure
from lentilmount.coordination.table import Key, Row
from lentilmount.resources import Demand, Phase, Room, Urgency

CRASH_PREFIX = 'crash/'
"""Prefix of the entries of `Task.failed_on` for workers that a task crashed.

A field of their own would make the rows unreadable for an older daemon.
"""


@attrs.frozen
class Task:
    """A task: the single task of a job, or one replica of a service.

    Attributes:
      id: Unique id, as kind/team/name/index.
      demand: Resources committed for it on its worker.
      declared: Declared demand, if `demand` was learned, else None.
      zone: Required availability zone, or ''.
      share: Share of its cores that the attempt was started with, to limit
        interference with services; `demand` already includes it.
      job_class: Name of a class of tasks that behave alike.
      urgency: Urgent tasks are placed first.
      payload: Passed to the worker unchanged.
      expected_seconds: Declared run time.
      accepted: Wall time of acceptance, used for ordering only.
      phase: Current phase.
      reason: Reason for the phase, for operators.
      attempt: Number of the current or last attempt; 0 before the first.
      worker: Worker on which the current attempt is committed, or ''.
      boot: Boot of the worker that the attempt belongs to.
      endpoint: Address where it serves requests, or ''.
      checkpoint: Name of the checkpoint to resume from, or ''.
      output: Name of the committed output, or ''.
      evictions: Number of evictions.
      failed_on: Names of the workers on which it failed, and with
        `CRASH_PREFIX` of those that crashed at its start.
      cancel: Whether a cancellation was accepted.
    """

    id: str
    demand: Demand
    job_class: str = 'default'
    urgency: Urgency = Urgency.BATCH
    payload: str = ''
    expected_seconds: float = 60.0
    accepted: float = 0.0
    phase: Phase = Phase.PENDING
    reason: str = ''
    attempt: int = 0
    worker: str = ''
    boot: str = ''
    endpoint: str = ''
    checkpoint: str = ''
    output: str = ''
    evictions: int = 0
    failed_on: tuple[str, ...] = ()
    cancel: bool = False
    declared: Demand | None = None
    zone: str = ''
    share: float = 1.0

    @property
    def team(self) -> str:
        """Name of the owning team."""
        return self.id.split('/')[1]

    @property
    def resource(self) -> str:
        """Path of its job or service, as kind/team/name."""
        return self.id.rpartition('/')[0]

    @property
    def is_service(self) -> bool:
        """Whether it is a replica of a service."""
        return self.id.startswith('Service/')

    @property
    def failures(self) -> tuple[str, ...]:
        """Names of the workers on which it failed."""
        return tuple(
            entry
            for entry in self.failed_on
            if not entry.startswith(CRASH_PREFIX)
        )

    @property
    def crashes(self) -> tuple[str, ...]:
        """Names of the workers that crashed at its last starts, in a row."""
        return tuple(
            entry.removeprefix(CRASH_PREFIX)
            for entry in self.failed_on
            if entry.startswith(CRASH_PREFIX)
        )

    @property
    def avoided_workers(self) -> frozenset[str]:
        """Names of the workers on which it failed or which it crashed."""
        return frozenset((*self.failures, *self.crashes))

    def add_crash(self, worker: str) -> Task:
        """Returns the task with one more worker that crashed at its start."""
        entry = f'{CRASH_PREFIX}{worker}'
        return attrs.evolve(self, failed_on=(*self.failed_on, entry))

    def clear_crashes(self) -> Task:
        """Returns the task without workers that crashed at its start."""
        return attrs.evolve(self, failed_on=self.failures)

    @property
    def commitment(self) -> str:
        """Key of its entry in the worker's commitments."""
        return f'{self.id}#{self.attempt}'

    @property
    def save_as(self) -> str:
        """Prefix of the object names that only this attempt writes."""
        return f'{self.id}/{self.attempt}'


@attrs.frozen
class WorkerRecord:
    """A worker's row: its capacity and the resources committed on it.

    Attributes:
      name: Name of the worker.
      address: IP address and port of its API.
      zone: Availability zone.
      rack: Rack.
      boot: Last known boot, or '' before its first answer.
      capacity: Total resources.
      commitments: Resources committed to each attempt, by `Task.commitment`.
      cordoned: Whether operators excluded it from placement.
      leaving: Whether it is about to be removed.
      quarantined: Reason for its quarantine, or ''.
    """

    name: str
    address: str
    zone: str
    rack: str
    boot: str = ''
    capacity: Room = Room()
    commitments: dict[str, Demand] = attrs.Factory(dict)
    cordoned: bool = False
    leaving: bool = False
    quarantined: str = ''

    @property
    def free(self) -> Room:
        """Resources that are not committed."""
        free = self.capacity
        for demand in self.commitments.values():
            free = free.subtract(demand)
        return free

    @property
    def is_open(self) -> bool:
        """Whether new tasks may be placed on it."""
        closed = self.cordoned or self.leaving or self.quarantined
        return bool(self.boot) and not closed

    def commit(self, task: Task) -> WorkerRecord:
        """Returns the record with the task's commitment."""
        held = {**self.commitments, task.commitment: task.demand}
        return attrs.evolve(self, commitments=held)

    def release(self, task: Task) -> WorkerRecord:
        """Returns the record without the task's commitment."""
        held = dict(self.commitments)
        held.pop(task.commitment, None)
        return attrs.evolve(self, commitments=held)


def make_slice_key(slice_name: str) -> Key:
    """Returns the key of a slice's lease."""
    return Key('slice', slice_name)


def make_task_key(slice_name: str, task: str) -> Key:
    """Returns the key of a task that has not ended."""
    return Key(f'task/{slice_name}', task)


def make_done_key(slice_name: str, task: str) -> Key:
    """Returns the key of a task that has ended."""
    return Key(f'done/{slice_name}', task)


def make_worker_key(slice_name: str, worker: str) -> Key:
    """Returns the key of a worker's record."""
    return Key(f'worker/{slice_name}', worker)


def make_inbox_partition(slice_name: str) -> str:
    """Returns the partition of requests to a slice's owner."""
    return f'inbox/{slice_name}'


def make_unreadable_key(slice_name: str, order: str) -> Key:
    """Returns the key for an unreadable inbox row, kept for operators."""
    return Key(f'aside/{slice_name}', order)


def make_change_key(log: str, sequence: int) -> Key:
    """Returns the key of a change log entry."""
    return Key(f'change/{log}', f'{sequence:012d}')


def read_changes(row: Row) -> list[tuple[str, Task]]:
    """Returns the changes in a slice's log entry: event kinds with tasks."""
    return [
        (change['event'], structure(change['task'], Task))
        for change in row.body['changes']
    ]
