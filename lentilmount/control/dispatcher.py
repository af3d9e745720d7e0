"""Placing of what is ready, in passes, and writing it before it is sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.advice import Advice
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.state_writer import StateWriter
from lentilmount.coordination.leases import Lease
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job, Task, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.takeover import UnrecordedStarts
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('owner')

PASS_SECONDS = 0.1
"""Between two passes where nothing has told that there is something to place:
time alone opens workers and makes gathered steps due."""

FIRST_POLL_TIMEOUT_SECONDS = 0.7
"""How long a new owner waits for the workers' first answers before it places
anything: the workers that answer at all do so in a few ms."""

FIRST_LOOK_PAUSE_SECONDS = 0.01

PLACE_PAUSE_SECONDS = 0.008
"""Lets several ends and arrivals be answered by one pass, of which each costs
a few ms while work waits."""

STARTS_PER_LINE = 100
"""Starts told in one log line. With a line for each start the budget of their
kind was used up at the rates of hundreds of workers."""

Start = tuple[str, int, str]
"""A task, its run and its worker, as they are logged."""


def log_starts(starts: list[Start]) -> None:
    """Logs what a pass has placed, in few lines."""
    for first in range(0, len(starts), STARTS_PER_LINE):
        told = starts[first : first + STARTS_PER_LINE]
        log.info('Starting.', extra={'starts': told})


@attrs.define(eq=False)
class Dispatcher:
    """Places the tasks of one owner.

    Attributes:
      cluster: What it knows.
      placer: Chooses workers.
      state_writer: Writes what was placed, and has it sent.
      advice: Knows which workers may run advised steps.
      unrecorded_starts: What the previous owner may have started unwritten.
      metrics: What the daemon counts.
      monotonic: The clock for durations.
      lease: The owner's lease.
      is_outage: Tells whether no daemon at all reaches the store.
      wake: Set when there may be something to place.
      stop: Stops a task, for a reason; it is placed again.
    """

    cluster: ClusterState
    placer: Placer
    state_writer: StateWriter
    advice: Advice
    unrecorded_starts: UnrecordedStarts
    metrics: ControlMetrics
    monotonic: Callable[[], float]
    lease: Lease
    is_outage: Callable[[], bool]
    wake: asyncio.Event
    stop: Callable[[Task, str], None]

    @property
    def may_start(self) -> bool:
        """Whether nobody else can own the service now."""
        valid = self.monotonic() < self.lease.valid_until
        return valid or self.is_outage()

    async def run(self) -> None:
        """Places for as long as it runs."""
        await self._wait_for_looks()
        while True:
            await wait_with_timeout(self.wake, PASS_SECONDS)
            self.wake.clear()
            if self.may_start:
                self._place()
            await asyncio.sleep(PLACE_PAUSE_SECONDS)

    async def _wait_for_looks(self) -> None:
        """Waits until the workers have told what they run.

        A task that the previous owner started in an outage stands in no row;
        started again before its worker has been heard, it would run twice.
        """
        end = self.monotonic() + FIRST_POLL_TIMEOUT_SECONDS
        while self.monotonic() < end:
            present = [
                w for w in self.cluster.workers.values() if w.is_registered
            ]
            if present and all(w.has_answered for w in present):
                return
            await asyncio.sleep(FIRST_LOOK_PAUSE_SECONDS)

    def _place(self) -> None:
        now = self.monotonic()
        started: set[Job] = set()
        allows = self.advice.allows
        if self.unrecorded_starts.may_exist(now):
            allows = self._allow_new
        starts: list[Start] = []
        for task, worker in self.placer.place(now, allows):
            self.state_writer.add_start(task)
            self.metrics.count_start()
            if task.job.first_placed_at == now:
                started.add(task.job)
            starts.append((str(task.id), task.run, worker.id))
        log_starts(starts)
        if not self.unrecorded_starts.may_exist(now) and not self.is_outage():
            for task in self.placer.choose_moves(now):
                self.stop(task, 'it serves better elsewhere')
        for job in started:
            self.metrics.observe_first_start(now - job.accepted_at)
        if self.is_outage():
            self.state_writer.send_unrecorded()

    def _allow_new(self, task: Task, worker: Worker) -> bool:
        if self.unrecorded_starts.affects(task):
            return False
        return self.advice.allows(task, worker)
