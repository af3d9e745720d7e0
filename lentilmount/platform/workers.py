"""HTTP client for the workers of the outer platform."""

from __future__ import annotations

import enum
from typing import Any

import attrs
import orjson

from lentilmount.platform.documents import decode_worker_report
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.upstream.http import CallKind, HttpClient, HttpResponse

EXPECTED_INSTANCE = 'X-Expected-Instance'


class CallStatus(enum.Enum):
    """Outcome of a call to a worker."""

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
    """Outcome of a command.

    Attributes:
      status: The outcome.
      clock_ms: The worker's clock if the answer has it.
      was_asked: Whether the worker is known to have been called. If not, a
        missing answer tells nothing about it.
    """

    status: CallStatus
    clock_ms: int | None = None
    was_asked: bool = True


@attrs.frozen
class StartCommand:
    """A command to start a run of a task.

    Attributes:
      task: Name of the task.
      run: Number of the run.
      payload: Input of the task.
      lease_until_ms: Time by which the run must begin and at which its lease
        expires unless renewed, on the worker's clock in milliseconds.
      checkpoint: Checkpoint to resume from, or ''.
      ticket: Ticket of the advice service for this worker, or ''.
    """

    task: str
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str = ''
    ticket: str = ''


@attrs.define
class WorkerClient:
    """Sends calls to workers, with the fencing token of an owner.

    Attributes:
      http_client: Sends the requests; shared by all workers.
      token: The fencing token: the owner's epoch.
      timeout: Timeout of a command, in seconds.
    """

    http_client: HttpClient
    token: int
    timeout: float

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """Starts a run."""
        body: dict[str, Any] = {
            'task': command.task,
            'run': command.run,
            'spec': command.payload,
            'deadlineMs': command.lease_until_ms,
        }
        if command.checkpoint:
            body['checkpoint'] = command.checkpoint
        if command.ticket:
            body['ticket'] = command.ticket
        return await self._send_command(
            worker, '/run-start', body, CallKind.START
        )

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """Stops a run; a start of it that arrives later is rejected."""
        body = {'task': task, 'run': run}
        return await self._send_command(
            worker, '/run-stop', body, CallKind.STOP
        )

    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int
    ) -> CommandAnswer:
        """Limits a run to a share of its CPU time, in percent."""
        body = {'task': task, 'run': run, 'percent': percent}
        return await self._send_command(
            worker, '/pace', body, CallKind.THROTTLE
        )

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport | CallStatus:
        """Renews the leases of a worker and reads its runs and run ends.

        Args:
          worker: The worker.
          seen: Number of the last run end to acknowledge.
          lease_until_ms: New expiry of the leases on the worker's clock in
            milliseconds, or None to leave them unchanged.
          wait: Longest time in seconds that the worker waits for a run end.

        Returns:
          The worker's report, or the status of the failed call.
        """
        body: dict[str, Any] = {
            'fencingToken': self.token,
            # 'lastSeen' acknowledges run ends whose effects are recorded, not
            # those merely received.
            'lastSeen': seen,
        }
        if lease_until_ms is not None:
            body['deadlineMs'] = lease_until_ms
        if wait > 0:
            body['waitMs'] = int(wait * 1000)
        # '/hold' renews leases and returns the report; it holds no task back.
        answer = await self._post(
            worker, '/hold', body, self.timeout + wait, CallKind.POLL
        )
        if answer.status != 200:
            return _decode_answer(answer).status
        try:
            return decode_worker_report(answer.body)
        except ValueError:
            return CallStatus.UNKNOWN

    async def _send_command(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        kind: CallKind,
    ) -> CommandAnswer:
        body['fencingToken'] = self.token
        answer = await self._post(worker, path, body, self.timeout, kind)
        return _decode_answer(answer)

    async def _post(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        timeout: float,
        kind: CallKind,
    ) -> HttpResponse:
        return await self.http_client.call(
            'POST',
            path,
            orjson.dumps(body),
            {
                'Content-Type': 'application/json',
                EXPECTED_INSTANCE: worker.id,
            },
            timeout=timeout,
            base=f'http://{worker.address}',
            reads_headers=False,
            kind=kind,
        )


def _decode_answer(answer: HttpResponse) -> CommandAnswer:
    status = _STATUSES.get(answer.status, CallStatus.UNKNOWN)
    try:
        document = orjson.loads(answer.body) if answer.body else {}
    except ValueError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    if answer.status == 409:
        status = _REASONS.get(document.get('reason', ''), CallStatus.REFUSED)
    clock = document.get('clockMs')
    return CommandAnswer(status, clock if isinstance(clock, int) else None)
