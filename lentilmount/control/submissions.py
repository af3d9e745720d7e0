"""Accepts, shows and cancels jobs, on any daemon."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.grouped_submissions import (
    Outcome,
    make_job_operations,
)
from lentilmount.control.keys import (
    is_cancel_key,
    make_cancel_key,
    make_counts_key,
    make_job_key,
    make_state_key,
)
from lentilmount.control.retry_schedule import RetrySchedule
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import FindOutageDetector
from lentilmount.control.submission_relay import Submit
from lentilmount.coordination.table import (
    ABSENT,
    ConflictError,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.errors import (
    ErrorKind,
    GoneError,
    LentilmountError,
    StoreError,
    UnknownOutcomeError,
)
from lentilmount.platform.documents import (
    Route,
    decode_submission,
    encode_job_row,
)
from lentilmount.platform.store import RefusedError
from lentilmount.scheduling.admission import AdmissionGate, Refusal
from lentilmount.scheduling.model import JobState
from lentilmount.scheduling.specs import JobSpec, measure_critical_paths

log = logbook.Logger('submissions')

COUNTS_SECONDS = 0.5
"""Longest age of cached counts of pending jobs; the counts that the owner
writes may be as old."""

CALLER_RETRY_SECONDS = 1.0
"""Retry delay given to a caller after the store refused a call: about the time
that the store takes to answer again after a short outage."""

STORE_RETURNS_PER_SECOND = 100.0
"""Refused submissions of a service that all daemons together ask to come back
in a second. The store carries out some 160 of its transactions in a second."""

MAX_STORE_RETRY_SECONDS = 5.0
"""Longest retry delay after the store refused a submission. Its outages are
short, and a caller that stays away for longer than one gains nothing."""

MAX_ADMISSION_RETRY_SECONDS = 30.0
"""Longest retry delay of a job for which there is no room: estimates do not
reach further."""

UNSETTLED_SECONDS = 15.0
"""Time after which a write without an answer is assumed to have no effect any
more. The table carries such writes out seconds later."""

MAX_UNSETTLED = 1_000
"""Number of jobs that are remembered as their writes may take effect later."""

RETRY_WINDOW_SECONDS = 0.3
"""Time during which a write whose answer was lost is retried. A broken
connection shows within milliseconds; after a call that ran into its timeout
another one does not fit into the caller's 3 s."""

RETRY_PAUSE_SECONDS = 0.02

NO_ANSWER = 'the table does not answer'


async def submit_to_nobody(
    service: str, job_id: str, body: dict[str, Any]
) -> None:
    """Asks no owner to accept a job."""


def accept_all(service: str) -> None:
    """Returns no gate: all jobs of the service are accepted."""


def count_nothing(queue: str, kind: str) -> None:
    """Counts no refused job."""


@attrs.frozen
class _Outcome:
    """Outcome of calls about a job's rows in several services.

    Attributes:
      is_found: Whether any service holds the job.
      failure: Failure of one of the calls, or None. One that leaves the call's
        effect unknown takes precedence over a refusal.
    """

    is_found: bool
    failure: UnavailableError | None


async def _call_services(
    call: Callable[[str], Awaitable[bool]], services: list[str]
) -> _Outcome:
    """Calls a function for all services at the same time.

    Args:
      call: Function of a service's name; returns whether it holds the job.
      services: Names of the services.
    """
    results = await asyncio.gather(*map(call, services), return_exceptions=True)
    failures: list[UnavailableError] = []
    for result in results:
        if isinstance(result, UnavailableError):
            failures.append(result)
        elif isinstance(result, BaseException):
            raise result
    failures.sort(key=lambda failure: isinstance(failure, RefusedError))
    return _Outcome(True in results, failures[0] if failures else None)


def _make_cancelled_error(job_id: str) -> GoneError:
    return GoneError(f'job {job_id} was cancelled before it was accepted')


def _log_known(job_id: str) -> None:
    log.info(
        'Known already; the job was accepted before.', extra={'job': job_id}
    )


@attrs.define
class Submissions:
    """Reads and writes the rows of jobs for clients.

    Attributes:
      table: Table with the rows of jobs.
      routes: The configuration in force.
      clock: Wall and monotonic clocks.
      find_outage_detector: Returns the outage detector of the table for a
        service.
      submit_to_owner: Submits a job through the owner of its service.
      find_gate: Returns the gate that judges the jobs of a service, or None if
        all are accepted.
      count_daemons: Returns the number of daemons that accept jobs.
      count_refusal: Counts a job that was not accepted, by queue and kind of
        error.
    """

    table: Table
    routes: RouteTable
    clock: Clock
    find_outage_detector: FindOutageDetector
    submit_to_owner: Submit = submit_to_nobody
    find_gate: Callable[[str], AdmissionGate | None] = accept_all
    count_daemons: Callable[[], int] = lambda: 1
    count_refusal: Callable[[str, str], None] = count_nothing
    _counts: dict[str, tuple[float, dict[str, int]]] = attrs.Factory(dict)
    _unsettled: dict[str, float] = attrs.Factory(dict)
    _store_returns: RetrySchedule = attrs.field(init=False)
    _admission_returns: RetrySchedule = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the schedules of refused callers."""
        monotonic = self.clock.monotonic
        self._store_returns = RetrySchedule(monotonic, MAX_STORE_RETRY_SECONDS)
        self._admission_returns = RetrySchedule(
            monotonic, MAX_ADMISSION_RETRY_SECONDS
        )

    def is_cut_off(self, route: Route) -> bool:
        """Returns whether this daemon alone cannot reach the table."""
        return self.find_outage_detector(route.policy.service).is_cut_off()

    @contextlib.contextmanager
    def _translate_store_errors(self, route: Route) -> Iterator[None]:
        """Translates errors of calls about a queue's rows.

        Fails at once when the table is unavailable, instead of letting the call
        wait.

        Raises:
          StoreError: Nothing was written.
          UnknownOutcomeError: The write may have been carried out.
        """
        if self.find_outage_detector(route.policy.service).is_unreachable:
            raise StoreError(NO_ANSWER, retry_after=CALLER_RETRY_SECONDS)
        try:
            yield
        except RefusedError as error:
            raise StoreError(
                str(error), retry_after=CALLER_RETRY_SECONDS
            ) from error
        except UnavailableError as error:
            raise UnknownOutcomeError(str(error)) from error

    async def submit(self, route: Route, job_id: str, body: bytes) -> None:
        """Accepts a job; idempotent, however often the caller sends it.

        It remains one job if its queue is assigned to another service between
        two copies of the request.

        Raises:
          InvalidError: The job is not valid.
          GoneError: The job was cancelled before it was accepted.
          StoreError: The job was not accepted and never runs.
          UnknownOutcomeError: The job may have been accepted.
        """
        policy = route.policy
        spec = decode_submission(job_id, body, policy, self.clock.wall())
        try:
            with self._translate_store_errors(route):
                if await self._is_held_elsewhere(route, job_id):
                    _log_known(job_id)
                    return
                await self._check_admission(spec)
                await self._accept(spec)
        except ConflictError as error:
            if error.keys and all(map(is_cancel_key, error.keys)):
                raise _make_cancelled_error(job_id) from error
            # An earlier copy of this request has created the row.
            _log_known(job_id)
            return
        except StoreError as error:
            if error.kind is ErrorKind.STORE_UNAVAILABLE:
                error.retry_after = self._store_returns.add(
                    policy.service,
                    CALLER_RETRY_SECONDS,
                    self.count_daemons() / STORE_RETURNS_PER_SECOND,
                )
                self.count_refusal(policy.name, error.kind.value)
            raise
        log.info(
            'Accepted.',
            extra={
                'job': job_id,
                'queue': policy.name,
                'steps': len(spec.steps),
                'core_seconds': round(spec.core_seconds, 3),
            },
        )

    async def _accept(self, spec: JobSpec) -> None:
        """Writes a job's row, or has it written.

        Raises:
          ConflictError: The row exists, or a cancellation of the job.
          GoneError: The owner has found a cancellation of the job.
          RefusedError: Nothing was written.
          UnavailableError: The row may be written, also later.
        """
        service = spec.queue.service
        row = encode_job_row(spec)
        was_unsettled = spec.id in self._unsettled
        self._unsettled[spec.id] = self.clock.monotonic()
        if len(self._unsettled) > MAX_UNSETTLED:
            self._unsettled.pop(next(iter(self._unsettled)))
        try:
            if not await self._accept_by_owner(service, spec.id, row):
                await self._write(make_job_operations(service, spec.id, row))
        except RefusedError:
            if not was_unsettled:
                self._unsettled.pop(spec.id, None)
            raise
        except (ConflictError, GoneError):
            self._unsettled.pop(spec.id, None)
            raise
        self._unsettled.pop(spec.id, None)

    async def _check_admission(self, spec: JobSpec) -> None:
        """Refuses a job that could not be completed while it is of use.

        Raises:
          LentilmountError: Of kind OVERLOADED; the job has not run.
        """
        gate = self.find_gate(spec.queue.service)
        if gate is None:
            return
        critical_path = max(measure_critical_paths(spec), default=0.0)
        now = self.clock.monotonic()
        refusal = gate.judge(spec, critical_path, now)
        if refusal is not None and not await self._may_be_accepted(spec):
            self.count_refusal(spec.queue.name, ErrorKind.OVERLOADED.value)
            raise self._make_overload_error(spec, refusal)
        gate.count_accepted(spec, now)

    async def _may_be_accepted(self, spec: JobSpec) -> bool:
        """Returns whether an earlier copy of a request may be accepted.

        The caller sends a job again if it got no answer, and must not be told
        then that the job has not run. A write of the earlier copy may still be
        under way while the table is slow.
        """
        service = spec.queue.service
        is_slow = self.find_outage_detector(service).health.is_slow
        if is_slow or spec.id in self._unsettled:
            return True
        try:
            return await self._find_job(service, spec.id) is not None
        except UnavailableError as error:
            log.info('Cannot tell whether a job is known: {}', error)
            return True

    def _make_overload_error(
        self, spec: JobSpec, refusal: Refusal
    ) -> LentilmountError:
        queue = spec.queue
        return LentilmountError(
            f'there is no room in time for a job of queue {queue.name}',
            kind=ErrorKind.OVERLOADED,
            retry_after=self._admission_returns.add(
                f'{queue.service}/{queue.name}',
                refusal.delay_seconds,
                refusal.turn_seconds,
                refusal.useful_seconds,
            ),
            extra={
                'job': spec.id,
                'queue': queue.name,
                'wait_seconds': round(refusal.wait_seconds, 2),
                'useful_wait_seconds': round(refusal.useful_wait_seconds, 2),
                'estimate_age_seconds': round(refusal.age_seconds, 2),
            },
        )

    async def _accept_by_owner(
        self, service: str, job_id: str, row: dict[str, Any]
    ) -> bool:
        """Submits a job to its owner; returns False if it was not asked.

        Raises:
          GoneError: The job was cancelled before.
          RefusedError: Nothing was written.
          UnavailableError: The row may be written, also later.
        """
        outcome = await self.submit_to_owner(service, job_id, row)
        if outcome is Outcome.CANCELLED:
            raise _make_cancelled_error(job_id)
        if outcome is Outcome.REFUSED:
            raise RefusedError('the owner has too many submissions')
        if outcome is Outcome.UNKNOWN:
            raise UnavailableError('the owner does not answer')
        return outcome is not None

    async def _is_held_elsewhere(self, route: Route, job_id: str) -> bool:
        """Returns whether another service than the queue's own holds a job.

        An earlier copy of the request may have been accepted there before the
        queue was assigned to its present service.

        Raises:
          UnknownOutcomeError: It is not known. Nothing was written, but the
            job may run there.
        """
        _, *others = self._list_services(route)
        if not others:
            return False
        outcome = await _call_services(
            lambda service: self._holds(service, job_id), others
        )
        if outcome.failure is not None and not outcome.is_found:
            raise UnknownOutcomeError(str(outcome.failure))
        return outcome.is_found

    async def _holds(self, service: str, job_id: str) -> bool:
        """Returns whether a service holds a job.

        Raises:
          UnavailableError: It is not known. The call is not made if the table
            is known to be unavailable.
        """
        if self.find_outage_detector(service).is_unreachable:
            raise RefusedError(NO_ANSWER)
        return await self._find_job(service, job_id) is not None

    async def _write(self, operations: list[Operation]) -> None:
        """Creates a row, retrying until the outcome is known or time runs out.

        A caller that gets no answer would only send the same job again later.
        Retried here, the write either takes effect or finds the row.

        Raises:
          ConflictError: The row exists, or a condition does not hold.
          RefusedError: Nothing was written.
          UnavailableError: The row may be written, also later.
        """
        end = self.clock.monotonic() + RETRY_WINDOW_SECONDS
        lost_answer: UnavailableError | None = None
        while True:
            try:
                await self.table.transact(make_token(), operations)
                return
            except RefusedError:
                if lost_answer is not None:
                    raise lost_answer from None
                raise
            except UnavailableError as error:
                if self.clock.monotonic() > end:
                    raise
                lost_answer = error
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def find_state(self, route: Route, job_id: str) -> JobState:
        """Returns the state of a job.

        Raises:
          GoneError: There is no such job.
          UnknownOutcomeError: The store does not answer, or the outcome of a
            submission through this daemon is not known yet.
        """
        with self._translate_store_errors(route):
            services = self._list_services(route)
            for service in services:
                state_key = make_state_key(service, job_id)
                row = (await self.table.read([state_key])).get(state_key)
                if row is not None:
                    return JobState(row.body['state'])
                if await self._find_job(service, job_id) is not None:
                    return JobState.QUEUED
            if await self._may_be_written(services, job_id):
                raise UnknownOutcomeError(
                    f'the write of job {job_id} has no answer yet'
                )
        raise GoneError(f'there is no job {job_id}')

    async def _may_be_written(self, services: list[str], job_id: str) -> bool:
        """Returns whether a job that is not there may still come.

        Its submission through this daemon got no answer, and no cancellation
        keeps the write from taking effect.
        """
        sent_at = self._unsettled.get(job_id, -math.inf)
        if self.clock.monotonic() - sent_at > UNSETTLED_SECONDS:
            return False
        keys = [make_cancel_key(service, job_id) for service in services]
        return len(await self.table.read(keys)) < len(keys)

    async def _find_job(self, service: str, job_id: str) -> Row | None:
        key = make_job_key(service, job_id)
        return (await self.table.read([key])).get(key)

    def _list_services(self, route: Route) -> list[str]:
        """Lists the services that may hold a job, its queue's own first.

        A queue can be assigned to another service while its jobs run.
        """
        own_service = route.policy.service
        known = self.routes.current.services if self.routes.current else ()
        return [own_service, *(name for name in known if name != own_service)]

    async def cancel(self, route: Route, job_id: str) -> None:
        """Cancels a job; its owner stops the running tasks.

        Copies of the job in other services are cancelled as well. A job that
        is not there does not run either if its submission is still on its way.

        Raises:
          GoneError: There is no such job, and the request to submit it has no
            effect if it is still on its way.
          StoreError: No copy of the job was cancelled.
          UnknownOutcomeError: The job may have been cancelled, or only some
            copies of it.
        """
        with self._translate_store_errors(route):
            outcome = await _call_services(
                lambda service: self._cancel_in(service, job_id),
                self._list_services(route),
            )
            if outcome.failure is not None:
                if outcome.is_found:
                    raise UnknownOutcomeError(str(outcome.failure))
                raise outcome.failure
        if not outcome.is_found:
            raise GoneError(f'there is no job {job_id}')

    async def _cancel_in(self, service: str, job_id: str) -> bool:
        """Cancels a job in a service; returns whether the service holds it.

        The row of the cancellation comes first. Once it is there, a write of
        the job has no effect, so a job that is not found then never will be.
        """
        put = Put(make_cancel_key(service, job_id), {}, ABSENT)
        is_new = False
        with contextlib.suppress(ConflictError):
            await self._write([put])
            is_new = True
        is_held = await self._find_job(service, job_id) is not None
        if is_new:
            text = 'Cancelled.' if is_held else 'Cancelled before it came.'
            log.info(text, extra={'job': job_id, 'service': service})
        return is_held

    async def count_pending(self, route: Route) -> int:
        """Returns the number of jobs of a queue that have not started.

        Raises:
          UnknownOutcomeError: The store does not answer.
        """
        service = route.policy.service
        read_at, counts = self._counts.get(service, (-COUNTS_SECONDS, {}))
        now = self.clock.monotonic()
        with self._translate_store_errors(route):
            if now - read_at >= COUNTS_SECONDS:
                key = make_counts_key(service)
                row = (await self.table.read([key])).get(key)
                counts = row.body if row is not None else {}
                self._counts[service] = (now, counts)
        return counts.get(route.policy.name, 0)
