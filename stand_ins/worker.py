"""An in-memory worker that runs tasks under leases.

Many of them fit into one process, since tasks only sleep: a service answers
after a time drawn from a log-normal distribution, a job counts progress up
to its length. Tasks on the same worker slow each other down by the factors
of an interference table.
"""

from __future__ import annotations

import asyncio
import collections
import json
import math
import random
import time
import uuid
from collections.abc import Callable, Iterator

import attrs

from lentilmount.codec import encode
from lentilmount.resources import Demand
from lentilmount.upstream.object_store import ObjectStore
from lentilmount.upstream.workers import (
    Action,
    AttemptReport,
    AttemptState,
    Command,
    Outcome,
    SyncAnswer,
    SyncRequest,
    Usage,
    WorkerError,
)
from stand_ins.attempts import Attempt, Run, WorkerOptions
from stand_ins.faults import Faults

OBJECT_RETRY_SECONDS = 1.0
SERVICE_SPREAD = 0.25
"""Sigma of the log-normal distribution of a service's response time."""


class Worker:
    """One worker: attempts, leases, measurements, and a record of runs.

    Attributes:
      options: The worker's options.
      paused: Whether the worker's process is paused.
      faults: Faults that tests inject.
      leaving: Whether the worker announces that it is leaving.
      endpoint: Address at which its services answer.
      runs: Runs that have ended.
      served: Number of runs of each request, by request id.
      boot: Boot id, new at each restart.
      attempts: Attempts, by task and attempt number.
      overcommits: Attempts whose start exceeded the worker's capacity.
    """

    def __init__(
        self,
        options: WorkerOptions,
        objects: ObjectStore,
        seed: int,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        self.options = options
        self.paused = False
        self._monotonic = monotonic
        self.faults = Faults()
        self.leaving = False
        self.endpoint = ''
        self.runs: list[Run] = []
        self.overcommits: list[tuple[str, int]] = []
        self.served: collections.Counter[str] = collections.Counter()
        self._objects = objects
        self._random = random.Random(seed)
        self._measurements: collections.deque[tuple[float, Usage]] = (
            collections.deque(maxlen=4096)
        )
        self._next_measurement = 0.0
        self.restart()

    def restart(self) -> None:
        """Restarts with a new boot id and without attempts."""
        for attempt in getattr(self, 'attempts', {}).values():
            if attempt.state is AttemptState.RUNNING:
                self._end(attempt, AttemptState.LAPSED)
        self.boot = uuid.uuid4().hex[:12]
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self._epochs: dict[str, int] = {}
        self._reports: tuple[AttemptReport, ...] = ()
        self._version = 1
        self._saves = 0
        self._started_at = self._monotonic()

    def crash(self) -> None:
        """Ends all attempts at once; the next boot follows some time later."""
        self.restart()
        self.paused = True
        asyncio.get_running_loop().call_later(
            self.options.restart_seconds, self._recover
        )

    def _recover(self) -> None:
        self._started_at = self._monotonic()
        self.paused = False

    def read_clock(self) -> float:
        """Returns the seconds since boot on the worker's own clock."""
        return (self._monotonic() - self._started_at) * self.options.clock_rate

    def sync(self, request: SyncRequest) -> SyncAnswer:
        """Carries out the commands and reports the state.

        Commands of an epoch below the highest seen are fenced. Leases are
        renewed only if the caller has seen the current state.

        Raises:
          WorkerError: A start crashed the worker.
        """
        self.tick()
        highest = self._epochs.get(request.scope, 0)
        self._epochs[request.scope] = max(highest, request.epoch)
        outcomes = tuple(self._execute_all(request))
        reports = tuple(self._report(a) for a in self.attempts.values())
        self._count_changes(reports)
        seen = request.boot == self.boot and request.seen == self._version
        if seen:
            self._renew_all(request)
        seen = seen and request.seen_saves == self._saves
        return SyncAnswer(
            boot=self.boot,
            clock=self.read_clock(),
            capacity=self.options.capacity,
            outcomes=outcomes,
            attempts=() if seen else reports,
            usage=self._get_usage() if request.with_usage else (),
            leaving=self.leaving,
            version=self._version,
            saves=self._saves,
        )

    def _count_changes(self, reports: tuple[AttemptReport, ...]) -> None:
        if reports == self._reports:
            return
        before = [attrs.evolve(r, checkpoint='') for r in self._reports]
        now = [attrs.evolve(r, checkpoint='') for r in reports]
        self._version += before != now
        self._saves += 1
        self._reports = reports

    def _renew_all(self, request: SyncRequest) -> None:
        fenced = request.epoch < self._epochs[request.scope]
        if fenced or self.read_clock() > request.renew_until:
            return
        for attempt in self.attempts.values():
            if attempt.state is AttemptState.RUNNING:
                until = max(attempt.lease_until, request.renew_until)
                attempt.lease_until = until

    def _execute_all(self, request: SyncRequest) -> Iterator[Outcome]:
        boot = self.boot
        for command in request.commands:
            yield self._execute(request, command)
            if self.boot != boot:
                raise WorkerError('the worker crashed')

    def _execute(self, request: SyncRequest, command: Command) -> Outcome:
        if request.epoch < self._epochs[request.scope]:
            return Outcome.FENCED
        if request.boot and request.boot != self.boot:
            return Outcome.FENCED
        if command.not_after and self.read_clock() > command.not_after:
            return Outcome.LATE
        handlers = {
            Action.START: self._start,
            Action.RENEW: self._renew,
            Action.THROTTLE: self._throttle,
            Action.CHECKPOINT: self._checkpoint,
            Action.STOP: self._stop,
            Action.FORGET: self._forget,
        }
        return handlers[command.action](command)

    def _start(self, command: Command) -> Outcome:
        key = (command.task, command.attempt)
        if key in self.attempts:
            return Outcome.DONE
        if self.faults.fail_starts:
            attempt = Attempt(command, 0.0, self._monotonic())
            self.attempts[key] = attempt
            self._end(attempt, AttemptState.FAILED, 'the worker is broken')
            return Outcome.DONE
        attempt = Attempt(command, command.lease_until, self._monotonic())
        attempt.work = json.loads(command.payload) if command.payload else {}
        self.attempts[key] = attempt
        if not self._fits():
            self.overcommits.append(key)
        if attempt.work.get('crash_after') == 0.0:
            self.crash()
            return Outcome.DONE
        if command.resume_from:
            attempt.loading = True
            asyncio.ensure_future(self._load(attempt))
        return Outcome.DONE

    def _fits(self) -> bool:
        demands = [
            attempt.command.demand
            for attempt in self.attempts.values()
            if attempt.state is AttemptState.RUNNING and attempt.command.demand
        ]
        total = Demand(
            sum(demand.cores for demand in demands),
            sum(demand.memory_mb for demand in demands),
            sum(demand.accelerators for demand in demands),
        )
        return total.fits(self.options.capacity)

    async def _load(self, attempt: Attempt) -> None:
        # Without its checkpoint the attempt would repeat finished work, so
        # it waits for the object store, under its lease.
        while attempt.state is AttemptState.RUNNING:
            try:
                data = await self._objects.get(attempt.command.resume_from)
            except Exception:
                await asyncio.sleep(OBJECT_RETRY_SECONDS)
                continue
            if attempt.state is not AttemptState.RUNNING:
                return
            if data is None:
                name = attempt.command.resume_from
                message = f'checkpoint {name} is missing'
                self._end(attempt, AttemptState.FAILED, message)
                return
            attempt.done += json.loads(data)['done']
            attempt.checkpoint = attempt.command.resume_from
            attempt.loading = False
            return

    def _get(self, command: Command) -> Attempt | None:
        return self.attempts.get((command.task, command.attempt))

    def _renew(self, command: Command) -> Outcome:
        attempt = self._get(command)
        if attempt is None or attempt.state is not AttemptState.RUNNING:
            return Outcome.UNKNOWN
        attempt.lease_until = max(attempt.lease_until, command.lease_until)
        return Outcome.DONE

    def _checkpoint(self, command: Command) -> Outcome:
        outcome = self._renew(command)
        attempt = self._get(command)
        if outcome is Outcome.DONE and attempt is not None:
            asyncio.ensure_future(self._save(attempt))
        return outcome

    def _throttle(self, command: Command) -> Outcome:
        attempt = self._get(command)
        if attempt is None:
            return Outcome.UNKNOWN
        attempt.share = command.share
        return Outcome.DONE

    def _stop(self, command: Command) -> Outcome:
        attempt = self._get(command)
        if attempt is None:
            return Outcome.UNKNOWN
        if attempt.state is AttemptState.RUNNING and not attempt.stopping:
            attempt.stopping = True
            asyncio.ensure_future(self._save_and_stop(attempt))
        return Outcome.DONE

    async def _save_and_stop(self, attempt: Attempt) -> None:
        await self._save(attempt)
        if attempt.state is AttemptState.RUNNING:
            self._end(attempt, AttemptState.STOPPED)

    def _forget(self, command: Command) -> Outcome:
        attempt = self._get(command)
        if attempt is not None and attempt.state is not AttemptState.RUNNING:
            del self.attempts[command.task, command.attempt]
        return Outcome.DONE

    def _end(
        self,
        attempt: Attempt,
        state: AttemptState,
        message: str = '',
        at: float = math.inf,
    ) -> None:
        attempt.state = state
        attempt.message = message
        attempt.ended = min(at, self._monotonic())
        self.runs.append(
            Run(
                self.options.name,
                attempt.command.task,
                attempt.command.attempt,
                attempt.began,
                attempt.ended,
                state.value,
            )
        )

    def list_runs(self) -> list[Run]:
        """Returns every run, including those that have not ended."""
        running = [
            Run(
                self.options.name,
                attempt.command.task,
                attempt.command.attempt,
                attempt.began,
                0.0,
                attempt.state.value,
            )
            for attempt in self.attempts.values()
            if attempt.state is AttemptState.RUNNING
        ]
        return self.runs + running

    async def run(self) -> None:
        """Updates the tasks periodically, except while paused."""
        last = self._monotonic()
        while True:
            await asyncio.sleep(self.options.tick_seconds)
            now = self._monotonic()
            if self.paused:
                last = now
                continue
            self.tick()
            self._progress(now - last)
            if now >= self._next_measurement:
                self._next_measurement = now + 1.0
                self._measure(now)
            last = now

    def tick(self) -> None:
        """Ends the attempts whose lease has expired."""
        clock = self.read_clock()
        for attempt in self.attempts.values():
            running = attempt.state is AttemptState.RUNNING
            if running and clock > attempt.lease_until:
                # A paused worker runs nothing, so the attempt ended with its
                # lease even if that is noticed later.
                at = (
                    self._started_at
                    + attempt.lease_until / self.options.clock_rate
                )
                self._end(attempt, AttemptState.LAPSED, at=at)

    def _progress(self, seconds: float) -> None:
        for attempt in list(self.attempts.values()):
            is_blocked = attempt.stopping or attempt.loading or attempt.saving
            if attempt.is_service or is_blocked or self.faults.hold:
                continue
            if attempt.state is not AttemptState.RUNNING:
                continue
            speed = attempt.share / self.get_slowdown(attempt)
            before = attempt.done
            saving = self.options.checkpoint_seconds
            attempt.done += seconds * speed
            if attempt.done >= attempt.work.get('crash_after', math.inf):
                self.crash()
                return
            if attempt.work.get('fail'):
                self._end(attempt, AttemptState.FAILED, 'told to fail')
            elif attempt.done >= attempt.work.get('seconds', 1.0):
                self._finish(attempt)
            elif int(before / saving) != int(attempt.done / saving):
                asyncio.ensure_future(self._save(attempt))

    def _finish(self, attempt: Attempt) -> None:
        attempt.saving = True
        asyncio.ensure_future(self._save_output(attempt))

    async def _save_output(self, attempt: Attempt) -> None:
        # The attempt finishes only once its output is stored; otherwise the
        # owner would commit the name of an object that may never exist.
        name = attempt.command.save_as + '/output'
        while attempt.state is AttemptState.RUNNING:
            try:
                await self._objects.put(name, encode({'done': attempt.done}))
            except Exception:
                await asyncio.sleep(OBJECT_RETRY_SECONDS)
                continue
            if attempt.state is AttemptState.RUNNING:
                attempt.output = name
                self._end(attempt, AttemptState.FINISHED)

    async def _save(self, attempt: Attempt) -> None:
        if attempt.is_service or attempt.loading:
            return
        name = f'{attempt.command.save_as}/checkpoint-{attempt.done:.3f}'
        try:
            await self._objects.put(name, encode({'done': attempt.done}))
        except Exception:
            return
        attempt.checkpoint = name

    def get_slowdown(self, attempt: Attempt) -> float:
        """Returns the slowdown factor caused by tasks on the same worker."""
        table = self.options.interference.get(attempt.command.job_class, {})
        factor = 1.0
        for other in self.attempts.values():
            if other is attempt or other.state is not AttemptState.RUNNING:
                continue
            factor *= (
                1 + (table.get(other.command.job_class, 1.0) - 1) * other.share
            )
        return factor

    def _measure(self, now: float) -> None:
        for attempt in self.attempts.values():
            if attempt.state is not AttemptState.RUNNING:
                continue
            demand = attempt.command.demand or Demand(1.0, 1)
            times = sorted(attempt.latencies)
            slots = attempt.work.get('slots', 8)
            usage = Usage(
                task=attempt.command.task,
                attempt=attempt.command.attempt,
                age=0.0,
                cores=attempt.work.get('cores', demand.cores) * attempt.share,
                memory_mb=attempt.work.get('memory_mb', demand.memory_mb),
                p99_ms=times[int(len(times) * 0.99)] if times else 0.0,
                load=attempt.in_use / slots,
                progress=attempt.share / self.get_slowdown(attempt),
            )
            self._measurements.append((now, usage))

    def _get_usage(self) -> tuple[Usage, ...]:
        now = self._monotonic()
        newest: dict[str, Usage] = {}
        for at, usage in self._measurements:
            age = now - at
            if age >= self.options.usage_lag:
                newest[usage.task] = attrs.evolve(usage, age=age)
        held = {task for task, _ in self.attempts}
        return tuple(u for u in newest.values() if u.task in held)

    def _report(self, attempt: Attempt) -> AttemptReport:
        return AttemptReport(
            task=attempt.command.task,
            attempt=attempt.command.attempt,
            state=attempt.state,
            endpoint=self.endpoint if attempt.is_service else '',
            output=attempt.output,
            checkpoint=attempt.checkpoint,
            message=attempt.message,
        )

    def find_service(self, name: str) -> Attempt | None:
        """Returns the running attempt of a service, or None.

        Args:
          name: The service, as team/name.
        """
        prefix = f'Service/{name}/'
        for attempt in self.attempts.values():
            running = attempt.state is AttemptState.RUNNING
            if running and attempt.command.task.startswith(prefix):
                return attempt
        return None

    async def serve(self, attempt: Attempt, request: str) -> float:
        """Runs one request once a slot is free.

        Returns:
          The response time in milliseconds, waiting included.
        """
        began = self._monotonic()
        slots = attempt.work.get('slots', 8)
        while attempt.in_use >= slots:
            await asyncio.sleep(0.001)
        attempt.in_use += 1
        try:
            self.served[request] += 1
            base = attempt.work.get('service_ms', 10.0) / 1000
            factor = self._random.lognormvariate(0, SERVICE_SPREAD)
            factor *= self.get_slowdown(attempt) * self.faults.slowdown
            await asyncio.sleep(base * factor)
        finally:
            attempt.in_use -= 1
        elapsed_ms = (self._monotonic() - began) * 1000
        attempt.latencies.append(elapsed_ms)
        return elapsed_ms
