"""Clients: they submit jobs, cancel some, and ask for their states."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import attrs
import orjson

from lentilmount.upstream.http import HttpClient, HttpResponse
from soak.events import Event, EventKind, EventLog, get_time
from soak.plan import Job
from stand_ins.entry_hosts import HOST, PREFIX

CALL_SECONDS = 3.0
RETRY_SECONDS = 0.2
GIVE_UP_SECONDS = 30.0
"""Time for which a request without an answer is sent again."""

RESEND_SECONDS = 1.5
"""Time after which an accepted job is sent once more."""

MAX_RETURNS = 3
"""Number of times that a client submits a refused job again."""

STATE_SECONDS = 0.5
"""Interval between two looks at the states of jobs."""

REJECTIONS = (429, 503)
FINAL_STATES = {'completed', 'failed', 'cancelled'}


@attrs.define(eq=False)
class Clients:
    """Clients of all daemons.

    Attributes:
      client: Sends the requests over connections that are kept.
      list_addresses: Returns each daemon's address, '' for one that is down.
      log: Events of the soak.
      sleep: Waits for some seconds before a refused job is submitted again.
      open_jobs: Accepted jobs that have not ended.
    """

    client: HttpClient
    list_addresses: Callable[[], list[str]]
    log: EventLog
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    open_jobs: dict[str, Job] = attrs.Factory(dict)

    def _note(self, kind: EventKind, job: Job, detail: str = '') -> None:
        self.log.write(Event(get_time(), kind, task=job.id, detail=detail))

    async def play(self, job: Job) -> None:
        """Submits a job; sends it again and cancels it as planned."""
        if not await self._submit(job):
            return
        self.open_jobs[job.id] = job
        if job.cancel_after:
            await asyncio.sleep(job.cancel_after)
            answer = await self._repeat('DELETE', job, lambda status: False)
            if answer is not None and answer.status < 300:
                self._note(EventKind.CANCELLED, job)
        if job.is_resent:
            await asyncio.sleep(RESEND_SECONDS)
            await self._call('POST', job, job.host + 1)

    async def _submit(self, job: Job) -> bool:
        """Submits a job until it is accepted or refused for good.

        A refused client submits it again after the time that the answer names.

        Returns:
          Whether the job is stored.
        """
        for returns_left in reversed(range(MAX_RETURNS + 1)):
            answer = await self._repeat(
                'POST', job, lambda status: status in REJECTIONS
            )
            if answer is None:
                return False
            if answer.status < 300:
                self._note(EventKind.ACCEPTED, job, str(answer.status))
                return True
            self._note(EventKind.REJECTED, job, str(answer.status))
            retry_after = answer.headers.get('Retry-After')
            if retry_after is None or not returns_left:
                return False
            await self.sleep(float(retry_after))
            self._note(EventKind.RETURNED, job, retry_after)
        return False

    async def _repeat(
        self, method: str, job: Job, is_rejection: Callable[[int], bool]
    ) -> HttpResponse | None:
        """Sends a request again, at other daemons, until it is answered.

        Returns:
          The answer, a rejection only if no other request may have been carried
          out; None without an answer in time.
        """
        deadline = get_time() + GIVE_UP_SECONDS
        may_be_executed = False
        for number in itertools.count(job.host):
            if get_time() > deadline:
                break
            answer = await self._call(method, job, number)
            if answer is not None:
                if answer.status < 300 or answer.status == 410:
                    return answer
                if is_rejection(answer.status) and not may_be_executed:
                    return answer
                may_be_executed |= answer.status not in REJECTIONS
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def _call(
        self, method: str, job: Job, number: int
    ) -> HttpResponse | None:
        """Calls one daemon; returns None if it is down."""
        addresses = self.list_addresses()
        address = addresses[number % len(addresses)]
        if not address:
            return None
        body = orjson.dumps(job.make_document()) if method == 'POST' else None
        return await self.client.call(
            method,
            PREFIX + job.id,
            body,
            {'Host': HOST},
            timeout=CALL_SECONDS,
            base=f'http://{address}',
        )

    async def wait_for_ends(self, seconds: float) -> None:
        """Waits until all accepted jobs have ended, or for some seconds."""
        deadline = get_time() + seconds
        for number in itertools.count():
            await asyncio.gather(
                *(self._look(job, number) for job in self.open_jobs.values())
            )
            if not self.open_jobs or get_time() > deadline:
                return
            await asyncio.sleep(STATE_SECONDS)

    async def _look(self, job: Job, number: int) -> None:
        answer = await self._call('GET', job, job.host + number)
        if answer is None:
            return
        state = str(answer.status)
        if answer.status == 200:
            state = orjson.loads(answer.body)['state']
        self._note(EventKind.STATE, job, state)
        if state in FINAL_STATES:
            self.open_jobs.pop(job.id, None)
