"""Tickets for queues whose policy allows only some workers to run a step.

Load pattern: a call takes tens of ms and some more for each worker named, one
call at a time for each daemon, and 32 waiting in all. So few workers are
asked for, ahead of need, and what is known is not asked again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import logbook

from lentilmount.platform.advice import AdviceClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.ranking import sort_steps
from lentilmount.scheduling.views import get_step_key, is_open

log = logbook.Logger('advice')

ASKED_WORKERS = 12
"""Workers named in one call: some may run the step, and the call stays
short."""

PAUSE_SECONDS = 0.02
"""Between two looks for a step that needs advice."""

RETRY_SECONDS = 0.25
"""After a call that was refused or not answered."""

VALID_MARGIN_SECONDS = 0.3
"""Of a ticket's time that is left for the start: the write before it and the
call."""

Step = tuple[str, int, int]


@attrs.define
class _Known:
    """What is known of one step.

    Attributes:
      tickets: Ticket, incarnation and end of its time, by worker.
      barred: Workers that may not run the step; that does not change.
    """

    tickets: dict[str, tuple[str, int, float]] = attrs.Factory(dict)
    barred: set[str] = attrs.Factory(set)


@attrs.define(eq=False)
class Advice:
    """Keeps tickets for the steps that need them.

    Attributes:
      cluster: Where the tasks are.
      calls: Asks the service; None where there is none.
      monotonic: The clock for durations.
      wake: Called when there are new tickets.
    """

    cluster: ClusterState
    calls: AdviceClient | None
    monotonic: Callable[[], float]
    wake: Callable[[], None]
    _known: dict[Step, _Known] = attrs.Factory(dict)

    def allows(self, task: Task, worker: Worker) -> bool:
        """Tells whether a task may be started on a worker."""
        if not task.job.spec.queue.advised:
            return True
        return bool(self.get_ticket(task, worker))

    def get_ticket(self, task: Task, worker: Worker) -> str:
        """Returns a ticket that can still be used, or ''."""
        known = self._known.get(get_step_key(task))
        if known is None:
            return ''
        ticket, started_ms, until = known.tickets.get(worker.id, ('', 0, 0.0))
        if started_ms != worker.entry.started_ms or self.monotonic() > until:
            return ''
        return ticket

    async def run(self) -> None:
        """Asks for what is needed, for as long as it runs."""
        while True:
            task = self._find_step()
            pause = PAUSE_SECONDS
            if task is not None and not await self._ask(task):
                pause = RETRY_SECONDS
            await asyncio.sleep(pause)

    def _find_step(self) -> Task | None:
        """Finds the most urgent step that waits for a ticket."""
        now = self.monotonic()
        advised = [
            task
            for task in self.cluster.ready.values()
            if task.job.spec.queue.advised
        ]
        for step in sort_steps(advised, now):
            if self._list_candidates(step[0]) and not self._has_ticket(step[0]):
                return step[0]
        return None

    def _has_ticket(self, task: Task) -> bool:
        return any(
            worker.fits(task.spec.reserved) and self.get_ticket(task, worker)
            for worker in self.cluster.workers.values()
        )

    def _list_candidates(self, task: Task) -> list[Worker]:
        known = self._known.get(get_step_key(task), _Known())
        now = self.monotonic()
        able = [
            worker
            for worker in self.cluster.workers.values()
            if is_open(worker, now)
            and worker.id not in known.barred
            and worker.fits(task.spec.reserved)
            and (not task.spec.label or task.spec.label in worker.entry.labels)
        ]
        able.sort(key=lambda worker: -worker.entry.capacity.cores)
        return able[:ASKED_WORKERS]

    async def _ask(self, task: Task) -> bool:
        candidates = self._list_candidates(task)
        if self.calls is None or not candidates:
            return False
        asked_at = self.monotonic()
        step = get_step_key(task)
        names = [worker.id for worker in candidates]
        answer = await self.calls.ask('.'.join(map(str, step)), names)
        if answer is None:
            log.warning('No advice.', extra={'step': step})
            return False
        known = self._known.setdefault(step, _Known())
        until = asked_at + answer.valid_seconds - VALID_MARGIN_SECONDS
        for worker in candidates:
            ticket = answer.by_worker.get(worker.id)
            if ticket is None:
                known.barred.add(worker.id)
                continue
            started_ms = worker.entry.started_ms
            known.tickets[worker.id] = (ticket, started_ms, until)
        log.info(
            'Advised.',
            extra={
                'step': step,
                'asked': len(names),
                'may': len(answer.by_worker),
            },
        )
        self.wake()
        return True

    def forget(self, job_id: str) -> None:
        """Drops what is known of a job that is over."""
        for step in [step for step in self._known if step[0] == job_id]:
            del self._known[step]
