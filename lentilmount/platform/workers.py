"""Calls to the workers."""

from __future__ import annotations

import enum
from typing import Any

import attrs
import orjson

from lentilmount.platform.documents import decode_worker_report
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.upstream.http import HttpClient, HttpResponse

EXPECTED_INSTANCE = 'X-Expected-Instance'


class CallStatus(enum.Enum):
    """What a worker answered to an order."""

    DONE = 'done'
    FENCED = 'fenced'
    STALE_RUN = 'stale-run'
    TOO_LATE = 'too-late'
    NO_ROOM = 'no-room'
    NO_TICKET = 'no-ticket'
    OTHER_INSTANCE = 'other-instance'
    REFUSED = 'refused'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


_REASONS = {
    'fence': CallStatus.FENCED,
    'old': CallStatus.STALE_RUN,
    'late': CallStatus.TOO_LATE,
    'room': CallStatus.NO_ROOM,
    'ticket': CallStatus.NO_TICKET,
}

_STATUSES = {
    200: CallStatus.DONE,
    400: CallStatus.INVALID,
    421: CallStatus.OTHER_INSTANCE,
    429: CallStatus.REFUSED,
    503: CallStatus.REFUSED,
}


@attrs.frozen
class CommandAnswer:
    """A worker's answer to an order, and its clock if it told it."""

    verdict: CallStatus
    clock_ms: int | None = None


@attrs.frozen
class StartCommand:
    """A run to be started.

    Attributes:
      task: Name of the task.
      run: Number of the run.
      payload: What the task is given.
      lease_until_ms: End of the lease, on the worker's clock.
      checkpoint: Where it goes on from, or ''.
      ticket: What the advice service gave for this worker, or ''.
    """

    task: str
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str = ''
    ticket: str = ''


@attrs.define
class WorkerClient:
    """Calls with one owner's fencing token.

    Attributes:
      caller: Sends the calls; shared by all workers.
      token: The owner's epoch.
      timeout: Seconds for an order.
    """

    caller: HttpClient
    token: int
    timeout: float

    async def start(
        self, worker: WorkerEntry, order: StartCommand
    ) -> CommandAnswer:
        """Starts a run."""
        body: dict[str, Any] = {
            'task': order.task,
            'run': order.run,
            'spec': order.payload,
            'deadlineMs': order.lease_until_ms,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._order(worker, '/run-start', body)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """Stops a run, also one that is not there yet."""
        body = {'task': task, 'run': run}
        return await self._order(worker, '/run-stop', body)

    async def pace(
        self, worker: WorkerEntry, task: str, run: int, percent: int
    ) -> CommandAnswer:
        """Lets a run work only for a share of the time."""
        body = {'task': task, 'run': run, 'percent': percent}
        return await self._order(worker, '/pace', body)

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport | CallStatus:
        """Renews the leases of a worker and asks for its lists.

        Args:
          worker: Whom to ask.
          seen: Number of the last end that may be forgotten.
          lease_until_ms: End of the leases on the worker's clock, or None to
            leave them as they are.
          wait: Seconds that the answer may wait for an end.

        Returns:
          The lists, or why there are none.
        """
        body: dict[str, Any] = {
            'fencingToken': self.token,
            # The last end whose effects are written, not merely received.
            'lastSeen': seen,
        }
        if lease_until_ms is not None:
            body['deadlineMs'] = lease_until_ms
        if wait > 0:
            body['waitMs'] = int(wait * 1000)
        answer = await self._post(worker, '/hold', body, self.timeout + wait)
        if answer.status != 200:
            return _read_verdict(answer).verdict
        try:
            return decode_worker_report(answer.body)
        except ValueError:
            return CallStatus.UNKNOWN

    async def _order(
        self, worker: WorkerEntry, path: str, body: dict[str, Any]
    ) -> CommandAnswer:
        body['fencingToken'] = self.token
        answer = await self._post(worker, path, body, self.timeout)
        return _read_verdict(answer)

    async def _post(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        timeout: float,
    ) -> HttpResponse:
        return await self.caller.call(
            'POST',
            path,
            orjson.dumps(body),
            {
                'Content-Type': 'application/json',
                EXPECTED_INSTANCE: worker.id,
            },
            timeout=timeout,
            base=f'http://{worker.address}',
        )


def _read_verdict(answer: HttpResponse) -> CommandAnswer:
    verdict = _STATUSES.get(answer.status, CallStatus.UNKNOWN)
    try:
        document = orjson.loads(answer.body) if answer.body else {}
    except ValueError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    if answer.status == 409:
        verdict = _REASONS.get(document.get('reason', ''), CallStatus.REFUSED)
    clock = document.get('clockMs')
    return CommandAnswer(verdict, clock if isinstance(clock, int) else None)
