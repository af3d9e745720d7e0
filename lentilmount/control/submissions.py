"""Accepting, showing and cancelling jobs; any daemon can do each."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import attrs
import logbook

from lentilmount.clock import Clock
from lentilmount.control.keys import (
    make_cancel_key,
    make_counts_key,
    make_job_key,
    make_state_key,
)
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import FindOutageDetector
from lentilmount.coordination.table import (
    ABSENT,
    ConflictError,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import make_token
from lentilmount.errors import (
    GoneError,
    StoreError,
    UnknownOutcomeError,
)
from lentilmount.platform.documents import (
    Route,
    decode_submission,
    encode_job_row,
)
from lentilmount.platform.store import RefusedError
from lentilmount.scheduling.model import JobState

log = logbook.Logger('submissions')

COUNTS_SECONDS = 0.5
"""How old counts of waiting jobs may be here; the owner's may be as old."""

RETRY_SECONDS = 1.0
"""When a caller may try again after the store refused: it takes about that
long until it answers again after a short outage."""


SEND_AGAIN_SECONDS = 0.3
"""For how long a write whose answer was lost is sent again. A broken
connection shows within ms; a call that only ran into its timeout is not worth
another one: the caller has 3 s in all."""

SEND_AGAIN_PAUSE_SECONDS = 0.02


@attrs.define
class Submissions:
    """Acts on the rows of jobs for clients.

    Attributes:
      table: Where the rows are.
      routes: The configuration in force.
      clock: The clocks.
      find_outage_detector: Tells whether the table answers for a service.
    """

    table: Table
    routes: RouteTable
    clock: Clock
    find_outage_detector: FindOutageDetector
    _counts: dict[str, tuple[float, dict[str, int]]] = attrs.Factory(dict)

    def is_cut_off(self, route: Route) -> bool:
        """Whether other daemons reach the table, and this one cannot."""
        return self.find_outage_detector(route.policy.service).is_cut_off()

    @contextlib.contextmanager
    def _reach_store(self, route: Route) -> Iterator[None]:
        """Guards calls about a queue's rows, and tells why they failed.

        Refuses at once what would only wait for a table that is away.

        Raises:
          StoreError: Nothing was done.
          UnknownOutcomeError: It may have been done.
        """
        if self.find_outage_detector(route.policy.service).is_unreachable:
            raise StoreError(
                'the table does not answer', retry_after=RETRY_SECONDS
            )
        try:
            yield
        except RefusedError as error:
            raise StoreError(str(error), retry_after=RETRY_SECONDS) from error
        except UnavailableError as error:
            raise UnknownOutcomeError(str(error)) from error

    async def submit(self, route: Route, job_id: str, body: bytes) -> None:
        """Accepts a job, once, however often it is sent.

        Raises:
          InvalidError: The job is wrong.
          StoreError: It was not accepted and never runs.
          UnknownOutcomeError: It may have been accepted.
        """
        policy = route.policy
        spec = decode_submission(job_id, body, policy, self.clock.wall())
        key = make_job_key(policy.service, job_id)
        put = Put(key, encode_job_row(spec), ABSENT)
        try:
            with self._reach_store(route):
                await self._write(put)
        except ConflictError:
            # The row is there: an earlier copy of this request made it.
            log.info('Known already.', extra={'job': job_id})
            return
        log.info(
            'Accepted.',
            extra={
                'job': job_id,
                'queue': policy.name,
                'steps': len(spec.steps),
            },
        )

    async def _write(self, put: Put) -> None:
        """Writes a row that must not be there yet, until its fate is known.

        A caller whose answer the store lost would only send the same again,
        later. Sent again from here the write takes effect, or finds the row.

        Raises:
          ConflictError: The row is there.
          RefusedError: Nothing was written.
          UnavailableError: It may be written, also later.
        """
        end = self.clock.monotonic() + SEND_AGAIN_SECONDS
        unsure: UnavailableError | None = None
        while True:
            try:
                await self.table.transact(make_token(), [put])
                return
            except RefusedError:
                if unsure is not None:
                    raise unsure from None
                raise
            except UnavailableError as error:
                if self.clock.monotonic() > end:
                    raise
                unsure = error
            await asyncio.sleep(SEND_AGAIN_PAUSE_SECONDS)

    async def find_state(self, route: Route, job_id: str) -> JobState:
        """Returns a job's state.

        Raises:
          GoneError: There is no such job.
          UnknownOutcomeError: The store does not answer.
        """
        with self._reach_store(route):
            for service in self._list_services(route):
                state_key = make_state_key(service, job_id)
                row = (await self.table.read([state_key])).get(state_key)
                if row is not None:
                    return JobState(row.body['state'])
                if await self._find_job(service, job_id) is not None:
                    return JobState.QUEUED
        raise GoneError(f'there is no job {job_id}')

    async def _find_job(self, service: str, job_id: str) -> Row | None:
        key = make_job_key(service, job_id)
        return (await self.table.read([key])).get(key)

    def _list_services(self, route: Route) -> list[str]:
        """Lists the services where a job may be, its queue's own first.

        A queue can be given another service while its jobs run.
        """
        own = route.policy.service
        known = self.routes.current.services if self.routes.current else ()
        return [own, *(name for name in known if name != own)]

    async def cancel(self, route: Route, job_id: str) -> None:
        """Cancels a job; its owner stops what runs.

        Raises:
          GoneError: There is no such job.
          StoreError: Nothing was done.
          UnknownOutcomeError: It may have been cancelled.
        """
        with self._reach_store(route):
            for service in self._list_services(route):
                if await self._find_job(service, job_id) is not None:
                    put = Put(make_cancel_key(service, job_id), {}, ABSENT)
                    with contextlib.suppress(ConflictError):
                        await self._write(put)
                        log.info('Cancelled.', extra={'job': job_id})
                    return
        raise GoneError(f'there is no job {job_id}')

    async def count_pending(self, route: Route) -> int:
        """Returns how many jobs of a queue have not started.

        Raises:
          UnknownOutcomeError: The store does not answer.
        """
        service = route.policy.service
        read_at, counts = self._counts.get(service, (-COUNTS_SECONDS, {}))
        now = self.clock.monotonic()
        with self._reach_store(route):
            if now - read_at >= COUNTS_SECONDS:
                key = make_counts_key(service)
                row = (await self.table.read([key])).get(key)
                counts = row.body if row is not None else {}
                self._counts[service] = (now, counts)
        return counts.get(route.policy.name, 0)
