"""Orders to workers, each sent until its outcome is known."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import logbook

from lentilmount.control.links import FORGET_SECONDS, Events, Link
from lentilmount.platform.workers import (
    OrderAnswer,
    StartOrder,
    Verdict,
    WorkerCalls,
)
from lentilmount.scheduling.book import Book
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reconciling import Stray

log = logbook.Logger('links')

RETRY_SECONDS = 0.1
"""Before an order without an answer is sent again."""


@attrs.define(eq=False)
class Orders:
    """Carries out what was decided, until each order's outcome is known.

    Attributes:
      book: Where the tasks are.
      calls: How workers are called.
      links: The links, by worker.
      events: Who is told.
      monotonic: The clock for durations.
      start_task: Runs a coroutine in the background.
      get_ticket: Returns what the advice service gave for a task's worker.
      wake: Called when a task may be placed again.
    """

    book: Book
    calls: WorkerCalls
    links: dict[str, Link]
    events: Events
    monotonic: Callable[[], float]
    start_task: Callable[[Coroutine[Any, Any, None]], None]
    get_ticket: Callable[[Task, Worker], str]
    wake: Callable[[], None]

    def start(self, task: Task) -> None:
        """Starts a task that was placed."""
        self.start_task(self._start(task, task.run))

    def stop(self, task: Task) -> None:
        """Stops a task that was marked."""
        self.start_task(self._stop(task, task.run))

    def pace(self, task: Task, percent: int) -> None:
        """Lets a task work for a share of the time only."""
        task.percent_before = task.percent
        task.percent = percent
        task.paced_at = self.monotonic()
        worker = self.book.workers.get(task.worker)
        if worker is not None:
            worker.changes += 1
        self.start_task(self._pace(task, task.run, percent))

    def stop_stray(self, stray: Stray) -> None:
        """Stops a run that should not be there."""
        self.start_task(self._stop_stray(stray))

    async def _start(self, task: Task, run: int) -> None:
        uncertain = False
        while task.phase is TaskPhase.STARTING and task.run == run:
            link = self.links.get(task.worker)
            if link is None:
                return
            answer = await self._send_start(link, task, run)
            if task.run != run or task.phase is not TaskPhase.STARTING:
                return
            verdict = answer.verdict
            if verdict is Verdict.DONE:
                self.book.confirm(task, run, self.monotonic())
                return
            if verdict is Verdict.FENCED:
                self.events.lose(f'{task.worker} knows a higher token')
                return
            if verdict is Verdict.UNKNOWN:
                uncertain = True
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._take_rejection(task, run, verdict, uncertain)
            return

    async def _send_start(
        self, link: Link, task: Task, run: int
    ) -> OrderAnswer:
        worker = link.worker
        order = StartOrder(
            task=str(task.id),
            run=run,
            payload=task.job.spec.payload,
            lease_until_ms=link.choose_lease_end(),
            checkpoint=task.checkpoint,
            ticket=self.get_ticket(task, worker),
        )
        answer = await self.calls.start(worker.entry, order)
        link.note_clock(answer.clock_ms)
        return answer

    def _take_rejection(
        self, task: Task, run: int, verdict: Verdict, uncertain: bool
    ) -> None:
        log.info(
            'Not started: {}.',
            verdict.value,
            extra={'task': str(task.id), 'run': run, 'worker': task.worker},
        )
        if uncertain:
            # An earlier copy of the start may still be carried out there;
            # a stop of the same run prevents that.
            self.book.begin_stop(task)
            self.stop(task)
            return
        worker = self.book.workers.get(task.worker)
        if worker is not None and verdict is Verdict.REFUSED:
            worker.closed_until = self.monotonic() + FORGET_SECONDS
        self.book.reject(task, run)
        self.wake()

    async def _stop(self, task: Task, run: int) -> None:
        while task.phase is TaskPhase.STOPPING and task.run == run:
            link = self.links.get(task.worker)
            if link is None:
                return
            entry = link.worker.entry
            answer = await self.calls.stop(entry, str(task.id), run)
            if answer.verdict is Verdict.FENCED:
                self.events.lose(f'{entry.id} knows a higher token')
                return
            is_taken = answer.verdict not in (Verdict.UNKNOWN, Verdict.REFUSED)
            if is_taken and task.run == run:
                task.stopped_at = min(task.stopped_at, self.monotonic())
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _stop_stray(self, stray: Stray) -> None:
        link = self.links.get(stray.worker)
        if link is not None:
            await self.calls.stop(link.worker.entry, stray.task, stray.run)

    async def _pace(self, task: Task, run: int, percent: int) -> None:
        for _ in range(3):
            link = self.links.get(task.worker)
            if link is None or task.run != run or task.percent != percent:
                return
            answer = await self.calls.pace(
                link.worker.entry, str(task.id), run, percent
            )
            if answer.verdict is not Verdict.UNKNOWN:
                return
            await asyncio.sleep(RETRY_SECONDS)
