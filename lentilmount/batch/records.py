"""The rows of a slice: its tasks and the ledgers of its workers."""

from __future__ import annotations

import attrs

from lentilmount.codec import structure
from lentilmount.coordination.table import Key, Row
from lentilmount.resources import Demand, Phase, Room, Urgency


@attrs.frozen
class Task:
    """One task: a job's only one, or a replica of a service.

    Attributes:
      id: kind/team/name/index.
      demand: What the ledger holds for it on its worker.
      declared: What its owner asked for, where `demand` was learned.
      zone: Availability zone that it has to run in, or ''.
      share: Share of its processors that the attempt was begun with, so as
        to spare the services beside it; `demand` is what is left.
      job_class: Tasks that behave alike.
      urgency: Urgent tasks go first.
      payload: Given to the worker as it is.
      expected_seconds: Declared run time.
      accepted: Wall time when it was accepted, for order only.
      phase: Where it is in its life.
      reason: Why, in a few words.
      attempt: Number of the current or last attempt; 0 before the first.
      worker: Where the current attempt is committed, or ''.
      boot: The worker's boot that the attempt belongs to.
      endpoint: Where it serves requests, or ''.
      checkpoint: Where the next attempt resumes from, or ''.
      output: The committed output, or ''.
      evictions: How often it was evicted.
      failed_on: Workers on which it failed.
      cancel: Whether cancelling it was accepted.
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
        """The team that owns it."""
        return self.id.split('/')[1]

    @property
    def resource(self) -> str:
        """Path of the resource it belongs to, as kind/team/name."""
        return self.id.rpartition('/')[0]

    @property
    def is_service(self) -> bool:
        """Whether it is a replica of a service."""
        return self.id.startswith('Service/')

    @property
    def commitment(self) -> str:
        """Name of its entry in the worker's ledger."""
        return f'{self.id}#{self.attempt}'

    @property
    def save_as(self) -> str:
        """Prefix of the object names that only this attempt writes."""
        return f'{self.id}/{self.attempt}'


@attrs.frozen
class WorkerRecord:
    """A worker's row: what it has and what is committed on it.

    Attributes:
      name: The worker's name.
      address: IP number and port of its API.
      zone: Its availability zone.
      rack: Its rack.
      boot: Its last known boot.
      capacity: What it has in all.
      commitments: What each attempt holds, by `Task.commitment`.
      cordoned: Whether operators keep new work away.
      leaving: Whether it is going away.
      quarantined: Why it gets no new work, or ''.
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
        """What is not committed."""
        free = self.capacity
        for demand in self.commitments.values():
            free = free.subtract(demand)
        return free

    @property
    def is_open(self) -> bool:
        """Whether it may get new work."""
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
    """Key of a slice's lease."""
    return Key('slice', slice_name)


def make_task_key(slice_name: str, task: str) -> Key:
    """Key of a task that is not over."""
    return Key(f'task/{slice_name}', task)


def make_done_key(slice_name: str, task: str) -> Key:
    """Key of a task that is over."""
    return Key(f'done/{slice_name}', task)


def make_worker_key(slice_name: str, worker: str) -> Key:
    """Key of a worker's ledger."""
    return Key(f'worker/{slice_name}', worker)


def make_inbox_partition(slice_name: str) -> str:
    """Partition of what operators ask of a slice."""
    return f'inbox/{slice_name}'


def make_unreadable_key(slice_name: str, order: str) -> Key:
    """Key of an inbox row that could not be read, kept for operators."""
    return Key(f'aside/{slice_name}', order)


def make_change_key(log: str, sequence: int) -> Key:
    """Key of an entry of a change log."""
    return Key(f'change/{log}', f'{sequence:012d}')


def read_changes(row: Row) -> list[tuple[str, Task]]:
    """Reads an entry of a slice's change log: events with tasks, in order."""
    return [
        (change['event'], structure(change['task'], Task))
        for change in row.body['changes']
    ]
