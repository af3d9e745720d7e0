"""Submissions through the owner of a service while the table is slow.

Load pattern: each transaction of a service takes a third of a second, and all
daemons together submit tens of jobs a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable

import orjson
import pytest
from tornado.web import Application

from lentilmount.clock import ManualClock, SystemClock
from lentilmount.control.grouped_submissions import (
    MAX_ROWS,
    MAX_WAITING,
    GroupedSubmissions,
    Outcome,
)
from lentilmount.control.keys import JOBS_TABLE, make_job_key
from lentilmount.control.peer_handler import NOT_READY
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.control.submission_relay import (
    OUTCOMES,
    SUBMISSIONS_PATH,
    SubmissionOwner,
    SubmissionRelay,
    SubmissionsHandler,
)
from lentilmount.control.submissions import Submissions
from lentilmount.coordination.table import (
    ABSENT,
    Key,
    Operation,
    Put,
    UnavailableError,
)
from lentilmount.errors import StoreError, UnknownOutcomeError
from lentilmount.platform.documents import Route, encode_job_row
from lentilmount.scheduling.model import JobState
from lentilmount.upstream.http import CURL_ERROR, HttpClient, HttpResponse
from stand_ins.model_network import TableFault, WriteFault
from stand_ins.model_owners import SERVICE
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.helpers import run
from tests.platform_fixtures import listen
from tests.scheduling_fixtures import make_policy, make_submissions
from tests.test_session_state_machine import make_spec
from tests.test_submissions import BODY, JOB, FailingTable

TRANSACTION_SECONDS = 0.33
SUBMISSIONS_PER_SECOND = 24
SLOW_SECONDS = 6.0
WORKERS = 6
OWNER = 'owner:1'

Submit = Callable[[ModelSite, int], Awaitable[bool]]


async def submit_directly(site: ModelSite, number: int) -> bool:
    """Writes a job to the table; returns whether it was accepted."""
    spec = make_spec(number, 'short', False)
    put = Put(make_job_key(SERVICE, spec.id), encode_job_row(spec), ABSENT)
    try:
        await site.processes[0].table.transact('token', [put])
    except UnavailableError:
        return False
    site.jobs[spec.id] = spec
    return True


async def submit_job(site: ModelSite, number: int) -> Outcome:
    """Lets the owner write a job."""
    return await site.submit_to_owner(make_spec(number, 'short', False))


async def submit_through_owner(site: ModelSite, number: int) -> bool:
    """Lets the owner write a job; returns whether it was accepted."""
    return await submit_job(site, number) is Outcome.ACCEPTED


def play_slow_table(submit: Submit) -> tuple[ModelSite, int, float]:
    """Plays submissions while the table is slow.

    Returns:
      The site, the number of jobs accepted then, and the longest time without a
      start in seconds.
    """
    clock = ManualClock()
    site = ModelSite(clock)
    accepted: list[bool] = []

    async def add(number: int) -> None:
        accepted.append(await submit(site, number))

    async def play() -> None:
        for _ in range(WORKERS):
            site.add_worker()
        site.start_owner()
        watch = asyncio.create_task(site.watch())
        await asyncio.sleep(1.0)
        site.store.transaction_seconds = TRANSACTION_SECONDS
        calls = []
        for number in range(int(SLOW_SECONDS * SUBMISSIONS_PER_SECOND)):
            calls.append(asyncio.create_task(add(number)))
            await asyncio.sleep(1 / SUBMISSIONS_PER_SECOND)
        site.store.transaction_seconds = 0.0
        await asyncio.gather(*calls)
        await site.finish()
        watch.cancel()
        await site.kill_owner()

    begin = clock.now + 1.0
    run_virtual(play(), clock)
    starts = [e.started_at for e in site.record]
    times = sorted([begin, *starts, begin + SLOW_SECONDS])
    gaps = [b - a for a, b in itertools.pairwise(times)]
    return site, sum(accepted), max(gaps)


def test_starts_go_on_while_the_table_is_slow() -> None:
    """The writes of an owner were refused as all daemons wrote submissions."""
    site, accepted, longest_gap = play_slow_table(submit_through_owner)
    assert site.violations == []
    assert accepted == SLOW_SECONDS * SUBMISSIONS_PER_SECOND
    assert longest_gap < 1.5


def test_submissions_of_all_daemons_keep_an_owner_from_writing() -> None:
    """What the owner's grouping is for: without it, most are refused."""
    site, accepted, longest_gap = play_slow_table(submit_directly)
    assert site.violations == []
    assert accepted < 0.3 * SLOW_SECONDS * SUBMISSIONS_PER_SECOND
    assert longest_gap > 2.0


# The owner.


def make_body(number: int = 0) -> dict[str, object]:
    """Returns the body of a job's row, as it is read."""
    spec = make_spec(number, 'short', False)
    body: dict[str, object] = orjson.loads(orjson.dumps(encode_job_row(spec)))
    return body


def play_group(
    play: Callable[[GroupedSubmissions], Awaitable[None]],
) -> None:
    """Plays the submissions to an owner."""

    async def work() -> None:
        await play(make_submissions(SERVICE))

    run(work())


async def begin_submissions(
    submissions: GroupedSubmissions, count: int
) -> list[asyncio.Task[Outcome]]:
    """Submits different jobs; returns the calls, which wait for a write."""
    calls = [
        asyncio.create_task(submissions.submit(f'{n:016x}', make_body(n)))
        for n in range(count)
    ]
    await asyncio.sleep(0)
    return calls


def list_puts(operations: list[Operation]) -> list[Key]:
    """Returns the keys of the rows that a write creates."""
    return [op.key for op in operations if isinstance(op, Put)]


def test_copies_of_a_submission_are_written_once() -> None:
    async def play(submissions: GroupedSubmissions) -> None:
        first = asyncio.create_task(submissions.submit(JOB, make_body()))
        await asyncio.sleep(0)
        assert list_puts(submissions.begin_write()) == [
            make_job_key(SERVICE, JOB)
        ]
        second = asyncio.create_task(submissions.submit(JOB, make_body()))
        await asyncio.sleep(0)
        assert not submissions.is_waiting
        submissions.end_write()
        outcomes = await asyncio.gather(first, second)
        assert set(outcomes) == {Outcome.ACCEPTED}

    play_group(play)


def test_a_caller_that_leaves_does_not_cancel_copies_of_its_request() -> None:
    """The request of another daemon ended with that of the first one."""

    async def play(submissions: GroupedSubmissions) -> None:
        calls = [
            asyncio.create_task(submissions.submit(JOB, make_body()))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        calls[0].cancel()
        await asyncio.sleep(0)
        submissions.begin_write()
        submissions.end_write()
        assert await calls[1] is Outcome.ACCEPTED

    play_group(play)


def test_a_job_that_was_accepted_before_is_not_written_again() -> None:
    """A copy of an accepted request made each write of the owner fail."""

    async def play(submissions: GroupedSubmissions) -> None:
        calls = await begin_submissions(submissions, 2)
        submissions.begin_write()
        conflict = make_job_key(SERVICE, f'{0:016x}')
        assert submissions.abandon_write({conflict})
        assert await calls[0] is Outcome.ACCEPTED
        assert list_puts(submissions.begin_write()) == [
            make_job_key(SERVICE, f'{1:016x}')
        ]
        submissions.end_write()
        assert await calls[1] is Outcome.ACCEPTED

    play_group(play)


def test_a_conflict_of_another_row_is_not_taken_for_an_accepted_job() -> None:
    async def play(submissions: GroupedSubmissions) -> None:
        call = asyncio.create_task(submissions.submit(JOB, make_body()))
        await asyncio.sleep(0)
        submissions.begin_write()
        other = make_job_key('other', JOB)
        assert not submissions.abandon_write({other})
        assert submissions.is_waiting
        submissions.close()
        assert await call is Outcome.REFUSED

    play_group(play)


def test_the_end_of_an_owner_settles_all_submissions() -> None:
    """A job in a write that was not answered was reported as refused."""

    async def play(submissions: GroupedSubmissions) -> None:
        calls = await begin_submissions(submissions, MAX_ROWS + 1)
        submissions.begin_write()
        submissions.close()
        *in_write, waiting = await asyncio.gather(*calls)
        assert in_write == [Outcome.UNKNOWN] * MAX_ROWS
        assert waiting is Outcome.REFUSED
        assert await submissions.submit(JOB, make_body()) is Outcome.REFUSED

    play_group(play)


def test_too_many_submissions_are_refused_at_once() -> None:
    async def play(submissions: GroupedSubmissions) -> None:
        calls = await begin_submissions(submissions, MAX_WAITING)
        outcome = await submissions.submit('f' * 16, make_body(MAX_WAITING))
        assert outcome is Outcome.REFUSED
        submissions.close()
        await asyncio.gather(*calls)

    play_group(play)


def test_a_small_link_limits_the_submissions_of_a_write() -> None:
    async def play(submissions: GroupedSubmissions) -> None:
        calls = await begin_submissions(submissions, MAX_ROWS)
        size = len(orjson.dumps(make_body()))
        assert len(list_puts(submissions.begin_write(8.5 * size))) == 4
        submissions.end_write()
        assert len(list_puts(submissions.begin_write(0.0))) == 1
        submissions.close()
        await asyncio.gather(*calls)

    play_group(play)


@pytest.mark.parametrize('fault', list(WriteFault))
def test_a_submission_survives_faults_of_the_owners_writes(
    fault: WriteFault,
) -> None:
    """A job was accepted twice, or not at all, after a fault of a write."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def play() -> None:
        site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.0)
        site.write_faults[:] = [TableFault(fault, 0.3)] * 2
        outcomes = await asyncio.gather(
            *(submit_through_owner(site, n % 3) for n in range(6))
        )
        assert outcomes == [True] * 6
        await site.finish()
        await site.kill_owner()

    run_virtual(play(), clock)
    assert site.violations == []
    rows = [key for key in site.store.rows if key[0] == JOBS_TABLE]
    assert len(rows) == 3


def test_a_submission_that_was_written_before_counts_as_accepted() -> None:
    """The owner did not know yet of a job that another daemon had written."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def play() -> None:
        site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.0)
        owner = site.find_owner()
        assert owner is not None
        spec = make_spec(0, 'short', False)
        submitting = asyncio.create_task(submit_through_owner(site, 0))
        await asyncio.sleep(0.001)
        site.submit(spec)
        assert await submitting
        await site.finish()
        assert owner.cluster.jobs[spec.id].state is JobState.COMPLETED
        await site.kill_owner()

    run_virtual(play(), clock)
    assert site.violations == []


def test_submissions_to_an_owner_that_is_replaced() -> None:
    """No job that was reported as accepted is lost, and no other one runs."""
    for milliseconds in range(0, 60, 3):
        clock = ManualClock()
        site = ModelSite(clock)

        async def play(site: ModelSite, seconds: float) -> None:
            site.add_worker()
            site.start_owner()
            await asyncio.sleep(1.0)
            calls = [
                asyncio.create_task(submit_job(site, n)) for n in range(30)
            ]
            await asyncio.sleep(seconds)
            await site.kill_owner()
            for number, outcome in enumerate(await asyncio.gather(*calls)):
                job_id = f'{number:016x}'
                is_written = (JOBS_TABLE, SERVICE, job_id) in site.store.rows
                if outcome is Outcome.UNKNOWN and not is_written:
                    del site.jobs[job_id]
                else:
                    assert is_written is (outcome is not Outcome.REFUSED)
            site.start_owner()
            await site.finish()
            await site.kill_owner()

        run_virtual(play(site, milliseconds / 1000), clock)
        assert site.violations == []


# Other daemons.


class AnsweringClient(HttpClient):
    """Answers all requests alike, and records them.

    Attributes:
      response: The answer.
      requests: Paths and addresses of the requests.
    """

    def __init__(self, status: int, was_sent: bool = True) -> None:
        super().__init__('')
        self.response = HttpResponse(status, b'', {}, was_sent)
        self.requests: list[tuple[str, object]] = []

    async def call(
        self, method: str, path: str, *arguments: object, **options: object
    ) -> HttpResponse:
        """See `HttpClient`."""
        self.requests.append((path, options['base']))
        return self.response


def submit_by_daemon(client: AnsweringClient, is_slow: bool = True) -> int:
    """Submits a job on a daemon; returns how many rows it has written."""
    clock = SystemClock()
    health = StoreHealth(clock.monotonic, SERVICE)
    outage = OutageDetector(health, HttpClient(''), PeerList('a'))
    relay = SubmissionRelay(
        client, lambda service: None, lambda service: OWNER, lambda s: is_slow
    )
    table = FailingTable([])
    submissions = Submissions(
        table,
        RouteTable(clock.monotonic, 2.0),
        clock,
        lambda part: outage,
        relay.submit,
    )
    route = Route('desk.example', '/checks/', make_policy())
    run(submissions.submit(route, JOB, BODY))
    return table.written


def test_a_daemon_submits_to_the_owner_while_the_table_is_slow() -> None:
    client = AnsweringClient(200)
    assert submit_by_daemon(client) == 0
    assert client.requests == [(SUBMISSIONS_PATH, f'http://{OWNER}')]


def test_a_daemon_writes_by_itself_while_the_table_is_fast() -> None:
    client = AnsweringClient(200)
    assert submit_by_daemon(client, is_slow=False) == 1
    assert client.requests == []


@pytest.mark.parametrize(
    ('status', 'was_sent'),
    [(NOT_READY, True), (404, True), (CURL_ERROR, False)],
)
def test_a_daemon_writes_by_itself_if_no_owner_is_there(
    status: int, was_sent: bool
) -> None:
    """One of an earlier version, or that shuts down, has written nothing."""
    assert submit_by_daemon(AnsweringClient(status, was_sent)) == 1


def test_a_submission_without_an_answer_has_an_unknown_outcome() -> None:
    """A job that the owner may have written was written again or refused."""
    for status in (CURL_ERROR, 504, 500):
        with pytest.raises(UnknownOutcomeError):
            submit_by_daemon(AnsweringClient(status))


def test_a_submission_that_the_owner_refuses_was_not_written() -> None:
    with pytest.raises(StoreError) as caught:
        submit_by_daemon(AnsweringClient(429))
    assert not isinstance(caught.value, UnknownOutcomeError)
    assert caught.value.retry_after


class _Owner:
    """Answers all submissions with one outcome."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome

    async def submit(self, job_id: str, body: dict[str, object]) -> Outcome:
        """See `SubmissionOwner`."""
        assert (job_id, body) == (JOB, {'a': 1})
        return self.outcome


@pytest.mark.parametrize('outcome', [None, *Outcome])
def test_a_daemon_tells_the_outcome_of_a_submission(
    outcome: Outcome | None,
) -> None:
    def find(service: str) -> SubmissionOwner | None:
        return _Owner(outcome) if outcome and service == SERVICE else None

    async def play() -> Outcome | None:
        arguments = {'find_owner': find, 'is_closing': lambda: False}
        handler = (SUBMISSIONS_PATH, SubmissionsHandler, arguments)
        async with contextlib.AsyncExitStack() as stack:
            address = listen(Application([handler]), stack)
            relay = SubmissionRelay(
                HttpClient(''),
                lambda service: None,
                lambda service: address,
                lambda service: True,
            )
            return await relay.submit(SERVICE, JOB, {'a': 1})

    assert run(play()) is outcome
    assert set(OUTCOMES.values()) == set(Outcome)


@pytest.mark.parametrize(
    ('seconds', 'is_slow'), [(0.006, False), (0.05, False), (0.36, True)]
)
def test_a_slow_table_is_told_from_a_small_link(
    seconds: float, is_slow: bool
) -> None:
    health = StoreHealth(ManualClock().monotonic, SERVICE)
    for _ in range(5):
        health.record(True, seconds)
    assert health.is_slow is is_slow
    for _ in range(6):
        health.record(True, 0.005)
    assert not health.is_slow
