"""Jobs that the owner of a service accepts together with its own writes.

Load pattern: the table carries out the transactions of a service one after the
other. While it is slow, a third of a second each, the submissions of all
daemons queue up and are refused, and with them the owner's writes, which renew
its lease and come before its starts: nothing is started until it is fast again.
The owner writes many rows at once, so it takes the submissions of the others
along.
"""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Callable, Collection
from typing import Any

import attrs
import orjson

from lentilmount.control.keys import make_cancel_key, make_job_key
from lentilmount.coordination.table import (
    ABSENT,
    Check,
    Key,
    Operation,
    Put,
)
from lentilmount.platform.documents import decode_job_row
from lentilmount.scheduling.specs import JobSpec

MAX_ROWS = 20
"""Maximum number of jobs in a write; each takes three of its 100 entries."""

BYTES_SHARE = 0.5
"""Share of the bytes of a write for submissions, where bytes limit it."""

MAX_WAITING = 200
"""Number of submissions that may wait; further ones are refused at once."""


class Outcome(enum.Enum):
    """Outcome of a submission.

    REFUSED ones are certainly not written; UNKNOWN ones may be, also later.
    CANCELLED ones are not written either, as the job was cancelled before.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CANCELLED = 'cancelled'


def make_job_operations(
    service: str, job_id: str, body: dict[str, Any]
) -> list[Operation]:
    """Returns what creates a job's row unless the job is known or cancelled.

    A write without an answer may be carried out seconds later. With the
    condition it has no effect then if the job was cancelled meanwhile.
    """
    return [
        Put(make_job_key(service, job_id), body, ABSENT),
        Check(make_cancel_key(service, job_id), ABSENT),
    ]


@attrs.frozen(eq=False)
class Submission:
    """A submitted job.

    Attributes:
      spec: The job.
      body: Body of its row.
      size: Size of that in bytes.
      at: Monotonic time at which it arrived.
      outcome: Gets the outcome.
    """

    spec: JobSpec
    body: dict[str, Any]
    size: int
    at: float
    outcome: asyncio.Future[Outcome]

    def settle(self, outcome: Outcome) -> None:
        """Passes the outcome on."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@attrs.define(eq=False)
class GroupedSubmissions:
    """Submissions that wait for the owner's next writes.

    Attributes:
      service: Name of the service.
      monotonic: Returns monotonic time in seconds.
      is_known: Returns whether a job was accepted before.
      request_write: Requests a write as soon as possible.
    """

    service: str
    monotonic: Callable[[], float]
    is_known: Callable[[str], bool]
    request_write: Callable[[], None]
    _waiting: dict[str, Submission] = attrs.Factory(dict)
    _in_write: dict[str, Submission] = attrs.Factory(dict)
    _is_closed: bool = False

    async def submit(self, job_id: str, body: dict[str, Any]) -> Outcome:
        """Waits until a job is written; idempotent.

        Args:
          job_id: Id of the job.
          body: Body of its row.
        """
        if self.is_known(job_id):
            return Outcome.ACCEPTED
        known = self._waiting.get(job_id) or self._in_write.get(job_id)
        if known is None:
            if self._is_closed or len(self._waiting) >= MAX_WAITING:
                return Outcome.REFUSED
            known = Submission(
                decode_job_row(body),
                body,
                len(orjson.dumps(body)),
                self.monotonic(),
                asyncio.get_running_loop().create_future(),
            )
            self._waiting[job_id] = known
            self.request_write()
        # Copies of a request share the future, and each may be cancelled.
        return await asyncio.shield(known.outcome)

    @property
    def is_waiting(self) -> bool:
        """Whether there are submissions for the next write."""
        return bool(self._waiting)

    def begin_write(self, max_bytes: float = math.inf) -> list[Operation]:
        """Returns the operations of the next write.

        Args:
          max_bytes: Bytes that the whole write may have.
        """
        size = 0
        for job_id in list(self._waiting)[:MAX_ROWS]:
            size += self._waiting[job_id].size
            if self._in_write and size > BYTES_SHARE * max_bytes:
                break
            self._in_write[job_id] = self._waiting.pop(job_id)
        return [
            operation
            for job_id, submission in self._in_write.items()
            for operation in make_job_operations(
                self.service, job_id, submission.body
            )
        ]

    def end_write(self) -> list[Submission]:
        """Ends a write that was applied; returns the submissions in it."""
        written, self._in_write = list(self._in_write.values()), {}
        for submission in written:
            submission.settle(Outcome.ACCEPTED)
        return written

    def abandon_write(self, conflicts: Collection[Key] = ()) -> bool:
        """Ends a write that was not applied; most of it is tried again.

        Args:
          conflicts: Rows that had other versions than expected.

        Returns:
          Whether there are conflicts, and all with jobs that were accepted
          or cancelled before.
        """
        left, self._in_write = self._in_write, {}
        unexplained = set(conflicts)
        for job_id in list(left):
            job_key = make_job_key(self.service, job_id)
            cancel_key = make_cancel_key(self.service, job_id)
            if job_key in conflicts:
                left.pop(job_id).settle(Outcome.ACCEPTED)
            elif cancel_key in conflicts:
                left.pop(job_id).settle(Outcome.CANCELLED)
            unexplained -= {job_key, cancel_key}
        self._waiting = {**left, **self._waiting}
        return bool(conflicts) and not unexplained

    def close(self) -> None:
        """Settles all submissions at the end of the owner."""
        self._is_closed = True
        for submission in self._in_write.values():
            submission.settle(Outcome.UNKNOWN)
        for submission in self._waiting.values():
            submission.settle(Outcome.REFUSED)
        self._in_write.clear()
        self._waiting.clear()
