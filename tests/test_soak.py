"""Soak: each check can fail, plans are repeatable, and a short play passes."""

from __future__ import annotations

import asyncio
import contextlib
import io
import math
import pathlib
from collections.abc import Callable

import attrs
import orjson
import pytest
from tornado.web import Application, RequestHandler

from lentilmount.context import Environment
from lentilmount.upstream.http import CURL_ERROR, HttpClient
from soak import core
from soak.checks import (
    CALL_SECONDS,
    CANCEL_SECONDS,
    Record,
    Violation,
    check,
    count_copies,
    count_unexplained_exits,
    find_cancelled_runs,
    find_early_starts,
    find_lost_jobs,
    find_overcommitted_workers,
    find_overlaps,
    find_repeats,
    find_starts_after_crashes,
    find_starts_in_cordoned_zones,
    find_unasked_runs,
    make_record,
)
from soak.clients import MAX_RETURNS, Clients
from soak.events import Event, EventKind, EventLog, read_events
from soak.links import Link
from soak.plan import Fault, FaultKind, Job, Size, make_plan
from soak.work import Work, WorkKind, encode_payload
from soak.worker import ServedWorker, make_service
from stand_ins.entry_hosts import serve
from stand_ins.limits import CORDON_SECONDS, SHRINK_SECONDS
from stand_ins.model_worker import START_PATH, ModelWorker
from tests.helpers import run
from tests.socket_fixtures import serve_connections

WORK = Work(WorkKind.DONE, 1.0)
JOB = Job(0.0, 'a', 0, ((WORK,), (WORK,)))
FIRST, SECOND = 'a.0.0.0', 'a.0.1.0'
CRASHING_JOB = Job(0.0, 'c', 0, ((Work(WorkKind.CRASH_ANSWERED, 1.0),),))
CRASHING_TASK = 'c.0.0.0'
SIZE = Size(20.0, 4, 10)


def start(at: float, worker: str, task: str = FIRST, run: int = 1) -> Event:
    return Event(at, EventKind.STARTED, worker, 1, task, run)


def end(
    at: float, worker: str, how: str = 'done', task: str = FIRST, run: int = 1
) -> Event:
    return Event(at, EventKind.ENDED, worker, 1, task, run, how)


def acknowledge(at: float, worker: str) -> Event:
    return Event(at, EventKind.ACKNOWLEDGED, worker, 1, FIRST, 1, 'done')


def tell(at: float, kind: EventKind, detail: str = '') -> Event:
    return Event(at, kind, task='a', detail=detail)


CLEAN = [
    tell(0.0, EventKind.ACCEPTED),
    start(1.0, 'w1'),
    end(2.0, 'w1'),
    acknowledge(2.1, 'w1'),
    start(2.2, 'w2', SECOND),
    end(3.2, 'w2', 'done', SECOND),
    tell(4.0, EventKind.STATE, 'completed'),
]

FAULTY: dict[str, tuple[Callable[[Record], list[Violation]], list[Event]]] = {
    'two runs at once': (
        find_overlaps,
        [start(1.0, 'w1'), start(1.5, 'w2', run=2), end(2.0, 'w1')],
    ),
    'two runs at once, one on a suspended worker with a lease': (
        find_overlaps,
        [
            start(1.0, 'w1'),
            start(4.0, 'w2', run=2),
            attrs.evolve(end(9.0, 'w1', 'lapsed'), until=5.0),
        ],
    ),
    'a start after an acknowledged end': (
        find_repeats,
        [
            start(1.0, 'w1'),
            end(2.0, 'w1'),
            start(3.0, 'w2', run=2),
            acknowledge(4.0, 'w1'),
        ],
    ),
    'a start while a task of the step before runs': (
        find_early_starts,
        [start(1.0, 'w1'), start(1.5, 'w2', SECOND), end(2.0, 'w1')],
    ),
    'a start after a task of the step before failed': (
        find_early_starts,
        [start(1.0, 'w1'), end(1.5, 'w1', 'failed'), start(2, 'w2', SECOND)],
    ),
    'a run of a rejected job': (
        find_unasked_runs,
        [tell(0.0, EventKind.REJECTED), start(1.0, 'w1')],
    ),
    'a run of a job between its rejection and the return of its client': (
        find_unasked_runs,
        [
            tell(0.0, EventKind.REJECTED),
            start(1.0, 'w1'),
            tell(2.0, EventKind.RETURNED),
            tell(2.1, EventKind.ACCEPTED),
            tell(9.0, EventKind.STATE, 'completed'),
        ],
    ),
    'a run of a job before it is rejected': (
        find_unasked_runs,
        [
            start(1.0, 'w1'),
            tell(1.1, EventKind.REJECTED),
            tell(2.0, EventKind.RETURNED),
            tell(2.1, EventKind.ACCEPTED),
            tell(9.0, EventKind.STATE, 'completed'),
        ],
    ),
    'a run of a job that is rejected once more': (
        find_unasked_runs,
        [
            tell(0.0, EventKind.REJECTED),
            tell(1.0, EventKind.RETURNED),
            tell(1.1, EventKind.REJECTED),
            start(1.2, 'w1'),
        ],
    ),
    'a run of an unknown job': (
        find_unasked_runs,
        [start(1.0, 'w1', 'b.0.0.0')],
    ),
    'a run that goes on after its cancellation': (
        find_cancelled_runs,
        [
            start(1.0, 'w1'),
            tell(2.0, EventKind.CANCELLED),
            tell(3.0 + CANCEL_SECONDS, EventKind.FINISHED),
        ],
    ),
    'a start long after the cancellation': (
        find_cancelled_runs,
        [
            tell(2.0, EventKind.CANCELLED),
            start(3.0 + CANCEL_SECONDS, 'w1'),
            end(4.0 + CANCEL_SECONDS, 'w1'),
        ],
    ),
    'a job that does not end': (
        find_lost_jobs,
        [tell(0.0, EventKind.ACCEPTED), tell(9.0, EventKind.STATE, 'running')],
    ),
    'a job that is shown as failed': (
        find_lost_jobs,
        [tell(0.0, EventKind.ACCEPTED), tell(9.0, EventKind.STATE, 'failed')],
    ),
    'a job that is shown as failed after one crash': (
        find_lost_jobs,
        [
            tell(0.0, EventKind.ACCEPTED),
            start(1.0, 'w1'),
            Event(2.0, EventKind.KILLED, 'w1', 1),
            tell(9.0, EventKind.STATE, 'failed'),
        ],
    ),
    'a task that is started ever again after three crashes': (
        find_starts_after_crashes,
        [
            event
            for run in range(1, 7)
            for event in (
                start(run, f'w{run}', CRASHING_TASK, run),
                Event(run + 0.1, EventKind.CRASHED, f'w{run}', 1),
            )
        ],
    ),
    'a start on a worker that shrank long ago': (
        find_overcommitted_workers,
        [
            start(1.0, 'w1'),
            Event(1.5, EventKind.RESIZED, 'w1', 1, detail='1.5'),
            start(1.6 + SHRINK_SECONDS, 'w1', SECOND),
        ],
    ),
    'a start on a worker that was never larger': (
        find_overcommitted_workers,
        [
            Event(0.0, EventKind.RESIZED, 'w1', 1, detail='1.5'),
            start(5.0, 'w1'),
            Event(5.1, EventKind.RESIZED, 'w1', 1, detail='0.5'),
            start(5.2, 'w1', SECOND),
        ],
    ),
    'a start in a zone that was cordoned long ago': (
        find_starts_in_cordoned_zones,
        [
            Event(0.0, EventKind.REGISTERED, 'w1', 1, detail='north'),
            Event(1.0, EventKind.CORDONED, 'south'),
            Event(2.0, EventKind.CORDONED, 'north'),
            start(2.1 + CORDON_SECONDS + CALL_SECONDS, 'w1'),
        ],
    ),
    'a start in a zone that was cordoned again': (
        find_starts_in_cordoned_zones,
        [
            Event(0.0, EventKind.REGISTERED, 'w1', 1, detail='north'),
            Event(1.0, EventKind.CORDONED, 'north'),
            Event(9.0, EventKind.UNCORDONED, 'north'),
            start(9.5, 'w1'),
            Event(10.0, EventKind.CORDONED, 'north'),
            start(20.0, 'w1', SECOND),
        ],
    ),
    'a job of which nothing is known': (
        find_lost_jobs,
        [tell(0.0, EventKind.ACCEPTED)],
    ),
}


def test_a_clean_record_has_no_violations() -> None:
    """A check that always fails would hide what the others find."""
    assert check(make_record(CLEAN, [JOB])) == []


@pytest.mark.parametrize('name', FAULTY)
def test_a_check_finds_a_broken_promise(name: str) -> None:
    """A check that cannot fail would let a fault pass."""
    find, events = FAULTY[name]
    record = make_record(events, [JOB, CRASHING_JOB])
    assert len(find(record)) == 1
    assert find(record)[0] in check(record)


def test_a_run_ends_with_its_worker_or_its_lease() -> None:
    """A suspended worker tells of the end of a lease when it wakes up."""
    lapsed = attrs.evolve(end(9.0, 'w1', 'lapsed'), until=3.0)
    events = [
        start(1.0, 'w1'),
        start(4.0, 'w2', run=2),
        Event(5.0, EventKind.KILLED, 'w2', 1),
        start(6.0, 'w3', run=3),
        lapsed,
    ]
    record = make_record(events, [JOB])
    assert find_overlaps(record) == []
    ends = [(found.end, found.how) for found in record.runs[FIRST]]
    assert ends == [(3.0, 'lapsed'), (5.0, 'crashed'), (math.inf, '')]


def test_a_worker_that_has_just_shrunk_may_be_full() -> None:
    """A start that no owner could know to be too much would be reported."""
    events = [
        start(1.0, 'w1'),
        Event(1.5, EventKind.RESIZED, 'w1', 1, detail='1.5'),
        start(1.4 + SHRINK_SECONDS, 'w1', SECOND),
    ]
    assert find_overcommitted_workers(make_record(events, [JOB])) == []


def test_a_job_may_be_given_up_after_two_crashes() -> None:
    """A job under which two workers had crashed was reported as lost."""
    events = [
        tell(0.0, EventKind.ACCEPTED),
        start(1.0, 'w1'),
        Event(2.0, EventKind.KILLED, 'w1', 1),
        start(3.0, 'w2', run=2),
        Event(4.0, EventKind.KILLED, 'w2', 1),
        tell(9.0, EventKind.STATE, 'failed'),
    ]
    assert find_lost_jobs(make_record(events, [JOB])) == []


def test_a_refused_job_may_run_once_it_is_submitted_again() -> None:
    """A job that was accepted at the second try was reported as unasked."""
    events = [
        tell(0.0, EventKind.REJECTED),
        tell(0.5, EventKind.RETURNED),
        *(attrs.evolve(event, at=event.at + 1) for event in CLEAN),
    ]
    assert check(make_record(events, [JOB])) == []


class RefusingHandler(RequestHandler):
    """Refuses a number of submissions, then accepts one."""

    def initialize(self, retry_after: list[str | None]) -> None:
        """Receives the header of each refusal; None for one without."""
        self._retry_after = retry_after

    def post(self) -> None:
        """Answers a submission."""
        if not self._retry_after:
            return
        self.set_status(503)
        seconds = self._retry_after.pop(0)
        if seconds is not None:
            self.set_header('Retry-After', seconds)


@pytest.mark.parametrize(
    ('retry_after', 'waits', 'last'),
    [
        ([], [], EventKind.ACCEPTED),
        (['2', '7'], [2.0, 7.0], EventKind.ACCEPTED),
        ([None], [], EventKind.REJECTED),
        (['1'] * 9, [1.0] * MAX_RETURNS, EventKind.REJECTED),
    ],
)
def test_a_refused_client_returns_when_it_is_told_to(
    retry_after: list[str | None],
    waits: list[float],
    last: EventKind,
    tmp_path: pathlib.Path,
) -> None:
    """Clients that never return, or at once, would not show an overload."""
    slept: list[float] = []

    async def sleep(seconds: float) -> None:
        slept.append(seconds)

    async def play() -> None:
        log = EventLog(tmp_path / 'soak.jsonl')
        handler = ('.*', RefusingHandler, {'retry_after': retry_after})
        server, address = serve(Application([handler]))
        client = HttpClient('')
        await Clients(client, lambda: [address], log, sleep).play(JOB)
        client.close()
        server.stop()
        log.close()

    run(play())
    events = read_events([tmp_path / 'soak.jsonl'])
    assert slept == waits
    assert events[-1].kind is last
    returns = [e.detail for e in events if e.kind is EventKind.RETURNED]
    assert list(map(float, returns)) == waits


def test_a_start_for_an_earlier_incarnation_is_excused() -> None:
    """No owner can prevent that a restarted worker carries out a late call."""
    late = attrs.evolve(start(1.5, 'w2', run=2), is_late=True)
    record = make_record([start(1.0, 'w1'), late], [JOB])
    assert find_overlaps(record) == []


def test_a_worker_that_nothing_has_ended_is_told() -> None:
    """Runs of a worker that had ended by itself were taken for going on."""
    events = [
        start(1.0, 'w1'),
        Event(2.0, EventKind.EXITED, 'w1', 1, detail='-1'),
        start(3.0, 'w2', run=2),
        Event(4.0, EventKind.KILLED, 'w2', 1),
        Event(4.1, EventKind.EXITED, 'w2', 1, detail='-9'),
    ]
    record = make_record(events, [JOB])
    assert find_overlaps(record) == []
    assert count_unexplained_exits(record) == 1


def test_copies_of_a_start_are_counted() -> None:
    """A call that a client sends again unasked shows at the worker only."""
    received = Event(1.0, EventKind.RECEIVED, 'w1', 1, FIRST, 1, START_PATH)
    assert count_copies(make_record([received] * 3, [JOB])) == 2


def test_events_are_read_as_written(tmp_path: pathlib.Path) -> None:
    """A checker that lost a field would judge another run."""
    log = EventLog(tmp_path / 'a.jsonl')
    event = Event(1.5, EventKind.ENDED, 'w', 7, FIRST, 2, 'lapsed', 1.25, True)
    for written in (event, CLEAN[0]):
        log.write(written)
    log.close()
    assert read_events([tmp_path / 'a.jsonl']) == [CLEAN[0], event]


def test_a_seed_gives_the_same_plan_again() -> None:
    """A failure could not be played again."""
    plan = make_plan(5, SIZE)
    assert plan.encode() == make_plan(5, SIZE).encode()
    assert plan.encode() != make_plan(6, SIZE).encode()
    kept = plan.omit([FaultKind.RESET.value])
    assert {f.kind for f in kept.faults} == {f.kind for f in plan.faults} - {
        FaultKind.RESET
    }


def test_run_times_in_the_plan_are_far_off_their_estimates() -> None:
    """With estimates that hold no working task is ever taken for hanging."""
    jobs = make_plan(5, SIZE).jobs
    works = [
        (job.estimated_ms / 1000, work)
        for job in jobs
        for step in job.steps
        for work in step
        if work.kind is WorkKind.DONE
    ]
    assert any(not estimate for estimate, _ in works)
    assert any(work.seconds > 100 * estimate > 0 for estimate, work in works)
    assert any(estimate > 6 * work.seconds for estimate, work in works)
    assert any(job.has_work({WorkKind.HANGING_ONCE.value}) for job in jobs)


def test_only_the_first_run_of_a_hanging_task_shows_no_progress() -> None:
    work = Work(WorkKind.HANGING_ONCE, 1.0)
    assert work.measure_progress(1, 0.5) == work.measure_progress(1, 60.0)
    assert work.choose_end(1) == ''
    assert work.measure_progress(2, 0.1) < work.measure_progress(2, 0.9) < 100
    assert work.choose_end(2) == 'done'


@pytest.mark.parametrize(
    ('kind', 'event_kind'),
    [
        (FaultKind.RESET, EventKind.RESET),
        (FaultKind.LOSE_ANSWER, EventKind.LOST),
    ],
)
def test_a_link_delivers_a_call_that_it_leaves_unanswered(
    kind: FaultKind, event_kind: EventKind, tmp_path: pathlib.Path
) -> None:
    """A call that does not arrive would show nothing about repeated calls."""
    bodies: list[bytes] = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await reader.readline():
            while (line := await reader.readline()) != b'\r\n':
                head += line
            length = int(head.lower().split(b'content-length: ')[1].split()[0])
            bodies.append(await reader.readexactly(length))
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')

    async def play() -> int:
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(serve_connections(answer))
            log = EventLog(tmp_path / 'links.jsonl')
            stack.callback(log.close)
            link = Link('worker-0', log, address)
            await link.open()
            stack.push_async_callback(link.close)
            client = HttpClient(f'http://{link.address}', 1.0)
            stack.callback(client.close)
            body = b'{"task":"a.0.0.0","run":1}'
            first = await client.call('POST', START_PATH, body)
            assert first.status == 200
            link.set_fault(Fault(0.0, kind, link.name, START_PATH))
            # A client that does not repeat calls gets no answer to either.
            link.set_fault(
                Fault(0.0, FaultKind.LOSE_ANSWER, link.name, START_PATH)
            )
            return (await client.call('POST', START_PATH, body)).status

    assert run(play()) == CURL_ERROR
    assert len(bodies) >= 2
    events = read_events([tmp_path / 'links.jsonl'])
    assert events[0].kind is event_kind


@pytest.mark.parametrize(
    ('status', 'copy_status'), [(429, 429), (503, 503), (409, 200)]
)
def test_an_unhealthy_worker_rejects_starts(
    status: int, copy_status: int, tmp_path: pathlib.Path
) -> None:
    """Links announced rejections that the workers did not carry out.

    A start without room is answered as usual if its run is there already.
    """

    async def play() -> list[int]:
        log = EventLog(tmp_path / 'a.jsonl')
        worker = ServedWorker(ModelWorker('w', '', []), log)
        worker.open()
        server, address = serve(make_service(worker))
        link = Link('host-0/worker-0', log, address)
        await link.open()
        client = HttpClient(f'http://{link.address}')
        unhealthy = Fault(
            0.0,
            FaultKind.UNHEALTHY,
            link.name,
            status=status,
            unhealthy_seconds=60.0,
        )
        statuses = []
        for task in (FIRST, FIRST, SECOND):
            document = {
                'task': task,
                'run': 1,
                'spec': encode_payload(JOB.steps),
                'deadlineMs': worker.model.clock_ms + 1000,
                'fencingToken': 1,
            }
            answer = await client.call(
                'POST', START_PATH, orjson.dumps(document)
            )
            statuses.append(answer.status)
            link.set_fault(unhealthy)
        client.close()
        await link.close()
        server.stop()
        log.close()
        return statuses

    assert run(play()) == [200, copy_status, status]
    events = read_events([tmp_path / 'a.jsonl'])
    started = [e.task for e in events if e.kind is EventKind.STARTED]
    assert started == [FIRST]


def test_a_short_play_keeps_all_promises() -> None:
    """Daemons, workers and links that are disturbed must run each task once."""
    output = io.StringIO()
    arguments = ['--seed=16', '--seconds=8', '--daemons=2', '--workers=4']
    status = core.main(arguments, Environment(stdout=output))
    assert status == 0, output.getvalue()
    assert 'violations: 0' in output.getvalue()
