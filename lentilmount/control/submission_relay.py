"""Sends submissions to the owner of their service while the table is slow."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs
import logbook
import orjson

from lentilmount.control.grouped_submissions import Outcome
from lentilmount.control.peer_handler import NOT_READY, PeerHandler
from lentilmount.upstream.http import CallKind, HttpClient

log = logbook.Logger('submissions')

SUBMISSIONS_PATH = '/submissions'

SUBMIT_SECONDS = 2.0
"""Timeout of a submission. The owner's write takes up to a second while the
table is slow, and callers wait for 3 s."""

CONNECT_SECONDS = 0.2
"""Timeout for a connection to the owner; if it is gone, the daemon writes to
the table itself."""

OUTCOMES = {
    200: Outcome.ACCEPTED,
    410: Outcome.CANCELLED,
    429: Outcome.REFUSED,
    504: Outcome.UNKNOWN,
}
"""Outcomes by HTTP status of the owner's answer."""

STATUSES = {outcome: status for status, outcome in OUTCOMES.items()}


class SubmissionOwner(Protocol):
    """An owner that accepts jobs; see `Owner`."""

    async def submit(self, job_id: str, body: dict[str, Any]) -> Outcome:
        """Writes a job; see `GroupedSubmissions.submit`."""


FindOwner = Callable[[str], SubmissionOwner | None]
"""Returns the owner of a service in this process, if there is one."""

Submit = Callable[[str, str, dict[str, Any]], Awaitable[Outcome | None]]
"""Submits a job, given its service, its id and the body of its row; returns
None if nobody was asked."""


@attrs.define
class SubmissionRelay:
    """Submits jobs through the owners of their services.

    Attributes:
      http_client: Sends requests to other daemons.
      find_owner: See `FindOwner`.
      find_address: Returns the address of the daemon that owns a service, or
        '' if it is not known.
      is_slow: Returns whether the table is slow for a service.
    """

    http_client: HttpClient
    find_owner: FindOwner
    find_address: Callable[[str], str]
    is_slow: Callable[[str], bool]

    async def submit(
        self, service: str, job_id: str, body: dict[str, Any]
    ) -> Outcome | None:
        """Submits a job if the table is slow; see `Submit`."""
        if not self.is_slow(service):
            return None
        owner = self.find_owner(service)
        if owner is not None:
            return await owner.submit(job_id, body)
        address = self.find_address(service)
        if not address:
            return None
        message = {'service': service, 'job': job_id, 'row': body}
        response = await self.http_client.call(
            'POST',
            SUBMISSIONS_PATH,
            orjson.dumps(message),
            timeout=SUBMIT_SECONDS,
            base=f'http://{address}',
            reads_headers=False,
            connect_timeout=CONNECT_SECONDS,
            kind=CallKind.PEER,
        )
        if not response.was_sent or response.status in _NOT_ASKED:
            log.info(
                'The owner takes no submissions.',
                extra={
                    'service': service,
                    'daemon': address,
                    'status': response.status,
                },
            )
            return None
        return OUTCOMES.get(response.status, Outcome.UNKNOWN)


_NOT_ASKED = frozenset({NOT_READY, 404})
"""HTTP statuses of a daemon that has written nothing: one that does not own the
service, or one of a version without this call."""


class SubmissionsHandler(PeerHandler):
    """Accepts jobs for daemons to which the table is slow."""

    def initialize(
        self, find_owner: FindOwner, is_closing: Callable[[], bool]
    ) -> None:
        """Receives the handler's arguments; see `make_peer_api`."""
        self.is_closing = is_closing
        self._find_owner = find_owner

    async def post(self) -> None:
        """Answers once the job is written, or certainly is not."""
        message = orjson.loads(self.request.body)
        owner = self._find_owner(message['service'])
        if owner is None:
            self.refuse()
            return
        outcome = await owner.submit(message['job'], message['row'])
        self.set_status(STATUSES[outcome])
        self.finish()
