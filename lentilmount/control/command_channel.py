"""Calls of commands to workers; each answer updates the worker's session."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

import attrs

from lentilmount.control.command_state import record_command
from lentilmount.control.session_listener import SessionListener
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    WorkerClient,
)

RETRY_SECONDS = 0.1
"""Delay before an unanswered command is sent again; doubles each time."""

MAX_RETRY_SECONDS = 1.0
"""Upper bound on that delay."""

_WITHOUT_EFFECT = frozenset(
    {
        CallStatus.UNKNOWN,
        CallStatus.REFUSED,
        CallStatus.OTHER_INSTANCE,
        CallStatus.INVALID,
    }
)
"""Answers that do not show that a worker has carried out a stop."""


@attrs.define
class Backoff:
    """Delays between the copies of a command; each doubles the one before."""

    _seconds: float = attrs.Factory(lambda: RETRY_SECONDS)

    async def wait(self) -> None:
        """Waits before a command is sent again."""
        await asyncio.sleep(self._seconds)
        self._seconds = min(2 * self._seconds, MAX_RETRY_SECONDS)


@attrs.frozen(eq=False)
class CommandChannel:
    """Sends single commands and records their answers.

    Attributes:
      worker_client: Sends calls to workers.
      sessions: Sessions of the workers, by worker id.
      listener: Notified when the lease of the service is lost.
    """

    worker_client: WorkerClient
    sessions: dict[str, WorkerSession]
    listener: SessionListener

    async def call(
        self, session: WorkerSession, call: Awaitable[CommandAnswer]
    ) -> CommandAnswer:
        """Makes a call and records its answer.

        The clock in the answer may be that of an earlier incarnation of the
        worker, or of another worker at its address.
        """
        incarnation = session.incarnation
        answer = await call
        if answer.was_asked:
            record_command(session.worker, answer.status)
        is_other = answer.status is CallStatus.OTHER_INSTANCE
        if session.incarnation == incarnation and not is_other:
            session.update_clock(answer.clock_ms)
        return answer

    async def send_stop(
        self, session: WorkerSession, name: str, run: int
    ) -> CallStatus:
        """Sends a stop once; returns its status."""
        answer = await self.call(
            session, self.worker_client.stop(session.worker.entry, name, run)
        )
        if answer.status is CallStatus.FENCED:
            self.listener.handle_lease_lost(
                f'{session.worker.id} has seen a higher token'
            )
        return answer.status

    async def probe(self, session: WorkerSession, name: str, run: int) -> None:
        """Sends commands to a worker until it answers one.

        Its last command may have been executed without an answer, so the run
        may be active there. The probe stops the run before it instead, which
        is harmless at any time. A worker is probed once at a time.
        """
        if session.is_probed:
            return
        session.is_probed = True
        backoff = Backoff()
        try:
            while self._ignores_commands(session):
                await backoff.wait()
                await self.send_stop(session, name, run - 1)
        finally:
            session.is_probed = False

    def _ignores_commands(self, session: WorkerSession) -> bool:
        worker = session.worker
        is_known = self.sessions.get(worker.id) is session and worker.reachable
        return is_known and not worker.answers_commands


def is_accepted(status: CallStatus) -> bool:
    """Returns whether an answer shows that a worker carried out a stop."""
    return status not in _WITHOUT_EFFECT
