"""A model of one worker of the users' platform, and a record of what it ran.

It implements the part of the protocol on which it depends whether a task runs
twice: fencing, leases on a clock of its own, run numbers, and the numbered ends
of runs. A restart leaves it without any of that.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import attrs
import orjson

from stand_ins.limits import FULL_CORES

MAX_LEASE_MS = 6000
STOP_SECONDS = 0.3
"""Time that a run takes to end once it is stopped."""

CLOCK_RATE = 0.985
"""Rate of the workers' clocks, which may be 2% slow."""

POLL_PATH = '/hold'
START_PATH = '/run-start'
STOP_PATH = '/run-stop'

USED_MILLICORES = 2000
"""CPU usage of each run."""

PAYLOADS: dict[str, tuple[float, str]] = {
    'short': (0.4, 'done'),
    'longer': (3.0, 'done'),
    'failing': (0.3, 'failed'),
    'lasting': (math.inf, ''),
    'crashing': (0.4, 'done'),
    'crashing-at-once': (0.4, 'done'),
    'always-crashing': (0.4, 'done'),
    'always-crashing-at-once': (0.4, 'done'),
}
"""Duration of a task in seconds and how it ends, by its payload."""

CRASHING_PAYLOADS = {'crashing': 0.001, 'crashing-at-once': 0.0}
"""Time in seconds after its start at which a task of a payload crashes its
worker, at the first start; 0 for before the answer. It is short after that."""

ALWAYS_CRASHING_PAYLOADS = {
    'always-crashing': 0.001,
    'always-crashing-at-once': 0.0,
}
"""The same of tasks that crash the worker at every start."""


@attrs.define(eq=False)
class Execution:
    """A run that a worker has begun.

    Attributes:
      worker: Id of the worker.
      incarnation: Number of its incarnation.
      booted_at: Time in seconds at which that incarnation began.
      task: Name of the task.
      run: Number of the run.
      is_late: Whether its start was sent before that incarnation began.
      sent_at: Time in seconds at which its start was sent.
      started_at: Time in seconds at which it began.
      ended_at: Time in seconds at which it ended; infinity until then.
      kind: How it ended, 'crashed' if its worker did; '' until then.
      number: Number of its end; 0 until then.
      is_acknowledged: Whether a poll sent to that incarnation acknowledged its
        end before the worker's lease had expired.
      acknowledged_at: Time in seconds of that poll; infinity if there was none.
    """

    worker: str
    incarnation: int
    booted_at: float
    task: str
    run: int
    is_late: bool
    sent_at: float
    started_at: float
    ended_at: float = math.inf
    kind: str = ''
    number: int = 0
    is_acknowledged: bool = False
    acknowledged_at: float = math.inf


ChooseWork = Callable[[str, int, str], tuple[float, str]]
"""Returns what a run does, by task, run and payload."""


def choose_work(task: str, run: int, payload: str) -> tuple[float, str]:
    """Returns the duration of a run in seconds and how it ends."""
    return PAYLOADS[payload]


MeasureProgress = Callable[[Execution, float], int]
"""Returns the progress of a run in percent, by its seconds until now."""


def show_full_progress(execution: Execution, seconds: float) -> int:
    """Returns 100, as of a worker that does not measure progress."""
    return 100


def _ignore(execution: Execution) -> None:
    pass


@attrs.define(eq=False)
class ModelWorker:
    """A worker on the clock of the event loop, which may be virtual.

    Attributes:
      id: Its id.
      address: Its address, which it shares with no other worker.
      record: All runs of all workers, in the order of their starts.
      zone: Its availability zone.
      is_up: Whether it is running.
      incarnation: Number of the incarnation.
      booted_at: Time in seconds at which the incarnation began.
      token: Highest fencing token received.
      lease_until_ms: End of the leases on its clock.
      running: Current runs by task and number.
      ended: Runs whose end no poll has acknowledged, oldest first.
      highest: Highest run that ended or was stopped, by task.
      lapsed: Number of the newest end before a lease expired.
      clock_rate: Rate of its clock.
      handle_crash: Called instead of `crash` when a task crashes it.
      has_capacity: Whether it has capacity for further runs.
      capacities: Its cores, which it does not guard, and the times in seconds
        since which it has them, in the order of these times.
      ineffective_stops: Number of stops that it accepts next without effect on
        what runs.
      ineffective_at: Time in seconds at which it last accepted such a stop.
      stops: Time in seconds, task and run of each stop that it has accepted.
      choose_work: See `ChooseWork`.
      measure_progress: See `MeasureProgress`.
      on_change: Called when a run has started, ended or been acknowledged.
    """

    id: str
    address: str
    record: list[Execution]
    zone: str = 'north'
    is_up: bool = False
    incarnation: int = 0
    booted_at: float = 0.0
    token: int = 0
    lease_until_ms: int = 0
    running: dict[tuple[str, int], Execution] = attrs.Factory(dict)
    ended: list[Execution] = attrs.Factory(list)
    highest: dict[str, int] = attrs.Factory(dict)
    lapsed: int = 0
    clock_rate: float = CLOCK_RATE
    handle_crash: Callable[[], None] | None = None
    has_capacity: bool = True
    capacities: list[tuple[float, float]] = attrs.Factory(
        lambda: [(-math.inf, FULL_CORES)]
    )
    ineffective_stops: int = 0
    ineffective_at: float = -math.inf
    stops: list[tuple[float, str, int]] = attrs.Factory(list)
    choose_work: ChooseWork = choose_work
    measure_progress: MeasureProgress = show_full_progress
    on_change: Callable[[Execution], None] = _ignore
    _numbers: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def clock_ms(self) -> int:
        """Its clock, which starts anew with each incarnation."""
        return int(1000 * self.clock_rate * (_now() - self.booted_at)) + 1

    def boot(self) -> None:
        """Starts a new incarnation, which knows nothing."""
        self.is_up = True
        self.incarnation += 1
        self.booted_at = _now()
        self.token = self.lease_until_ms = self._numbers = self.lapsed = 0
        self.ended = []
        self.highest = {}

    def crash(self) -> None:
        """Ends the incarnation and all that runs there."""
        self.is_up = False
        for execution in self.running.values():
            execution.ended_at, execution.kind = _now(), 'crashed'
        self.running = {}
        self._notify()

    def resize(self, cores: float) -> None:
        """Changes the number of its cores, which its registration shows."""
        self.capacities.append((_now(), cores))

    def describe(self, service: str) -> bytes:
        """Returns its registration."""
        document = {
            'service': service,
            'address': self.address,
            'zone': self.zone,
            'state': 'ready',
            'born': int(1000 * self.booted_at),
            'capacity': {
                'cpu': int(1000 * self.capacities[-1][1]),
                'memMb': 32000,
                'gpu': 0,
            },
            'labels': ['a', 'r1'],
        }
        return orjson.dumps(document)

    def receive(
        self,
        path: str,
        body: dict[str, Any],
        is_late: bool,
        sent_at: float | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Carries out a call.

        Args:
          path: Path of the call.
          body: Its body.
          is_late: Whether it was sent before this incarnation began.
          sent_at: Time in seconds at which it was sent; None for now.

        Returns:
          The status and the body of the answer.
        """
        self._expire()
        if body['fencingToken'] < self.token:
            return self._reject('fence')
        self.token = body['fencingToken']
        if path == START_PATH:
            sent_at = _now() if sent_at is None else sent_at
            reason = self._start(body, is_late, sent_at)
            return self._reject(reason) if reason else (200, self._answer())
        if path == STOP_PATH:
            self._stop(body['task'], body['run'])
        elif path == POLL_PATH:
            self._renew(body.get('deadlineMs', 0))
            self._acknowledge(body['lastSeen'], is_late)
        return 200, self._answer()

    def _answer(self) -> dict[str, Any]:
        return {'clockMs': self.clock_ms}

    def _reject(self, reason: str) -> tuple[int, dict[str, Any]]:
        return 409, {**self._answer(), 'reason': reason}

    def _start(
        self, body: dict[str, Any], is_late: bool, sent_at: float
    ) -> str:
        """Starts a run; returns why it is rejected, or ''."""
        task, run, deadline_ms = body['task'], body['run'], body['deadlineMs']
        if (task, run) in self.running:
            return ''
        if deadline_ms < self.clock_ms:
            return 'late'
        self._renew(deadline_ms)
        if run <= self.highest.get(task, 0):
            return 'old'
        if not self.has_capacity:
            return 'room'
        is_first = all(e.task != task for e in self.record)
        execution = Execution(
            self.id,
            self.incarnation,
            self.booted_at,
            task,
            run,
            is_late,
            sent_at,
            _now(),
        )
        self.record.append(execution)
        self.running[task, run] = execution
        self.on_change(execution)
        seconds, kind = self.choose_work(task, run, body['spec'])
        if kind:
            self._call_later(seconds, self._end, execution, kind)
        crashing = dict(ALWAYS_CRASHING_PAYLOADS)
        if is_first:
            crashing |= CRASHING_PAYLOADS
        if body['spec'] in crashing:
            self._crash_later(crashing[body['spec']])
        return ''

    def _crash_later(self, seconds: float) -> None:
        crash = self.handle_crash or self.crash
        if seconds:
            self._call_later(seconds, crash)
        else:
            crash()

    def _stop(self, task: str, run: int) -> None:
        """Stops the runs of a task up to a number, also those still to come."""
        self.stops.append((_now(), task, run))
        self.highest[task] = max(run, self.highest.get(task, 0))
        if self.ineffective_stops:
            self.ineffective_stops -= 1
            self.ineffective_at = _now()
            return
        for execution in self.running.values():
            if execution.task == task and execution.run <= run:
                self._call_later(STOP_SECONDS, self._end, execution, 'stopped')

    def _end(self, execution: Execution, kind: str) -> None:
        if kind != 'lapsed':
            # A process that was suspended may not have noticed the expiry.
            self._expire()
        if self.running.pop((execution.task, execution.run), None) is None:
            return
        execution.ended_at, execution.kind = _now(), kind
        self._numbers += 1
        execution.number = self._numbers
        self.ended.append(execution)
        highest = self.highest.get(execution.task, 0)
        self.highest[execution.task] = max(execution.run, highest)
        self.on_change(execution)
        self._notify()

    def _renew(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + MAX_LEASE_MS)
        if until_ms <= self.lease_until_ms:
            return
        self.lease_until_ms = until_ms
        seconds = (until_ms - self.clock_ms) / 1000 / self.clock_rate
        self._call_later(seconds + 0.002, self._expire)

    def _expire(self) -> None:
        if self.clock_ms > self.lease_until_ms:
            self.lapsed = self._numbers
            for execution in list(self.running.values()):
                self._end(execution, 'lapsed')

    def _acknowledge(self, seen: int, is_late: bool) -> None:
        for execution in self.ended:
            is_in_time = self.lapsed < execution.number <= seen
            if is_in_time and not is_late and not execution.is_acknowledged:
                execution.is_acknowledged = True
                execution.acknowledged_at = _now()
                self.on_change(execution)
        self.ended = [e for e in self.ended if e.number > seen]

    async def report(self, wait_ms: int) -> dict[str, Any] | None:
        """Waits for an end; returns the lists of a poll, None after a crash."""
        incarnation = self.incarnation
        end = _now() + wait_ms / 1000
        while not self.ended and self.is_up and _now() < end:
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                break
        if not self.is_up or self.incarnation != incarnation:
            return None
        return {
            **self._answer(),
            'born': int(1000 * self.booted_at),
            'running': [self._list_run(e) for e in self.running.values()],
            'ended': [
                [e.number, e.task, e.run, e.kind, ''] for e in self.ended
            ],
        }

    def _list_run(self, execution: Execution) -> list[Any]:
        seconds = _now() - execution.started_at
        progress = self.measure_progress(execution, seconds)
        return [execution.task, execution.run, '', progress, USED_MILLICORES]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _call_later(self, seconds: float, call: Any, *arguments: Any) -> None:
        """Calls a function later, unless this incarnation has ended by then."""
        incarnation = self.incarnation

        def check() -> None:
            if self.is_up and self.incarnation == incarnation:
                call(*arguments)

        asyncio.get_running_loop().call_later(seconds, check)


def _now() -> float:
    return asyncio.get_running_loop().time()
