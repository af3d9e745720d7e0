"""The link of an owner to one worker: its leases and its lists."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

import attrs
import logbook

from lentilmount.platform.workers import CallStatus, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import Reconciler, ReconcileResult
from lentilmount.scheduling.reports import WorkerReport
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('links')

POLL_SECONDS = 0.5
"""Between looks at a worker where something fills beside what serves; figures
there are half a second old at the best."""

QUIET_LOOK_SECONDS = 1.5
"""Between looks at any other worker: leases of 6 s are renewed four times."""

DOUBT_LOOK_SECONDS = 0.25
"""Between looks at a worker that leaves orders unanswered, as they tell when a
start can no longer be carried out there, and at one whose leases may be renewed
again in a moment."""

START_SECONDS = 3.0
"""Within which a worker must begin a start. Until then a start that is not
answered keeps its task from any other worker; three calls fit in it."""

RETRY_SECONDS = 0.1
"""Before a call without an answer is sent again."""

UNCOMMITTED_LOOK_SECONDS = 0.25
"""Between looks while ends cannot be written: they are all listed again."""

CLOCK_RATE = 0.98
"""The slowest that a worker's clock runs, as the platform tells."""

LAPSE_MARGIN_SECONDS = 0.1
"""For a worker to act on a lease that has run out."""

FORGET_SECONDS = 1.0
"""A worker that is gone and runs nothing more is forgotten after this."""


class SessionListener(Protocol):
    """What a link tells its owner."""

    def handle_lease_lost(self, reason: str) -> None:
        """Another owner has a higher token."""

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """A look changed something."""

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """Everything on a worker has ended."""

    def may_renew(self) -> bool:
        """Whether leases may still be renewed."""


@attrs.define(eq=False)
class WorkerSession:
    """One worker's leases and lists.

    Attributes:
      worker: The worker.
      cluster: Where its tasks are.
      worker_client: How it is called.
      events: Who is told.
      lease_seconds: Longest lease.
      monotonic: The clock for durations.
      received_end: Number of the last end taken into the book.
      written_end: Number of the last end whose effects are written.
      incarnation: Raised with each restart of the worker, which numbers ends
        anew.
      is_probed: Whether the worker is being asked to answer an order again.
    """

    worker: Worker
    cluster: ClusterState
    worker_client: WorkerClient
    events: SessionListener
    lease_seconds: float
    monotonic: Callable[[], float]
    received_end: int = 0
    written_end: int = 0
    incarnation: int = 0
    is_probed: bool = False
    end_written: asyncio.Event = attrs.field(factory=asyncio.Event)
    _started_ms: int | None = None
    _clock_ms: int | None = None
    _clock_at: float = 0.0
    _last_until_ms: int = 0
    _inherited_end: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Keeps what is known of the previous owner's leases."""
        self._inherited_end = self.worker.leases_expire_at

    async def run(self) -> None:
        """Keeps the link until the worker is gone and runs nothing."""
        while True:
            if not self.worker.is_registered and not self.worker.tasks:
                await asyncio.sleep(FORGET_SECONDS)
                if not self.worker.is_registered and not self.worker.tasks:
                    return
            if not self.worker.entry.address:
                await self._wait_for_lapse()
                continue
            await self._look()

    async def _wait_for_lapse(self) -> None:
        self.worker.has_missed_poll = True
        await asyncio.sleep(RETRY_SECONDS)
        self._check_lapse('its leases ran out, and it is not registered')

    def _check_lapse(self, why: str) -> None:
        now = self.monotonic()
        if self.worker.tasks and now > self.worker.leases_expire_at:
            self.events.handle_tasks_ended(
                self.worker,
                self.cluster.end_worker_tasks(self.worker, now),
                why,
            )

    async def _look(self) -> None:
        if self.received_end > self.written_end:
            # The worker would answer at once with the same ends.
            self.end_written.clear()
            await wait_with_timeout(self.end_written, self._choose_pause())
        waits = self.received_end <= self.written_end and self.worker.reachable
        asked_at = self.monotonic()
        answer = await self.worker_client.poll(
            self.worker.entry,
            self.written_end,
            self._choose_renewal(),
            self._choose_wait() if waits else 0.0,
        )
        if isinstance(answer, WorkerReport):
            self._handle_report(answer, asked_at)
            return
        await self._take_failure(answer)

    def _choose_pause(self) -> float:
        """Returns how long a look waits for ends to be written.

        An owner that may renew no lease is alone without the store: it can act
        on nothing that it hears. On a small link the same ends, listed again
        by hundreds of workers four times a second, kept its own calls to the
        store from getting through, so that it never heard that it had been
        replaced, even after the store answered again.
        """
        if self.events.may_renew():
            return UNCOMMITTED_LOOK_SECONDS
        return QUIET_LOOK_SECONDS

    def _choose_wait(self) -> float:
        worker = self.worker
        if worker.is_reported_unreachable or (
            worker.tasks and not worker.answers_commands
        ):
            return DOUBT_LOOK_SECONDS
        serves = any(t.is_serving for t in self.worker.tasks.values())
        fills = any(t.spec.fills for t in self.worker.tasks.values())
        return POLL_SECONDS if serves and fills else QUIET_LOOK_SECONDS

    def _choose_renewal(self) -> int | None:
        """Returns the end of new leases on the worker's clock, or None.

        A worker whose answers do not arrive may still hear every call. If
        each of them renewed its leases, nobody could ever know that they have
        run out; so only the first one without an answer does.
        """
        return self.choose_lease_end() if self._may_renew() else None

    def _may_renew(self) -> bool:
        worker = self.worker
        is_kept = worker.renews_leases and not worker.is_reported_unreachable
        return worker.reachable and is_kept and self.events.may_renew()

    def choose_lease_end(self) -> int:
        """Returns the end of a lease that begins now, on the worker's clock.

        It is the last one for a worker that does not answer. A start is sent
        until it is answered: if each copy to a worker that is gone for good
        renewed its leases, they would never run out, and nothing placed there
        would ever be started elsewhere. It is so too for an owner that may
        not renew any more: the next one counts on the end of its leases, and
        starts the same tasks elsewhere then.
        """
        return self._give_lease(self.lease_seconds)

    def choose_start_deadline(self) -> int:
        """Returns by when a start must begin, on the worker's clock.

        It is far shorter than a lease: no copy of the start is carried out
        after it, so that the task can go to another worker soon. The leases
        there, which looks renew, are as long as before.
        """
        return self._give_lease(min(START_SECONDS, self.lease_seconds))

    def _give_lease(self, seconds: float) -> int:
        if self._clock_ms is None or not self._may_renew():
            return self._last_until_ms
        passed = self.monotonic() - self._clock_at
        until = self._clock_ms + int(1000 * (passed + seconds))
        self._last_until_ms = max(self._last_until_ms, until)
        self._note_lease()
        return until

    def _note_lease(self) -> None:
        if self._clock_ms is None or not self._last_until_ms:
            # No lease of ours: what the previous owner gave may still run, and
            # freed early its tasks would run twice.
            return
        left = (self._last_until_ms - self._clock_ms) / 1000
        end = self._clock_at + left / CLOCK_RATE + LAPSE_MARGIN_SECONDS
        # The previous owner's leases may be longer than a start's.
        self.worker.leases_expire_at = max(end, self._inherited_end)

    def update_clock(self, clock_ms: int | None) -> None:
        """Takes in a worker's clock from any answer."""
        if clock_ms is None or clock_ms < (self._clock_ms or 0):
            return
        self._clock_ms = clock_ms
        self._clock_at = self.monotonic()
        self._note_lease()
        self._expire_starts(clock_ms)

    def _expire_starts(self, clock_ms: int) -> None:
        """Notes which starts can no longer be carried out."""
        now = self.monotonic()
        for task in self.worker.tasks.values():
            is_pending = math.isinf(task.confirmed_at)
            if is_pending and 0 < task.start_deadline_ms < clock_ms:
                task.start_expired_at = min(task.start_expired_at, now)

    def record_command(self, verdict: CallStatus) -> None:
        """Takes in whether the worker has answered an order."""
        worker = self.worker
        if verdict is CallStatus.REFUSED:
            return
        is_answered = verdict is not CallStatus.UNKNOWN
        if is_answered and not worker.answers_commands:
            log.info('Takes orders again.', extra={'worker': worker.id})
        elif worker.answers_commands and not is_answered:
            log.warning('Answers no orders.', extra={'worker': worker.id})
        worker.answers_commands = is_answered

    def _trust_orders(self) -> None:
        """Forgets orders that were lost while the worker was not heard."""
        worker = self.worker
        worker.answers_commands = worker.renews_leases = True
        worker.stop_unanswered_since = math.inf

    def record_stop(self, is_taken: bool, sent_at: float) -> None:
        """Takes in whether the worker has taken a stop."""
        worker = self.worker
        if is_taken:
            worker.stop_unanswered_since = math.inf
        else:
            since = min(worker.stop_unanswered_since, sent_at)
            worker.stop_unanswered_since = since

    def _handle_report(self, report: WorkerReport, asked_at: float) -> None:
        worker = self.worker
        if (
            self._started_ms is not None
            and report.started_ms != self._started_ms
        ):
            self.restart('it restarted')
        self._started_ms = report.started_ms
        if not worker.has_answered:
            self._bound_inherited()
        if not worker.has_answered or not worker.reachable:
            log.info('Reached.', extra={'worker': worker.id})
            self._trust_orders()
        worker.has_answered = worker.reachable = True
        worker.has_missed_poll = False
        self.update_clock(report.clock_ms)
        fresh = tuple(e for e in report.ended if e.number > self.received_end)
        result = Reconciler(self.cluster).reconcile(
            worker,
            attrs.evolve(report, ended=fresh),
            asked_at,
            self.monotonic(),
        )
        self.received_end = max(self.received_end, result.last_end_number)
        self.events.handle_poll_result(worker, result)

    def _bound_inherited(self) -> None:
        """Notes when unknown leases end: none is given there by others now."""
        if self.worker.leases_expire_at:
            return
        longest = self.lease_seconds / CLOCK_RATE + LAPSE_MARGIN_SECONDS
        self._inherited_end = self.monotonic() + longest
        self.worker.leases_expire_at = self._inherited_end

    def handle_registration(self, started_ms: int) -> None:
        """Takes in that the worker registered a new life.

        Its lists often tell of that life before. What was placed there since
        runs; given up, it would be started elsewhere and run twice.
        """
        if self._started_ms is None or self._started_ms < started_ms:
            self.restart('it registered anew')

    def acknowledge(self, incarnation: int, number: int) -> None:
        """Lets the worker forget its ends up to a number, of one of its lives.

        Numbers begin anew with each life: of an earlier one, they would have
        it forget ends that nobody has heard of, and what is done run again.
        """
        if incarnation == self.incarnation:
            self.written_end = max(self.written_end, number)
        self.end_written.set()

    def restart(self, why: str) -> None:
        """Forgets an incarnation: nothing of it runs any more."""
        self.received_end = self.written_end = 0
        self.incarnation += 1
        self._started_ms = None
        self._clock_ms = None
        self._last_until_ms = 0
        self._inherited_end = 0.0
        worker = self.worker
        self._trust_orders()
        tasks = self.cluster.end_worker_tasks(worker, self.monotonic())
        if tasks:
            self.events.handle_tasks_ended(worker, tasks, why)

    async def _take_failure(self, verdict: CallStatus) -> None:
        if verdict is CallStatus.FENCED:
            self.events.handle_lease_lost(
                f'{self.worker.id} knows a higher token'
            )
        if self.worker.reachable:
            log.warning(
                'Cannot be reached: {}.',
                verdict.value,
                extra={'worker': self.worker.id},
            )
        self.worker.reachable = False
        self.worker.has_missed_poll = True
        self._check_lapse('it could not be reached until its leases ran out')
        await asyncio.sleep(RETRY_SECONDS)
