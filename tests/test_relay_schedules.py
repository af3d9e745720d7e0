"""State machine test of an owner that sends its starts through other daemons.

The same as in `test_session_state_machine`, except that each start goes through
another daemon, which fails as well.
"""

from __future__ import annotations

import asyncio
import contextvars
import enum
from typing import Any
from unittest import mock

import attrs
import orjson
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import rule

from lentilmount.control import start_relay, starts_handler
from lentilmount.control.candidates import Candidates
from lentilmount.control.owner_load import OwnerLoad
from lentilmount.control.peer_handler import NOT_READY
from lentilmount.platform.workers import WorkerClient
from lentilmount.upstream.http import CURL_ERROR, HttpResponse
from stand_ins import model_network
from stand_ins.model_network import CALL_SECONDS, NEVER, Link, Network
from stand_ins.model_owners import TIMEOUT_SECONDS
from tests.test_session_state_machine import (
    DELAYS,
    PAUSES,
    PAYLOADS,
    SessionMachine,
)

RELAYS = ['relay:1', 'relay:2']
GONE = HttpResponse(CURL_ERROR, b'', {}, False)

Origin = tuple[dict[str, int], float]
"""Incarnation of each worker when a message was sent, and the time of that."""

_origin: contextvars.ContextVar[Origin | None] = contextvars.ContextVar(
    'origin', default=None
)


class RelayFault(enum.Enum):
    """What happens to a message with starts.

    One to a GONE daemon is not sent, and a CLOSING one refuses it. UNANSWERED
    and LATE ones are carried out, at once and seconds later; SLOW ones are
    delayed on both ways. A daemon that is CUT_OFF reaches no worker.
    """

    NONE = 'none'
    GONE = 'gone'
    CLOSING = 'closing'
    UNANSWERED = 'unanswered'
    LATE = 'late'
    SLOW = 'slow'
    CUT_OFF = 'cut-off'


MessageFault = tuple[RelayFault, float]


@attrs.define(eq=False)
class RelayNetwork(Network):
    """Calls to model workers, and to daemons that send starts.

    Attributes:
      message_faults: Faults of the next messages, with delays in seconds.
      messages: Number of messages.
    """

    message_faults: list[MessageFault] = attrs.Factory(list)
    messages: int = 0
    _working: set[asyncio.Task[HttpResponse]] = attrs.Factory(set)

    async def _send(self, *arguments: Any) -> HttpResponse:
        """See `HttpClient`."""
        _, path, body, _, timeout = arguments[:5]
        if path != starts_handler.STARTS_PATH:
            return await super()._send(*arguments)
        self.messages += 1
        faults = self.message_faults
        fault, seconds = faults.pop(0) if faults else (RelayFault.NONE, 0.0)
        await asyncio.sleep(CALL_SECONDS)
        if fault is RelayFault.GONE:
            return GONE
        if fault is RelayFault.CLOSING:
            return HttpResponse(NOT_READY, b'', {})
        for link in self.links.values():
            if fault is not RelayFault.NONE:
                link.disturbed_at = asyncio.get_running_loop().time()
        work = asyncio.create_task(self._relay(body, fault, seconds))
        self._working.add(work)
        work.add_done_callback(self._working.discard)
        done, _ = await asyncio.wait({work}, timeout=timeout)
        return work.result() if done else HttpResponse(CURL_ERROR, b'', {})

    async def _relay(
        self, body: bytes, fault: RelayFault, seconds: float
    ) -> HttpResponse:
        """Makes the calls of a message, as `StartsHandler` does."""
        incarnations = {
            address: link.worker.incarnation if link.worker.is_up else 0
            for address, link in self.links.items()
        }
        _origin.set((incarnations, asyncio.get_running_loop().time()))
        self.late_calls += 1
        try:
            await asyncio.sleep(seconds)
            message = orjson.loads(body)
            rows = message['starts']
            if fault is RelayFault.CUT_OFF:
                await asyncio.sleep(starts_handler.ANSWER_SECONDS)
                return HttpResponse(200, orjson.dumps([None for _ in rows]), {})
            client = WorkerClient(self, message['token'], TIMEOUT_SECONDS)
            calls = [
                asyncio.create_task(
                    starts_handler._start(client, row, message['payload'])
                )
                for row in rows
            ]
            await asyncio.wait(calls, timeout=starts_handler.ANSWER_SECONDS)
        finally:
            self.late_calls -= 1
        if fault in (RelayFault.UNANSWERED, RelayFault.LATE):
            await asyncio.sleep(NEVER)
        await asyncio.sleep(seconds)
        answers = [call.result() if call.done() else None for call in calls]
        return HttpResponse(200, orjson.dumps(answers), {})

    def _deliver(
        self, link: Link, path: str, body: bytes, delay: float, expected: str
    ) -> asyncio.Future[tuple[int, dict[str, object]] | None]:
        """Carries out a call; a relayed one is as old as its message."""
        origin = _origin.get()
        if origin is None:
            return super()._deliver(link, path, body, delay, expected)
        incarnations, sent_at = origin
        sent_to = incarnations.get(link.worker.address, 0)
        loop = asyncio.get_running_loop()
        arrival: asyncio.Future[tuple[int, dict[str, object]] | None]
        arrival = loop.create_future()
        self.late_calls += 1

        def deliver() -> None:
            self.late_calls -= 1
            response = None
            if link.worker.is_up:
                is_late = sent_to != link.worker.incarnation
                response = model_network._carry_out(
                    link, path, body, is_late, sent_at, expected
                )
            if not arrival.done():
                arrival.set_result(response)

        loop.call_later(delay, deliver)
        return arrival


MESSAGE_FAULTS = strategies.one_of(
    strategies.sampled_from(
        [
            (RelayFault.NONE, 0.0),
            (RelayFault.GONE, 0.0),
            (RelayFault.CLOSING, 0.0),
            (RelayFault.UNANSWERED, 0.0),
            (RelayFault.CUT_OFF, 0.0),
            (RelayFault.SLOW, 0.1),
            (RelayFault.SLOW, 0.35),
        ]
    ),
    DELAYS.map(lambda seconds: (RelayFault.LATE, seconds)),
)


class RelayMachine(SessionMachine):
    """An owner that sends each start through daemons that fail at random."""

    def __init__(self) -> None:
        super().__init__()
        self.network = RelayNetwork()
        self.site.network = self.network

    @rule(
        payload=PAYLOADS,
        faults=strategies.lists(MESSAGE_FAULTS, min_size=1, max_size=4),
        seconds=PAUSES,
    )
    def submit_through(
        self, payload: str, faults: list[MessageFault], seconds: float
    ) -> None:
        """Submits a job whose messages fail."""
        self.network.message_faults[:] = faults
        self.act(lambda: self.submit_job(payload, False), seconds)

    def teardown(self) -> None:
        """Removes all faults and checks that every job ends."""
        self.network.message_faults.clear()
        super().teardown()
        assert self.network.messages


class TestRelayMachine(RelayMachine.TestCase):  # type: ignore[misc, valid-type]
    """Runs the state machine with a host that is always busy."""

    settings = settings(
        max_examples=60,
        stateful_step_count=20,
        derandomize=True,
        deadline=None,
        # To shrink a schedule takes minutes.
        phases=(Phase.explicit, Phase.generate),
    )

    def runTest(self) -> None:
        """Runs the state machine."""
        with (
            mock.patch.object(start_relay, 'MIN_STARTS', 1),
            mock.patch.object(OwnerLoad, 'is_busy', True),
            mock.patch.object(
                Candidates, 'list_largest', lambda self: list(RELAYS)
            ),
        ):
            super().runTest()
