"""What a worker is told: starts, renewals, stops, and single orders."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilmount.batch.records import Task
from lentilmount.batch.reports import AttemptKey
from lentilmount.batch.states import STOPPING
from lentilmount.coordination.leases import CLOCK_DRIFT, Lease
from lentilmount.resources import Phase
from lentilmount.upstream.workers import (
    Action,
    Command,
    Outcome,
    SyncAnswer,
    SyncRequest,
)

LAST_CHECKPOINT_SHARE = 0.1
"""Share of the promise before its end in which tasks save a checkpoint."""


@attrs.frozen
class SessionOptions:
    """Times of the leases that workers hold tasks under.

    Attributes:
      sync_seconds: How often a worker is called when nothing happens.
      lease_seconds: How long a task runs on without renewal.
      start_seconds: How late a start may take effect.
      offline_renewal_seconds: How long leases are renewed without the table.
      usage_seconds: Between two readings of a worker's measurements.
    """

    sync_seconds: float = 2.0
    lease_seconds: float = 15.0
    start_seconds: float = 5.0
    offline_renewal_seconds: float = 600.0
    usage_seconds: float = 0.0


@attrs.define
class Anchor:
    """The worker's clock, as last read: at `local` it showed `remote`."""

    boot: str
    remote: float
    local: float


class WorkerCommands:
    """Builds the commands for one worker, and keeps what was sent.

    Args:
      lease: The slice's lease, under which tasks are renewed.
      options: Times of the leases of tasks.

    Attributes:
      clock_sample: The worker's clock, once it has answered.
      ending: Attempts that are being given up. They get no command any more:
        the transaction may apply at any later time, so a worker that comes
        back meanwhile must not begin or go on with them.
      refused: Attempts that the worker refused to start.
    """

    def __init__(self, lease: Lease, options: SessionOptions):
        self.clock_sample: Anchor | None = None
        self.ending: set[AttemptKey] = set()
        self.refused: set[AttemptKey] = set()
        self._lease = lease
        self._options = options
        self._commands: dict[tuple[Action, str, int], Command] = {}
        # When each start was last sent, while it may still take effect.
        self._starts: dict[AttemptKey, float] = {}
        self._saved: dict[AttemptKey, float] = {}

    def add(self, command: Command) -> None:
        """Keeps a command until it is answered; see `WorkerSession.send`."""
        key = (command.action, command.task, command.attempt)
        self._commands[key] = command

    def handle_answer(
        self, request: SyncRequest, answer: SyncAnswer, now: float
    ) -> None:
        """Takes in the worker's clock and the outcomes of commands."""
        self.clock_sample = Anchor(answer.boot, answer.clock, now)
        for command, outcome in zip(
            request.commands, answer.outcomes, strict=False
        ):
            self._take_outcome(command, outcome)

    def _take_outcome(self, command: Command, outcome: Outcome) -> None:
        attempt = (command.task, command.attempt)
        if command.action is Action.START and outcome is Outcome.REFUSED:
            self.refused.add(attempt)
        order = (command.action, *attempt)
        sent = self._commands.get(order)
        if sent is not None and sent.share == command.share:
            del self._commands[order]

    @property
    def is_empty(self) -> bool:
        """Whether nothing but renewals is to be told."""
        return not (self._commands or self.ending)

    def get_lease_end(self, now: float) -> float:
        """Returns when a renewed lease ends, on the worker's clock."""
        return self._read_clock(now) + self._options.lease_seconds

    def get_latest_expiry(self, now: float) -> float:
        """Returns when the leases given now will surely have ended."""
        age = now - self.clock_sample.local if self.clock_sample else 0.0
        lease = self._options.lease_seconds + age * CLOCK_DRIFT
        return now + lease * (1 + CLOCK_DRIFT)

    def make_commands(
        self, tasks: Iterable[Task], now: float
    ) -> tuple[Command, ...]:
        """Returns what to tell the worker of the tasks committed on it."""
        commands = [
            command
            for task in tasks
            for command in self._make_commands(task, now)
        ]
        # An order that is delayed on its way must not undo a later one.
        late = self._read_clock(now) + self._options.start_seconds
        commands += [
            attrs.evolve(order, not_after=order.not_after or late)
            for order in self._commands.values()
        ]
        return tuple(commands)

    def _read_clock(self, now: float) -> float:
        assert self.clock_sample is not None
        return self.clock_sample.remote + (now - self.clock_sample.local)

    def _make_commands(self, task: Task, now: float) -> list[Command]:
        assert self.clock_sample is not None
        key = (task.id, task.attempt)
        # An attempt belongs to one boot of its worker. After a restart the
        # table will be told that it is over; started on the new boot, it
        # would go on there after that.
        if key in self.ending or task.boot != self.clock_sample.boot:
            return []
        if task.phase in STOPPING:
            return [Command(Action.STOP, task.id, task.attempt)]
        if not self._may_renew(now):
            return []
        if task.phase is Phase.STARTING:
            return self._make_start(task, now)
        lease_until = self.get_lease_end(now)
        return [
            Command(
                self._choose_renewal(task, now),
                task.id,
                task.attempt,
                lease_until=lease_until,
                not_after=lease_until,
            )
        ]

    def _make_start(self, task: Task, now: float) -> list[Command]:
        key = (task.id, task.attempt)
        if key in self.refused:
            return []
        self._starts[key] = now
        clock = self._read_clock(now)
        return [
            Command(
                action=Action.START,
                task=task.id,
                attempt=task.attempt,
                lease_until=self.get_lease_end(now),
                not_after=clock + self._options.start_seconds,
                demand=task.demand,
                job_class=task.job_class,
                payload=task.payload,
                resume_from=task.checkpoint,
                save_as=task.save_as,
            )
        ]

    def _may_renew(self, now: float) -> bool:
        # A store outage must not disturb running work, but a new owner that
        # cannot reach the worker waits out just this promise. A start is
        # bound by it as well: a daemon that was paused, or cut off from the
        # table, would else start what was given up long ago.
        renewed_at = self._lease.renewed_at
        return now < renewed_at + self._options.offline_renewal_seconds

    def _choose_renewal(self, task: Task, now: float) -> Action:
        # Before the promise ends each task saves what it has, once, so that
        # it resumes from there when the table is back.
        renewed_at = self._lease.renewed_at
        key = (task.id, task.attempt)
        if (
            self.is_before_last_checkpoint(now)
            or task.is_service
            or self._saved.get(key) == renewed_at
        ):
            return Action.RENEW
        self._saved[key] = renewed_at
        return Action.CHECKPOINT

    def is_before_last_checkpoint(self, now: float) -> bool:
        """Tells whether the promise's end is too far off to save for it."""
        promise = self._options.offline_renewal_seconds * (
            1 - LAST_CHECKPOINT_SHARE
        )
        return now < self._lease.renewed_at + promise

    def may_still_start(self, key: AttemptKey, sent_at: float) -> bool:
        """Tells whether a copy of an attempt's start could take effect."""
        if key not in self._starts:
            return False
        limit = self._options.start_seconds * (1 + 2 * CLOCK_DRIFT)
        return sent_at <= self._starts[key] + limit

    def forget(self, held: set[AttemptKey], known: set[AttemptKey]) -> None:
        """Drops what was kept of attempts that are over."""
        self.ending &= held
        self.refused &= held
        for kept in (self._saved, self._starts):
            for key in [key for key in kept if key not in known]:
                del kept[key]
