"""Builds the commands for a worker: starts, renewals, stops and others."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.reports import AttemptKey
from lentilmount.batch.states import STOPPING
from lentilmount.coordination.leases import CLOCK_DRIFT, Lease
from lentilmount.resources import Phase, Room
from lentilmount.upstream.workers import (
    Action,
    Command,
    Outcome,
    SyncAnswer,
    SyncRequest,
)

LAST_CHECKPOINT_SHARE = 0.1
"""Last share of the offline renewal time, in which tasks save a checkpoint."""

MAX_ANSWER_AGE_SECONDS = 0.5
"""Maximum age of a worker's last answer when a start is sent.

The worker may have shrunk or crashed since an older one.
"""


@attrs.frozen
class SessionOptions:
    """Intervals and lease durations of the sessions with workers.

    Attributes:
      sync_seconds: Interval of calls to an idle worker.
      lease_seconds: Duration of a task lease.
      start_seconds: Time after which a delayed start command has no effect.
      offline_renewal_seconds: Time that task leases are renewed while the
        slice's own lease cannot be renewed in the table.
      usage_seconds: Interval between two readings of a worker's measurements.
    """

    sync_seconds: float = 2.0
    lease_seconds: float = 15.0
    start_seconds: float = 5.0
    offline_renewal_seconds: float = 600.0
    usage_seconds: float = 0.0


@attrs.define
class ClockSample:
    """A reading of a worker's clock.

    Attributes:
      boot: The worker's boot.
      remote: Time on the worker's clock in seconds.
      local: Monotonic time of the reading.
    """

    boot: str
    remote: float
    local: float


class WorkerCommands:
    """Builds the commands for one worker and tracks unanswered ones.

    Args:
      lease: The slice's lease.
      options: Intervals and lease durations.

    Attributes:
      clock_sample: Last reading of the worker's clock, or None before its first
        answer.
      ending: Attempts that are being given up. No more commands are sent for
        them: the transaction may be applied at any later time, so a worker
        that becomes reachable meanwhile must not start or continue them.
      refused: Attempts that the worker refused to start.
      withheld: Attempts that are not started, since the worker has shrunk.
      has_deferred: Whether starts waited for the last answer, and are sent with
        the next call.
    """

    def __init__(self, lease: Lease, options: SessionOptions):
        self.clock_sample: ClockSample | None = None
        self.ending: set[AttemptKey] = set()
        self.refused: set[AttemptKey] = set()
        self.withheld: set[AttemptKey] = set()
        self.has_deferred = False
        self._defers = False
        self._lease = lease
        self._options = options
        self._capacity = Room()
        self._commands: dict[tuple[Action, str, int], Command] = {}
        # Monotonic time when each start was last sent.
        self._starts: dict[AttemptKey, float] = {}
        self._last_checkpoints: dict[AttemptKey, float] = {}

    def add(self, command: Command) -> None:
        """Adds a command, sent until answered; see `WorkerSession.send`."""
        key = (command.action, command.task, command.attempt)
        self._commands[key] = command

    def handle_answer(
        self, request: SyncRequest, answer: SyncAnswer, now: float
    ) -> None:
        """Processes the worker's clock and the outcomes of commands.

        Args:
          request: The request that was answered.
          answer: The worker's answer.
          now: Monotonic time of the answer.
        """
        self.clock_sample = ClockSample(answer.boot, answer.clock, now)
        self._capacity = answer.capacity
        self.has_deferred, self._defers = self._defers, False
        for command, outcome in zip(
            request.commands, answer.outcomes, strict=False
        ):
            self._handle_outcome(command, outcome)

    def _handle_outcome(self, command: Command, outcome: Outcome) -> None:
        attempt = (command.task, command.attempt)
        if command.action is Action.START and outcome is Outcome.REFUSED:
            self.refused.add(attempt)
        key = (command.action, *attempt)
        sent = self._commands.get(key)
        if sent is not None and sent.share == command.share:
            del self._commands[key]

    @property
    def is_empty(self) -> bool:
        """Whether no commands other than renewals are pending."""
        return not (self._commands or self.ending)

    def get_lease_end(self, now: float) -> float:
        """Returns the end of a lease renewed now, on the worker's clock."""
        return self._read_clock(now) + self._options.lease_seconds

    def get_latest_expiry(self, now: float) -> float:
        """Returns the monotonic time by which leases granted now have ended."""
        age = now - self.clock_sample.local if self.clock_sample else 0.0
        lease = self._options.lease_seconds + age * CLOCK_DRIFT
        return now + lease * (1 + CLOCK_DRIFT)

    def make_commands(
        self, record: WorkerRecord, tasks: Sequence[Task], now: float
    ) -> tuple[Command, ...]:
        """Returns the commands to send now.

        Args:
          record: The worker's row.
          tasks: The tasks committed on the worker.
          now: Monotonic time.
        """
        self.withheld = self._find_withheld(record, tasks)
        commands = [
            command
            for task in tasks
            for command in self._make_commands(task, now)
        ]
        # A delayed command must not override a later one.
        latest_start = self._read_clock(now) + self._options.start_seconds
        commands += [
            attrs.evolve(pending, not_after=pending.not_after or latest_start)
            for pending in self._commands.values()
        ]
        return tuple(commands)

    def _find_withheld(
        self, record: WorkerRecord, tasks: Sequence[Task]
    ) -> set[AttemptKey]:
        # A task may be placed while the worker's answer shows a smaller
        # capacity, which its row gets only in the same transaction or later.
        # The other attempts count until their end, also while they stop.
        starting = [task for task in tasks if task.phase is Phase.STARTING]
        free = attrs.evolve(record, capacity=self._capacity).free
        for task in starting:
            free = free.add(task.demand)
        # Starts that were sent may have had an effect, so they go first.
        starting.sort(
            key=lambda task: (task.id, task.attempt) not in self._starts
        )
        withheld = set()
        for task in starting:
            key = (task.id, task.attempt)
            if not task.demand.fits(free):
                withheld.add(key)
            if key in self._starts or key not in withheld:
                free = free.subtract(task.demand)
        return withheld

    def _read_clock(self, now: float) -> float:
        assert self.clock_sample is not None
        return self.clock_sample.remote + (now - self.clock_sample.local)

    def _make_commands(self, task: Task, now: float) -> list[Command]:
        assert self.clock_sample is not None
        key = (task.id, task.attempt)
        # An attempt belongs to one boot of its worker. After a restart of the
        # worker the attempt is recorded as lost; started on the new boot, it
        # would keep running after that.
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
        if key in self.refused or key in self.withheld:
            return []
        if self._is_answer_old(now):
            self._defers = True
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

    def _is_answer_old(self, now: float) -> bool:
        # Starts are deferred only once, or a slow daemon would send none.
        assert self.clock_sample is not None
        age = now - self.clock_sample.local
        return not self.has_deferred and age > MAX_ANSWER_AGE_SECONDS

    def _may_renew(self, now: float) -> bool:
        # A table outage must not interrupt running tasks, so leases are
        # renewed without it, but only for a limited time: a new owner waits
        # that long for a worker that it cannot reach. Starts have the same
        # limit, since a daemon that was paused or cut off from the table would
        # otherwise start attempts given up long ago.
        renewed_at = self._lease.renewed_at
        return now < renewed_at + self._options.offline_renewal_seconds

    def _choose_renewal(self, task: Task, now: float) -> Action:
        # Shortly before offline renewal ends each task saves one checkpoint, to
        # resume from it when the table is available again.
        renewed_at = self._lease.renewed_at
        key = (task.id, task.attempt)
        if (
            self.is_before_last_checkpoint(now)
            or task.is_service
            or self._last_checkpoints.get(key) == renewed_at
        ):
            return Action.RENEW
        self._last_checkpoints[key] = renewed_at
        return Action.CHECKPOINT

    def is_before_last_checkpoint(self, now: float) -> bool:
        """Returns whether it is too early to save the last checkpoints."""
        early_seconds = self._options.offline_renewal_seconds * (
            1 - LAST_CHECKPOINT_SHARE
        )
        return now < self._lease.renewed_at + early_seconds

    def may_still_start(self, key: AttemptKey, sent_at: float) -> bool:
        """Returns whether a delayed copy of a start could still take effect.

        Args:
          key: The attempt.
          sent_at: Monotonic time when the answered request was sent.
        """
        if key not in self._starts:
            return False
        limit = self._options.start_seconds * (1 + 2 * CLOCK_DRIFT)
        return sent_at <= self._starts[key] + limit

    def forget(
        self, committed: set[AttemptKey], known: set[AttemptKey]
    ) -> None:
        """Discards the state of attempts that have ended.

        Args:
          committed: Attempts committed on the worker.
          known: Attempts committed on the worker or reported by it.
        """
        self.ending &= committed
        self.refused &= committed
        for kept in (self._last_checkpoints, self._starts):
            for key in [key for key in kept if key not in known]:
                del kept[key]
