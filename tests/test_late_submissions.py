"""Answers about jobs hold, whatever is still on its way to the table.

A write without an answer may be carried out seconds later, if its conditions
still hold then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    multiple,
    rule,
)

from lentilmount.clock import ManualClock
from lentilmount.control.cancellations import Cancellation, Cancellations
from lentilmount.control.grouped_submissions import (
    GroupedSubmissions,
    Outcome,
    make_job_operations,
)
from lentilmount.control.keys import make_cancel_key, make_job_key
from lentilmount.control.retention import MARGIN_SECONDS, Retention
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.control.submissions import UNSETTLED_SECONDS, Submissions
from lentilmount.coordination.table import (
    ConflictError,
    Operation,
    UnavailableError,
)
from lentilmount.errors import GoneError, UnknownOutcomeError
from lentilmount.platform.documents import Route, RoutingConfiguration
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState
from lentilmount.upstream.http import HttpClient
from stand_ins.table import MemoryTable
from tests.helpers import run
from tests.scheduling_fixtures import make_policy, make_submissions
from tests.test_submissions import BODY, JOB

SERVICES = ('old', 'new')


class LateTable(MemoryTable):
    """A table that may leave writes unanswered and carry them out later."""

    def __init__(self) -> None:
        super().__init__()
        self.is_late = False
        self.late: list[tuple[str, list[Operation]]] = []

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        if self.is_late:
            self.late.append((token, operations))
            raise UnavailableError('no answer')
        await super().transact(token, operations)

    async def carry_out(self, number: int = 0) -> None:
        """Carries out a write that got no answer, if its conditions hold."""
        try:
            await super().transact(*self.late.pop(number))
        except ConflictError:
            return

    def holds(self, service: str, job_id: str = JOB) -> bool:
        """Returns whether a job has a row that is not cancelled."""
        is_there = make_job_key(service, job_id) in self._rows
        return is_there and make_cancel_key(service, job_id) not in self._rows


@attrs.define
class Site:
    """Daemons that share a table.

    Attributes:
      table: The table.
      clock: Clock of all daemons.
      daemons: Their parts that accept and cancel jobs.
    """

    table: LateTable = attrs.Factory(LateTable)
    clock: ManualClock = attrs.Factory(ManualClock)
    daemons: list[Submissions] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts two daemons."""
        self.daemons = [self.make_daemon() for _ in range(2)]

    def make_daemon(self) -> Submissions:
        """Returns the submissions of a daemon that has just started."""
        health = StoreHealth(self.clock.monotonic, 'old')
        outage = OutageDetector(health, HttpClient(''), PeerList('a'))
        routes = RouteTable(self.clock.monotonic, 2.0)
        routes.current = RoutingConfiguration(1, (), SERVICES, 262_144)
        return Submissions(self.table, routes, self.clock, lambda part: outage)

    async def submit_late(self, daemon: int = 0, service: str = 'old') -> None:
        """Submits the job; its write gets no answer."""
        self.table.is_late = True
        task = asyncio.create_task(
            self.daemons[daemon].submit(make_route(service), JOB, BODY)
        )
        while not self.table.late:
            await asyncio.sleep(0)
        # The daemon repeats the write for less than that.
        self.clock.advance(1.0)
        with pytest.raises(UnknownOutcomeError):
            await task
        self.table.is_late = False

    async def carry_out_all(self) -> None:
        """Carries out all writes that got no answer."""
        while self.table.late:
            await self.table.carry_out()


def make_route(service: str) -> Route:
    policy = attrs.evolve(make_policy(), service=service)
    return Route('desk.example', '/checks/', policy)


def play(scenario: Callable[[Site], Awaitable[None]]) -> None:
    async def work() -> None:
        await scenario(Site())

    run(work())


@pytest.mark.parametrize('daemon', [0, 1])
@pytest.mark.parametrize('service', SERVICES)
def test_a_cancelled_job_is_not_created_by_a_late_write(
    daemon: int, service: str
) -> None:
    """A job ran to its end although its cancellation was answered with 410."""

    async def scenario(site: Site) -> None:
        await site.submit_late(service=service)
        with pytest.raises(GoneError):
            await site.daemons[daemon].cancel(make_route('old'), JOB)
        await site.carry_out_all()
        assert not site.table.holds(service)
        for submissions in site.daemons:
            with pytest.raises(GoneError):
                await submissions.find_state(make_route('old'), JOB)
            with pytest.raises(GoneError):
                await submissions.cancel(make_route('old'), JOB)

    play(scenario)


def test_a_copy_of_the_request_after_the_cancellation_has_no_effect() -> None:
    """A copy of the request came after its cancellation, and the job ran."""

    async def scenario(site: Site) -> None:
        await site.submit_late()
        with pytest.raises(GoneError):
            await site.daemons[1].cancel(make_route('old'), JOB)
        for submissions in (*site.daemons, site.make_daemon()):
            with pytest.raises(GoneError):
                await submissions.submit(make_route('old'), JOB, BODY)
        assert not site.table.holds('old')

    play(scenario)


def test_a_late_write_before_the_cancellation_is_cancelled() -> None:
    """The cancellation found the job and must not call it unknown."""

    async def scenario(site: Site) -> None:
        await site.submit_late()
        await site.carry_out_all()
        assert site.table.holds('old')
        await site.daemons[1].cancel(make_route('old'), JOB)
        assert not site.table.holds('old')

    play(scenario)


def test_a_late_write_of_a_cancellation_ends_the_job() -> None:
    """The caller of a cancellation without an answer asks again."""

    async def scenario(site: Site) -> None:
        await site.daemons[0].submit(make_route('old'), JOB, BODY)
        site.table.is_late = True
        call = asyncio.create_task(
            site.daemons[0].cancel(make_route('old'), JOB)
        )
        while not site.table.late:
            await asyncio.sleep(0)
        site.clock.advance(1.0)
        with pytest.raises(UnknownOutcomeError):
            await call
        site.table.is_late = False
        await site.carry_out_all()
        await site.daemons[1].cancel(make_route('old'), JOB)
        assert not site.table.holds('old')

    play(scenario)


def test_a_job_whose_write_may_come_is_not_called_unknown() -> None:
    """A caller was told that a job is not there, and then it ran."""

    async def scenario(site: Site) -> None:
        await site.submit_late()
        with pytest.raises(UnknownOutcomeError):
            await site.daemons[0].find_state(make_route('old'), JOB)
        await site.carry_out_all()
        state = await site.daemons[0].find_state(make_route('old'), JOB)
        assert state is JobState.QUEUED

    play(scenario)


def test_a_write_that_never_comes_is_called_unknown_in_the_end() -> None:
    async def scenario(site: Site) -> None:
        await site.submit_late()
        site.clock.advance(UNSETTLED_SECONDS)
        with pytest.raises(GoneError):
            await site.daemons[0].find_state(make_route('old'), JOB)

    play(scenario)


def test_a_grouped_submission_of_a_cancelled_job_is_not_accepted() -> None:
    """An owner that writes for other daemons created a cancelled job."""

    async def scenario() -> None:
        submissions: GroupedSubmissions = make_submissions('desk')
        body = make_row()
        calls = [
            asyncio.create_task(submissions.submit(job_id, body))
            for job_id in (JOB, 'f' * 16)
        ]
        await asyncio.sleep(0)
        submissions.begin_write()
        assert submissions.abandon_write({make_cancel_key('desk', JOB)})
        assert await calls[0] is Outcome.CANCELLED
        assert len(submissions.begin_write()) == len(
            make_job_operations('desk', JOB, body)
        )
        submissions.end_write()
        assert await calls[1] is Outcome.ACCEPTED

    run(scenario())


def make_row() -> dict[str, object]:
    return {
        'id': JOB,
        'payload': '',
        'steps': [{'count': 1, 'demand': {}}],
        'queue': {'name': 'queue', 'service': 'desk'},
    }


def test_cancellations_of_unknown_jobs_are_deleted_after_a_time() -> None:
    """Cancellations of jobs that never came filled the table for good."""
    early = Cancellations()
    for number in range(30):
        early.add(Cancellation(f'{number:016x}', number + 1, float(number)))
    retention = Retention('desk', ClusterState(), 120.0, early)
    kept = 120.0 + MARGIN_SECONDS
    assert retention.list_expired_cancellations(kept, 10) == []
    expired = retention.list_expired_cancellations(kept + 5.5, 10)
    assert [c.version for c in expired] == [1, 2, 3, 4, 5, 6]
    removals = retention.make_cancellation_removals(expired)
    assert [r.key for r in removals] == [
        make_cancel_key('desk', f'{number:016x}') for number in range(6)
    ]
    retention.forget_cancellations(expired)
    assert len(early) == 24
    assert len(retention.list_expired_cancellations(1e6, 10)) == 10


class LateWrites(RuleBasedStateMachine):
    """Requests about jobs at any daemon, beside writes carried out late."""

    jobs = Bundle('jobs')

    def __init__(self) -> None:
        super().__init__()
        self.site = Site()
        self.over: set[str] = set()
        self.denied: set[str] = set()

    @initialize(target=jobs)
    def make_jobs(self) -> object:
        """Creates the ids of the jobs."""
        return multiple(*(f'{number:016x}' for number in range(3)))

    @rule(is_late=st.booleans())
    def set_late(self, is_late: bool) -> None:
        """Makes the table leave writes unanswered, or answer them again."""
        self.site.table.is_late = is_late

    @rule(
        job=jobs,
        daemon=st.integers(0, 1),
        service=st.sampled_from(SERVICES),
    )
    def submit(self, job: str, daemon: int, service: str) -> None:
        """Submits a job, perhaps not for the first time."""
        submissions = self.site.daemons[daemon]
        try:
            run(self.call(submissions.submit(make_route(service), job, BODY)))
        except (UnknownOutcomeError, GoneError):
            return

    @rule(job=jobs, daemon=st.integers(0, 1))
    def cancel(self, job: str, daemon: int) -> None:
        """Cancels a job; an answer means that it does not run from then on."""
        submissions = self.site.daemons[daemon]
        try:
            run(self.call(submissions.cancel(make_route('old'), job)))
        except UnknownOutcomeError:
            return
        except GoneError:
            self.denied.add(job)
        self.over.add(job)

    @rule(daemon=st.integers(0, 1))
    def restart(self, daemon: int) -> None:
        """Kills a daemon and starts another one."""
        self.site.daemons[daemon] = self.site.make_daemon()

    @rule(number=st.integers(0, 5))
    def carry_out(self, number: int) -> None:
        """Carries out a late write, in any order."""
        if number < len(self.site.table.late):
            run(self.site.table.carry_out(number))

    async def call(self, work: Awaitable[None]) -> None:
        """Waits for a request while time passes."""
        task = asyncio.ensure_future(work)
        while not task.done():
            self.site.clock.advance(0.1)
            await asyncio.sleep(0)
        await task

    @invariant()
    def answers_hold(self) -> None:
        """A job whose cancellation was answered is not to run any more."""
        for job in self.over:
            for service in SERVICES:
                assert not self.site.table.holds(service, job)
        for job in self.denied:
            for service in SERVICES:
                key = make_job_key(service, job)
                assert key not in self.site.table._rows  # noqa: SLF001


LateWrites.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
TestLateWrites = LateWrites.TestCase
