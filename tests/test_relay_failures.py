"""Daemons that send starts for an owner and fail otherwise than by silence."""

from __future__ import annotations

import asyncio
import math
from unittest import mock

import orjson
import pytest

from lentilmount.control.candidates import Candidates
from lentilmount.control.start_relay import RELAYS, SKIP_FAILED_SECONDS
from lentilmount.control.starts_handler import ANSWER_SECONDS
from lentilmount.control.worker_leases import START_TIMEOUT_SECONDS
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.upstream.http import CURL_ERROR, HttpClient, HttpResponse
from stand_ins.virtual_time import run_virtual
from tests.helpers import run
from tests.scheduling_fixtures import add_worker
from tests.test_placement_log import make_session
from tests.test_refused_stops import make_command_sender
from tests.test_relay_schedules import RelayFault, RelayNetwork
from tests.test_small_links import HOSTS, MANY
from tests.test_start_relay import (
    OTHER_RELAY,
    PAYLOAD,
    RELAY,
    STARTS,
    make_sender,
    play,
)

CUT_SECONDS = 6.0


def test_a_daemon_that_reaches_no_worker_is_left_out_for_a_while() -> None:
    """Starts went on through a daemon that was cut off from the workers."""
    sender = make_sender()
    no_news = HttpResponse(200, orjson.dumps([None] * STARTS), {})
    sender.daemons.response[RELAY] = no_news

    async def send() -> None:
        for _ in range(3):
            await sender.send()

    play(sender, send())
    used = [daemon for daemon, _ in sender.daemons.messages]
    assert used == [RELAY, OTHER_RELAY, OTHER_RELAY]


def test_workers_are_not_deaf_as_another_daemon_cannot_reach_them() -> None:
    """All workers were taken for deaf as one other daemon was cut off."""
    sender = make_sender(relays=(RELAY,))
    unreachable = HttpResponse(
        200, orjson.dumps([['unknown', None]] * STARTS), {}
    )
    sender.daemons.response[RELAY] = unreachable
    answer: CommandAnswer = play(sender, sender.send())[0]
    assert answer.status is CallStatus.UNKNOWN
    assert sender.daemons.direct == []

    cluster = ClusterState()
    worker = add_worker(cluster, 'w-1')
    session = make_session(cluster, worker)
    commands = make_command_sender(
        cluster, WorkerClient(HttpClient(''), 1, 0.8), session, []
    )

    async def call() -> CommandAnswer:
        return answer

    run(commands._channel.call(session, call()))
    assert worker.answers_commands


def test_a_daemon_of_an_older_version_gets_no_starts_for_nothing() -> None:
    """Starts waited for a second copy as an older daemon had answered 404."""
    sender = make_sender(relays=(RELAY,))
    sender.daemons.response[RELAY] = HttpResponse(404, b'', {})
    answers = play(sender, sender.send())
    assert {a.status for a in answers} == {CallStatus.DONE}


@pytest.mark.parametrize(
    'row', [{}, ['done'], [], ['done', 7], 'finished', 5, {'0': 'done'}]
)
def test_a_row_of_another_form_counts_as_no_answer(row: object) -> None:
    """An answer of another form ended the owner, as its background failed."""
    sender = make_sender(relays=(RELAY,))
    body = orjson.dumps([row] * STARTS)
    sender.daemons.response[RELAY] = HttpResponse(200, body, {})
    answers = play(sender, asyncio.wait_for(sender.send(), 5.0))
    assert {a.status for a in answers} == {CallStatus.UNKNOWN}


def test_an_answer_carries_no_clock() -> None:
    """A clock that was held, or of another type, went into a session."""
    sender = make_sender(relays=(RELAY,))
    answers = play(sender, sender.send())
    assert sender.daemons.direct == []
    assert {a.status for a in answers} == {CallStatus.DONE}
    assert {a.clock_ms for a in answers} == {None}


def test_a_slow_link_of_the_owner_does_not_make_it_send_directly() -> None:
    """Messages that timed out on a full link were followed by 40 times as much.

    The owner took its own queue for the failure of all other daemons, and then
    sent each payload once for each start, on the same link.
    """
    relays = tuple(f'relay:{number}' for number in range(RELAYS))
    sender = make_sender(relays=relays)
    timeout = HttpResponse(CURL_ERROR, b'timed out', {}, True)
    sender.daemons.response = dict.fromkeys(relays, timeout)
    sender.daemons.seconds = 0.1
    assert RELAYS * sender.daemons.seconds < SKIP_FAILED_SECONDS

    async def send() -> None:
        for _ in range(RELAYS + 1):
            await sender.send()

    play(sender, send())
    assert sender.daemons.direct == []


def test_a_relayed_answer_does_not_make_a_clock_seem_behind() -> None:
    """Workers seemed to have restarted, by clocks that another daemon held.

    It returns all answers with that of the slowest worker, up to 0.5 s later,
    and a poll has shown a newer clock meanwhile.
    """
    sender = make_sender(relays=(RELAY,))
    sender.daemons.seconds = ANSWER_SECONDS
    cluster = ClusterState()
    worker = add_worker(cluster, 'w-0')
    session = make_session(cluster, worker, sender.clock)
    commands = make_command_sender(
        cluster, WorkerClient(HttpClient(''), 1, 0.8), session, []
    )

    async def scenario() -> float:
        # The clock of the worker is that of the test, in milliseconds.
        started_ms = 1000
        session.update_clock(started_ms)
        sender.daemons.response[RELAY] = HttpResponse(
            200, orjson.dumps(['done'] * STARTS), {}
        )
        first = sender.relay.start(
            worker.entry, StartCommand('t', 1, PAYLOAD, 99_999)
        )
        call = asyncio.create_task(commands._channel.call(session, first))
        others = asyncio.create_task(sender.send(STARTS - 1))
        await asyncio.sleep(0.4)
        session.update_clock(started_ms + 400)
        answer = await call
        await others
        assert answer.status is CallStatus.DONE
        assert sender.daemons.direct == []
        return session.clock_behind_at

    assert play(sender, scenario()) == -math.inf


def test_a_relayed_answer_does_not_set_a_clock_back() -> None:
    """Deadlines were half a second early, by clocks that a daemon had held."""
    sender = make_sender(relays=(RELAY,))
    sender.daemons.seconds = ANSWER_SECONDS
    cluster = ClusterState()
    worker = add_worker(cluster, 'w-0')
    session = make_session(cluster, worker, sender.clock)
    commands = make_command_sender(
        cluster, WorkerClient(HttpClient(''), 1, 0.8), session, []
    )

    async def scenario() -> tuple[int, int]:
        started_ms = 1000
        session.update_clock(started_ms)
        sender.daemons.response[RELAY] = HttpResponse(
            200, orjson.dumps(['done'] * STARTS), {}
        )
        before = sender.clock.now
        first = sender.relay.start(
            worker.entry, StartCommand('t', 1, PAYLOAD, 99_999)
        )
        call = asyncio.create_task(commands._channel.call(session, first))
        others = asyncio.create_task(sender.send(STARTS - 1))
        await call
        await others
        now_ms = started_ms + int(1000 * (sender.clock.now - before))
        return session.choose_start_deadline(), now_ms

    deadline_ms, now_ms = play(sender, scenario())
    assert deadline_ms >= now_ms + 1000 * START_TIMEOUT_SECONDS - 50


def test_an_owner_goes_on_while_other_daemons_reach_no_worker() -> None:
    """No start of a busy owner arrived as another daemon was cut off.

    The owner itself reached all workers.
    """
    scene = HOSTS['small-link'].make_scene(2.0)
    network = RelayNetwork()
    network.message_faults = [(RelayFault.CUT_OFF, 0.0)] * MANY
    scene.site.network = network
    with mock.patch.object(Candidates, 'list_largest', lambda self: [RELAY]):
        run_virtual(scene.play(CUT_SECONDS), scene.clock)
    assert network.messages
    half = 0.5 * HOSTS['small-link'].starts_per_second
    done = scene.count_done(scene.steady_at, scene.ended_at)
    assert done / CUT_SECONDS > 0.5 * half
