"""Starts of a busy owner that are sent through other daemons."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from typing import Any

import attrs
import orjson
import pytest
from tornado.web import Application

from lentilmount.clock import ManualClock
from lentilmount.control.loop_lag import LoopLag
from lentilmount.control.owner_load import OwnerLoad
from lentilmount.control.peer_handler import NOT_READY
from lentilmount.control.start_relay import (
    MIN_STARTS,
    SKIP_FAILED_SECONDS,
    RelayPool,
    StartRelay,
)
from lentilmount.control.starts_handler import STARTS_PATH, StartsHandler
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.reports import WorkerEntry
from lentilmount.upstream.http import CURL_ERROR, HttpClient, HttpResponse
from stand_ins.virtual_time import run_virtual
from tests.helpers import run
from tests.platform_fixtures import listen
from tests.scheduling_fixtures import add_worker, make_entry
from tests.test_placement_log import make_session
from tests.test_refused_stops import make_command_sender

PAYLOAD = 'x' * 1_200
SMALL_LINK = 250_000.0
WIDE_LINK = 1e9
STARTS = 40
RELAY = 'relay:1'
OTHER_RELAY = 'relay:2'
DEAF = 'w-deaf'


@attrs.define(eq=False)
class Daemons(HttpClient):
    """Answers messages to other daemons, and direct starts.

    Attributes:
      response: Answers to messages, by the daemon's address; by default all
        starts are done.
      messages: Messages received, with the daemon's address.
      sizes: Sizes of these messages in bytes.
      direct: Tasks started directly.
      seconds: Time that a daemon takes to answer.
    """

    response: dict[str, HttpResponse] = attrs.Factory(dict)
    messages: list[tuple[str, dict[str, Any]]] = attrs.Factory(list)
    sizes: list[int] = attrs.Factory(list)
    direct: list[str] = attrs.Factory(list)
    seconds: float = 0.01

    async def call(self, *arguments: Any, **options: Any) -> HttpResponse:
        """See `HttpClient`."""
        _, path, body = arguments[:3]
        document = orjson.loads(body)
        if path != STARTS_PATH:
            self.direct.append(document['task'])
            return HttpResponse(200, orjson.dumps({'clockMs': 5}), {})
        daemon = options['base'].removeprefix('http://')
        self.messages.append((daemon, document))
        self.sizes.append(len(body))
        await asyncio.sleep(self.seconds)
        done = ['done'] * len(document['starts'])
        return self.response.get(
            daemon, HttpResponse(200, orjson.dumps(done), {})
        )


@attrs.define(eq=False)
class Sender:
    """An owner's relay on a virtual clock.

    Attributes:
      clock: The clock.
      daemons: The other daemons and the workers.
      relay: The relay.
      pool: Its daemons.
    """

    clock: ManualClock
    daemons: Daemons
    relay: StartRelay
    pool: RelayPool

    async def send(
        self, count: int = STARTS, payload: str = PAYLOAD
    ) -> list[CommandAnswer]:
        """Sends starts of one job at once; returns the answers."""
        return list(
            await asyncio.gather(
                *(
                    self.relay.start(
                        make_entry(f'w-{number}'),
                        StartCommand(f't.{number}', 1, payload, 99),
                    )
                    for number in range(count)
                )
            )
        )


def make_sender(
    link: float = SMALL_LINK, relays: tuple[str, ...] = (RELAY, OTHER_RELAY)
) -> Sender:
    """Returns a sender whose host has a link of that rate."""
    clock = ManualClock()
    daemons = Daemons()
    pool = RelayPool(lambda: relays, clock.monotonic)
    tasks: set[asyncio.Task[None]] = set()

    def start_task(work: Coroutine[Any, Any, None]) -> None:
        tasks.add(asyncio.get_running_loop().create_task(work))

    relay = StartRelay(
        WorkerClient(daemons, 4, 0.8),
        pool,
        OwnerLoad(link, clock.monotonic, LoopLag(clock.monotonic)),
        start_task,
    )
    return Sender(clock, daemons, relay, pool)


def play(sender: Sender, work: Coroutine[Any, Any, Any]) -> Any:
    """Runs work on the sender's clock."""
    return run_virtual(work, sender.clock)


def test_a_busy_owner_sends_a_payload_once_for_a_step() -> None:
    """A payload was sent once for each of the tens of tasks of a step."""
    sender = make_sender()
    answers = play(sender, sender.send(2 * STARTS))
    assert [a.status for a in answers] == [CallStatus.DONE] * 2 * STARTS
    assert sender.daemons.direct == []
    (message,) = sender.daemons.messages
    assert message[1]['token'] == 4
    assert len(message[1]['starts']) == 2 * STARTS
    assert sender.daemons.sizes[0] < 0.2 * 2 * STARTS * len(PAYLOAD)


def test_an_owner_with_room_on_its_link_calls_the_workers_itself() -> None:
    """A call through another daemon takes longer and fails in more ways."""
    sender = make_sender(WIDE_LINK)
    play(sender, sender.send())
    assert sender.daemons.messages == []
    assert len(sender.daemons.direct) == STARTS


def test_few_starts_of_a_job_are_sent_directly() -> None:
    """A message of its own for each start saves nothing."""
    sender = make_sender()

    async def send() -> None:
        await sender.send()
        await sender.send(MIN_STARTS - 1, 'other')

    play(sender, send())
    assert len(sender.daemons.direct) == MIN_STARTS - 1


@pytest.mark.parametrize(
    'refusal',
    [
        HttpResponse(NOT_READY, b'', {}),
        HttpResponse(CURL_ERROR, b'', {}, False),
    ],
)
def test_starts_that_a_daemon_did_not_get_are_sent_directly(
    refusal: HttpResponse,
) -> None:
    """A daemon that is gone kept the starts of a step for seconds."""
    sender = make_sender(relays=(RELAY,))
    sender.daemons.response[RELAY] = refusal
    answers = play(sender, sender.send())
    assert [a.status for a in answers] == [CallStatus.DONE] * STARTS
    assert len(sender.daemons.direct) == STARTS


def test_starts_that_a_daemon_may_have_sent_are_not_sent_again() -> None:
    """A second copy whose rejection is taken for the first one's runs twice."""
    sender = make_sender(relays=(RELAY,))
    sender.daemons.response[RELAY] = HttpResponse(CURL_ERROR, b'', {}, True)
    answers = play(sender, sender.send())
    assert sender.daemons.direct == []
    assert {a.status for a in answers} == {CallStatus.UNKNOWN}


def test_a_lost_message_says_nothing_about_the_workers() -> None:
    """Workers were taken for deaf as another daemon did not answer."""
    sender = make_sender(relays=(RELAY,))
    sender.daemons.response[RELAY] = HttpResponse(CURL_ERROR, b'', {}, True)
    answers = play(sender, sender.send())
    assert not any(a.was_asked for a in answers)


def test_one_silent_worker_does_not_hold_up_the_answers_of_others() -> None:
    """A step was confirmed only after the timeout of its slowest worker."""
    sender = make_sender(relays=(RELAY,))
    rows: list[str | None] = ['done'] * STARTS
    rows[3] = None
    sender.daemons.response[RELAY] = HttpResponse(200, orjson.dumps(rows), {})
    answers = play(sender, sender.send())
    assert answers[3] == CommandAnswer(CallStatus.UNKNOWN, was_asked=False)
    assert answers[4] == CommandAnswer(CallStatus.DONE)


@pytest.mark.parametrize('body', [b'', b'{}', b'[]', b'["done"]', b'[3]'])
def test_an_answer_that_is_not_valid_counts_as_none(body: bytes) -> None:
    """A malformed answer ended the owner."""
    sender = make_sender(relays=(RELAY,))
    sender.daemons.response[RELAY] = HttpResponse(200, body, {})
    answers = play(sender, sender.send())
    assert {a.status for a in answers} == {CallStatus.UNKNOWN}


def test_a_daemon_that_failed_is_left_out_for_a_while() -> None:
    """Each step lost a second to a daemon that was known to be gone."""
    sender = make_sender()
    sender.daemons.response[RELAY] = HttpResponse(CURL_ERROR, b'', {}, True)

    async def send() -> None:
        await sender.send()
        await sender.send()
        await asyncio.sleep(SKIP_FAILED_SECONDS)
        await sender.send()
        await sender.send()

    play(sender, send())
    used = [daemon for daemon, _ in sender.daemons.messages]
    assert used == [RELAY, OTHER_RELAY, RELAY, OTHER_RELAY]


def test_messages_are_spread_over_the_daemons() -> None:
    """All steps of a pass waited for one daemon."""
    sender = make_sender()

    async def send() -> None:
        await asyncio.gather(sender.send(), sender.send(payload='y' * 1_200))

    play(sender, send())
    used = {daemon for daemon, _ in sender.daemons.messages}
    assert used == {RELAY, OTHER_RELAY}


def test_a_late_processor_makes_the_owner_busy() -> None:
    """An owner with a wide link and a slow processor did all calls itself."""
    clock = ManualClock()
    lag = LoopLag(clock.monotonic)
    load = OwnerLoad(WIDE_LINK, clock.monotonic, lag)
    load.record(1_000)
    assert not load.is_busy
    for _ in range(20):
        lag.add(0.1)
    assert load.is_busy
    for _ in range(50):
        lag.add(0.0)
    assert not load.is_busy


class _DeafWorkerClient(WorkerClient):
    """A client for workers, one of which never answers."""

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if worker.id == DEAF:
            await asyncio.sleep(3600)
        assert worker.address == f'{worker.id}:1'
        assert command.payload == PAYLOAD
        return CommandAnswer(CallStatus.NO_ROOM, self.token)


def test_a_deaf_worker_does_not_hold_up_the_answers_of_others() -> None:
    """A step was confirmed only after the timeout of its slowest worker."""

    async def scenario() -> list[CommandAnswer]:
        application = Application(
            [
                (
                    STARTS_PATH,
                    StartsHandler,
                    {
                        'make_worker_client': lambda token: _DeafWorkerClient(
                            HttpClient(''), token, 0.8
                        ),
                        'is_closing': lambda: False,
                    },
                )
            ]
        )
        started: list[asyncio.Task[None]] = []
        async with contextlib.AsyncExitStack() as stack:
            address = listen(application, stack).removeprefix('http://')
            relay = StartRelay(
                WorkerClient(HttpClient(''), 4, 0.8),
                RelayPool(lambda: [address], time.monotonic),
                OwnerLoad(1.0, time.monotonic, LoopLag(time.monotonic)),
                lambda work: started.append(asyncio.create_task(work)),
            )
            calls = [
                relay.start(make_entry(name), StartCommand('t', 1, PAYLOAD, 99))
                for name in ('w-1', DEAF, 'w-3')
            ]
            return list(await asyncio.gather(*calls))

    first, deaf, last = run(scenario())
    assert first == last == CommandAnswer(CallStatus.NO_ROOM)
    assert deaf == CommandAnswer(CallStatus.UNKNOWN, was_asked=False)


def test_a_worker_that_may_not_have_been_called_is_not_deaf() -> None:
    """Workers got no tasks as another daemon had lost a message."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w-1')
    session = make_session(cluster, worker)
    sender = make_command_sender(
        cluster, WorkerClient(HttpClient(''), 1, 0.8), session, []
    )
    lost = CommandAnswer(CallStatus.UNKNOWN, was_asked=False)

    async def call() -> CommandAnswer:
        return lost

    run(sender._channel.call(session, call()))
    assert worker.answers_commands
