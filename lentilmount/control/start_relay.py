"""Sends the starts of a busy owner through other daemons, many in one message.

Load pattern: steps of tens of tasks, hundreds of starts a second. A start
carries the payload of its job, so an owner with a small link or a slow
processor sends the same kilobyte for each task of a step. Another daemon gets
it once, and makes the calls to the workers.

A relayed start is a start like any other: it carries the owner's fencing token
and a deadline on the worker's clock, it may be executed without an answer, and
the owner learns from the worker's reports whether it was.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

import attrs
import logbook
import orjson

from lentilmount.control.owner_load import OwnerLoad
from lentilmount.control.peer_handler import NOT_READY
from lentilmount.control.starts_handler import ANSWER_SECONDS, STARTS_PATH
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.scheduling.reports import WorkerEntry
from lentilmount.scheduling.start_window import measure_start
from lentilmount.upstream.http import CallKind, HttpResponse

log = logbook.Logger('relay')

GATHER_SECONDS = 0.002
"""Time for which starts are gathered; those of a written step come at once."""

MIN_STARTS = 3
"""Fewest starts of one job that are worth a message."""

RELAYS = 4
"""Number of daemons used at a time. Each opens connections of its own to the
workers, which accept 64."""

SKIP_FAILED_SECONDS = 3.0
"""Time for which a daemon that failed is not used."""

CONNECT_SECONDS = 0.2
"""Timeout for a connection to another daemon: if it is gone, the starts are
sent directly while they are still of use."""

HOP_SECONDS = 0.3
"""Added to that time for the way to the other daemon and back."""


MIN_ANSWERED_SHARE = 0.5
"""Share of the workers that must have answered another daemon for it to be used
again; it may be cut off from them."""


class StartSender(Protocol):
    """Sends starts to workers."""

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """Starts a run; see `WorkerClient.start`."""


@attrs.frozen
class _PendingStart:
    """A start that waits for others of its job.

    Attributes:
      worker: The worker.
      command: The start.
      answer: Gets the answer.
    """

    worker: WorkerEntry
    command: StartCommand
    answer: asyncio.Future[CommandAnswer]

    def encode(self) -> list[Any]:
        """Returns the row of the message; the payload is sent once for all."""
        return [
            self.worker.id,
            self.worker.address,
            self.command.task,
            self.command.run,
            self.command.lease_until_ms,
            self.command.checkpoint,
            self.command.ticket,
        ]

    def settle(self, answer: CommandAnswer) -> None:
        """Passes the answer on, unless the sender was cancelled."""
        if not self.answer.done():
            self.answer.set_result(answer)


@attrs.define
class RelayPool:
    """Chooses the daemons through which starts are sent.

    Attributes:
      list_daemons: Lists the internal addresses of other daemons, those with
        the most capacity first.
      monotonic: Returns monotonic time in seconds.
    """

    list_daemons: Callable[[], Sequence[str]]
    monotonic: Callable[[], float]
    _failed_at: dict[str, float] = attrs.Factory(dict)
    _cut_off: set[str] = attrs.Factory(set)
    _starts_under_way: collections.Counter[str] = attrs.Factory(
        collections.Counter
    )

    def choose(self) -> str:
        """Returns the daemon with the fewest starts under way, or ''.

        If all have failed, the cause may be here. Sent directly, the starts
        would take many times the bytes, so the one that failed first is tried
        again, but none that answers and reaches no worker.
        """
        known = self.list_daemons()
        usable = [address for address in known if not self._has_failed(address)]
        if usable:
            return min(
                usable[:RELAYS],
                key=lambda address: self._starts_under_way[address],
            )
        silent = [address for address in known if address not in self._cut_off]
        return min(silent, key=self._failed_at.__getitem__, default='')

    def _has_failed(self, address: str) -> bool:
        failed_at = self._failed_at.get(address)
        if failed_at is None:
            return False
        return self.monotonic() - failed_at < SKIP_FAILED_SECONDS

    def begin(self, address: str, starts: int) -> None:
        """Records that starts are sent through a daemon."""
        self._starts_under_way[address] += starts

    def end(
        self, address: str, starts: int, has_failed: bool, has_answered: bool
    ) -> None:
        """Records what became of starts sent through a daemon.

        Args:
          address: The daemon.
          starts: Number of starts.
          has_failed: Whether it has not reached most of the workers.
          has_answered: Whether it has answered nevertheless.
        """
        self._starts_under_way[address] -= starts
        if has_failed:
            self._failed_at[address] = self.monotonic()
        else:
            self._failed_at.pop(address, None)
        if has_failed and has_answered:
            self._cut_off.add(address)
        else:
            self._cut_off.discard(address)


@attrs.define(eq=False)
class StartRelay:
    """A `StartSender` that uses other daemons while this one is busy.

    Attributes:
      worker_client: Sends starts directly.
      pool: The other daemons.
      load: Load of this host.
      start_task: Runs a coroutine in the background.
    """

    worker_client: WorkerClient
    pool: RelayPool
    load: OwnerLoad
    start_task: Callable[[Coroutine[Any, Any, None]], None]
    _pending: dict[str, list[_PendingStart]] = attrs.Factory(dict)

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `StartSender`."""
        loop = asyncio.get_running_loop()
        pending = _PendingStart(worker, command, loop.create_future())
        if not self._pending:
            loop.call_later(GATHER_SECONDS, self._send_pending)
        self._pending.setdefault(command.payload, []).append(pending)
        return await pending.answer

    def _send_pending(self) -> None:
        batches, self._pending = list(self._pending.values()), {}
        total = sum(
            measure_start(start.command.payload)
            for starts in batches
            for start in starts
        )
        self.load.record(total)
        for starts in batches:
            self.start_task(self._send(starts))

    async def _send(self, starts: list[_PendingStart]) -> None:
        relay = ''
        if len(starts) >= MIN_STARTS and self.load.is_busy:
            relay = self.pool.choose()
        if not relay or not await self._send_through(relay, starts):
            await asyncio.gather(*map(self._send_directly, starts))

    async def _send_directly(self, start: _PendingStart) -> None:
        answer = await self.worker_client.start(start.worker, start.command)
        start.settle(answer)

    async def _send_through(
        self, relay: str, starts: list[_PendingStart]
    ) -> bool:
        """Sends starts through a daemon; returns False if it was not asked."""
        message = {
            'token': self.worker_client.token,
            'payload': starts[0].command.payload,
            'starts': [start.encode() for start in starts],
        }
        self.pool.begin(relay, len(starts))
        response = await self.worker_client.http_client.call(
            'POST',
            STARTS_PATH,
            orjson.dumps(message),
            timeout=ANSWER_SECONDS + HOP_SECONDS,
            base=f'http://{relay}',
            reads_headers=False,
            connect_timeout=CONNECT_SECONDS,
            kind=CallKind.START,
        )
        answers = _decode_answers(response, len(starts))
        has_failed = not _has_news(answers)
        self.pool.end(relay, len(starts), has_failed, response.status == 200)
        if has_failed:
            log.warning(
                'Cannot send starts through another daemon.',
                extra={
                    'daemon': relay,
                    'status': response.status,
                    'starts': len(starts),
                    'is_sent': response.was_sent,
                },
            )
        if response.status in _NOT_EXECUTED or not response.was_sent:
            return False
        for start, answer in zip(starts, answers, strict=True):
            start.settle(answer)
        return True


_NOT_EXECUTED = frozenset({NOT_READY, 404})
"""HTTP statuses of a daemon that has sent no start: one that shuts down, or one
of a version without this call."""

_NO_NEWS = CommandAnswer(CallStatus.UNKNOWN, was_asked=False)
"""Answer where the other daemon does not tell whether it called the worker."""


def _decode_answers(response: HttpResponse, count: int) -> list[CommandAnswer]:
    """Decodes an answer of `StartsHandler`, no news if it is not valid."""
    nothing = [_NO_NEWS] * count
    if response.status != 200:
        return nothing
    try:
        answers = [_decode_status(row) for row in orjson.loads(response.body)]
    except (ValueError, TypeError):
        return nothing
    return answers if len(answers) == count else nothing


def _decode_status(status: str | None) -> CommandAnswer:
    """Decodes the status of a start; null if the worker has not answered.

    A worker that does not answer another daemon may answer this one. Its clock
    is left out, as the answer was held for a while.

    Raises:
      ValueError: There is no such status.
    """
    if status is None or CallStatus(status) is CallStatus.UNKNOWN:
        return _NO_NEWS
    return CommandAnswer(CallStatus(status))


def _has_news(answers: list[CommandAnswer]) -> bool:
    """Returns whether a daemon has reached most of the workers."""
    answered = sum(answer.was_asked for answer in answers)
    return answered > MIN_ANSWERED_SHARE * len(answers)
