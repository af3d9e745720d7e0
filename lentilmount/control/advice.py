"""Caches tickets of the advice service, which limits the workers for a step.

Load pattern: a call takes tens of ms and more for each worker named; a daemon
has one call in flight, and 32 may wait in all. So few workers are named, ahead
of need, and known answers are not requested again.
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

WORKERS_PER_CALL = 12
"""Number of workers named in a call: enough for some to be allowed, and few
enough for a short call."""

PAUSE_SECONDS = 0.02
"""Interval between searches for a step that needs a ticket."""

RETRY_SECONDS = 0.25
"""Delay after a call that was refused or not answered."""

VALID_MARGIN_SECONDS = 0.3
"""Part of a ticket's validity that is left for the start: the write before it
and the call."""

Step = tuple[str, int, int]


@attrs.define
class _StepTickets:
    """Answers of the advice service for one step.

    Attributes:
      tickets: Ticket, incarnation of the worker when it was requested and
        monotonic expiry time, by worker id.
      excluded: Workers that may not run the step; that does not change.
    """

    tickets: dict[str, tuple[str, int, float]] = attrs.Factory(dict)
    excluded: set[str] = attrs.Factory(set)


@attrs.define(eq=False)
class Advice:
    """Obtains and caches tickets for the steps that need them.

    Attributes:
      cluster: State of jobs, tasks and workers.
      calls: Client for the advice service; None where there is none.
      monotonic: Clock for durations.
      wake: Called when there are new tickets.
    """

    cluster: ClusterState
    client: AdviceClient | None
    monotonic: Callable[[], float]
    wake: Callable[[], None]
    _steps: dict[Step, _StepTickets] = attrs.Factory(dict)

    def allows(self, task: Task, worker: Worker) -> bool:
        """Returns whether a task may be started on a worker."""
        if not task.job.spec.queue.advised:
            return True
        return bool(self.get_ticket(task, worker))

    def get_ticket(self, task: Task, worker: Worker) -> str:
        """Returns a ticket that is still valid, or ''."""
        cached = self._steps.get(get_step_key(task))
        if cached is None:
            return ''
        ticket, started_ms, expires_at = cached.tickets.get(
            worker.id, ('', 0, 0.0)
        )
        if (
            started_ms != worker.entry.started_ms
            or self.monotonic() > expires_at
        ):
            return ''
        return ticket

    async def run(self) -> None:
        """Requests the tickets that are needed until it is cancelled."""
        while True:
            task = self._find_step() if self._is_used() else None
            pause = PAUSE_SECONDS
            if task is not None and not await self._ask(task):
                pause = RETRY_SECONDS
            await asyncio.sleep(pause)

    def _is_used(self) -> bool:
        """Returns whether any job needs tickets.

        There are far fewer jobs than waiting tasks.
        """
        jobs = self.cluster.jobs.values()
        return any(job.spec.queue.advised for job in jobs)

    def _find_step(self) -> Task | None:
        """Returns a task of the most urgent step without a ticket, or None."""
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
        cached = self._steps.get(get_step_key(task), _StepTickets())
        now = self.monotonic()
        eligible = [
            worker
            for worker in self.cluster.workers.values()
            if is_open(worker, now)
            and worker.id not in cached.excluded
            and worker.fits(task.spec.reserved)
            and (not task.spec.label or task.spec.label in worker.entry.labels)
        ]
        eligible.sort(key=lambda worker: -worker.entry.capacity.cores)
        return eligible[:WORKERS_PER_CALL]

    async def _ask(self, task: Task) -> bool:
        candidates = self._list_candidates(task)
        if self.client is None or not candidates:
            return False
        sent_at = self.monotonic()
        step = get_step_key(task)
        started_ms = {
            worker.id: worker.entry.started_ms for worker in candidates
        }
        answer = await self.client.ask(
            '.'.join(map(str, step)), list(started_ms)
        )
        if answer is None:
            log.warning(
                'No answer from the advice service.', extra={'step': step}
            )
            return False
        cached = self._steps.setdefault(step, _StepTickets())
        expires_at = sent_at + answer.valid_seconds - VALID_MARGIN_SECONDS
        for name, incarnation in started_ms.items():
            ticket = answer.by_worker.get(name)
            if ticket is None:
                cached.excluded.add(name)
                continue
            cached.tickets[name] = (ticket, incarnation, expires_at)
        log.info(
            'Advised.',
            extra={
                'step': step,
                'asked': len(started_ms),
                'may': len(answer.by_worker),
            },
        )
        self.wake()
        return True

    def forget(self, job_id: str) -> None:
        """Removes the tickets of a finished job."""
        for step in [step for step in self._steps if step[0] == job_id]:
            del self._steps[step]
