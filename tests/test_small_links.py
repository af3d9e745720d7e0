"""Owners whose link or processor carries fewer starts than are decided.

Load pattern: jobs of 40 tasks with payloads of 1.2 kB, each task of 1.7 s. The
owner's calls to workers and to the store share the link of its host.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import itertools
import math
from collections.abc import Callable

import attrs
import logbook
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.election import LEASE_SECONDS
from lentilmount.control.keys import OWNERS_TABLE
from lentilmount.resources import Room
from lentilmount.scheduling.model import Worker
from lentilmount.scheduling.specs import JobSpec
from stand_ins.host_link import HostLink
from stand_ins.model_network import CallFault, Fault
from stand_ins.model_owners import SERVICE
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import START_PATH, STOP_PATH, ModelWorker
from stand_ins.virtual_time import run_virtual
from tests.scheduling_fixtures import make_job, make_step

SMALL_BYTES = 250_000
"""Bytes per second of a link of 2 Mbit/s."""

LARGE_BYTES = 2_500_000
"""Bytes per second of a link of 20 Mbit/s."""

START_BYTES = 1_500
"""Size of a start."""

TASKS = 40
TASK_SECONDS = 1.7
WARM_UP_SECONDS = 1.5
"""Time for an owner to take over and to reach all workers."""

RAMP_SECONDS = 4.0
"""Time until as many tasks end as begin; throughput is measured after it."""

SAMPLE_SECONDS = 0.05

FOUND_SECONDS = 2.5
"""Time within which a silent worker is found out: a poll that waits 1.5 s, its
timeout and a poll's delay."""

SLOW_FOUND_SECONDS = FOUND_SECONDS + 3.0
"""The same while the owner is slow itself."""

DEAF_SECONDS = 1.0
"""Time after the first start without an answer within which a worker that
answers only polls is found out."""

SLOW_DEAF_SECONDS = DEAF_SECONDS + 3.0
"""The same while the owner is slow itself."""

LEASE_LIMIT_SECONDS = 6.5
"""Time for the leases on a worker to run out."""

BURST_SECONDS = 4.0
LOADS = (0.5, 1.0, 2.0)
"""Offered starts, relative to what the owner's host carries of nothing else."""

MANY = 10_000

UNREACHABLE = 'Cannot be reached'
NO_COMMANDS = 'Answers no commands.'


@attrs.define
class _Result:
    """What a play has shown.

    Attributes:
      throughput: Tasks done per second once the load is steady.
      suspected: Number of log lines that a worker is silent, by message.
      lapsed: Number of runs whose lease lapsed.
      longest_renewal: Longest time in seconds between two writes of the lease
        on the service.
      copies: Number of starts of tasks that had been started before.
    """

    throughput: float
    suspected: dict[str, int]
    lapsed: int
    longest_renewal: float
    copies: int


def _choose_work(task: str, run: int, payload: str) -> tuple[float, str]:
    return TASK_SECONDS, 'done'


@attrs.define(eq=False)
class _Scene:
    """A service whose owner has a small link, and jobs at a given rate.

    Attributes:
      workers: Number of workers.
      host_link: The link of the owner's host.
      starts_per_second: Tasks in the jobs submitted per second.
    """

    workers: int
    host_link: HostLink
    starts_per_second: float
    clock: ManualClock = attrs.Factory(ManualClock)
    site: ModelSite = attrs.field(init=False)
    steady_at: float = 0.0
    ended_at: float = 0.0
    _jobs: int = 0
    _renewed: list[float] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        """Creates the site."""
        self.site = ModelSite(
            self.clock, host_link=self.host_link, choose_work=_choose_work
        )
        # A short history is no part of these plays.
        self.site.store.max_changes = 20_000

    async def begin(self) -> None:
        """Starts workers and owner, and waits until they know each other."""
        for _ in range(self.workers):
            self.site.add_worker()
        await asyncio.sleep(0.5)
        self.site.start_owner()
        await asyncio.sleep(WARM_UP_SECONDS)

    async def offer(self, seconds: float) -> None:
        """Submits jobs for some seconds."""
        end = self.clock.now + seconds
        due = self.clock.now
        while due < end:
            await asyncio.sleep(max(0.0, due - self.clock.now))
            self._submit()
            due += TASKS / self.starts_per_second
        await asyncio.sleep(max(0.0, end - self.clock.now))

    def _submit(self) -> None:
        self._jobs += 1
        step = make_step(
            count=TASKS,
            demand=Room(1.0, 100),
            estimated_seconds=TASK_SECONDS,
        )
        spec = make_job(f'{self._jobs:016x}', step)
        self.site.submit(JobSpec(spec.id, 'x' * 1200, spec.steps, spec.queue))

    @property
    def offered(self) -> int:
        """Number of tasks of all jobs submitted so far."""
        return TASKS * self._jobs

    def find_busiest(self) -> ModelWorker:
        """Returns the worker that runs the most tasks."""
        return max(self.site.workers, key=lambda worker: len(worker.running))

    async def watch_renewals(self) -> None:
        """Records when the lease on the service is written."""
        version = 0
        while True:
            row = self.site.store.rows.get((OWNERS_TABLE, SERVICE, 'owner'))
            if row is not None and row.version != version:
                version = row.version
                self._renewed.append(self.clock.now)
            await asyncio.sleep(SAMPLE_SECONDS)

    def count_done(self, start: float, end: float) -> int:
        """Counts the tasks that were done first between two times."""
        first: dict[str, float] = {}
        for execution in self.site.record:
            if execution.kind == 'done':
                at = first.get(execution.task, math.inf)
                first[execution.task] = min(at, execution.ended_at)
        return sum(start <= at < end for at in first.values())

    async def play(self, seconds: float) -> None:
        """Plays a load, for some seconds once it is steady."""
        await self.begin()
        watch = asyncio.create_task(self.watch_renewals())
        await self.offer(RAMP_SECONDS)
        self.steady_at = self.clock.now
        await self.offer(seconds)
        self.ended_at = self.clock.now
        watch.cancel()
        await self.site.kill_owner()

    def summarize(self, records: list[logbook.LogRecord]) -> _Result:
        """Returns what a play has shown, given the lines that it logged."""
        suspected = collections.Counter(
            known
            for log_record in records
            for known in (UNREACHABLE, NO_COMMANDS)
            if log_record.message.startswith(known)
        )
        record = self.site.record
        done = self.count_done(self.steady_at, self.ended_at)
        times = [*self._renewed, self.ended_at]
        return _Result(
            done / (self.ended_at - self.steady_at),
            dict(suspected),
            sum(execution.kind == 'lapsed' for execution in record),
            max(b - a for a, b in itertools.pairwise(times)),
            len(record) - len({execution.task for execution in record}),
        )


@attrs.frozen
class _Host:
    """The host of an owner, and the workers of its service.

    Attributes:
      workers: Number of workers.
      bytes_per_second: Rate of its link, each way.
      seconds_per_call: Time of its processor that a call takes.
      seconds: Duration of a play once the load is steady.
    """

    workers: int
    bytes_per_second: float
    seconds_per_call: float
    seconds: float

    @property
    def starts_per_second(self) -> float:
        """Starts that it carries if it does nothing else.

        Of the processor each start takes a call, and the poll that tells of
        its end another one.
        """
        calls = self.bytes_per_second / START_BYTES
        if self.seconds_per_call:
            calls = min(calls, 0.5 / self.seconds_per_call)
        return calls

    def make_scene(self, load: float) -> _Scene:
        """Returns a scene.

        Args:
          load: Offered starts, relative to what the host carries.
        """
        return _Scene(
            self.workers,
            HostLink(self.bytes_per_second, self.seconds_per_call),
            load * self.starts_per_second,
        )


HOSTS = {
    'small-link': _Host(72, SMALL_BYTES, 0.0, 12.0),
    'larger-link': _Host(446, LARGE_BYTES, 0.0, 3.0),
    'small-processor': _Host(72, math.inf, 0.003, 12.0),
}


@functools.cache
def play(host: str, load: float) -> _Result:
    """Plays a load in virtual time; one play serves several tests."""
    scene = HOSTS[host].make_scene(load)
    with logbook.TestHandler(level=logbook.WARNING) as handler:
        run_virtual(scene.play(HOSTS[host].seconds), scene.clock)
        return scene.summarize(handler.records)


@pytest.mark.parametrize('host', HOSTS)
def test_throughput_does_not_fall_with_the_offered_work(host: str) -> None:
    """Beyond what a link carried, less was done the more was offered."""
    half, whole, double = (play(host, load).throughput for load in LOADS)
    offered = HOSTS[host].starts_per_second
    assert half > 0.95 * 0.5 * offered
    assert whole > 1.2 * half
    assert double > 0.95 * whole


@pytest.mark.parametrize('load', LOADS)
@pytest.mark.parametrize('host', HOSTS)
def test_no_worker_is_taken_for_silent(host: str, load: float) -> None:
    """An owner took its own queue for the silence of all its workers."""
    assert play(host, load).suspected == {}


@pytest.mark.parametrize('load', LOADS)
@pytest.mark.parametrize('host', HOSTS)
def test_no_lease_of_a_worker_lapses(host: str, load: float) -> None:
    """Renewals waited behind starts, and running tasks were killed."""
    result = play(host, load)
    assert (result.lapsed, result.copies) == (0, 0)


@pytest.mark.parametrize('load', LOADS)
@pytest.mark.parametrize('host', HOSTS)
def test_the_lease_on_the_service_is_renewed_in_time(
    host: str, load: float
) -> None:
    """The renewal waited behind starts, and another daemon took over."""
    assert play(host, load).longest_renewal < LEASE_SECONDS


@pytest.mark.parametrize('host', ['small-link', 'small-processor'])
def test_a_burst_is_worked_off(host: str) -> None:
    """An owner that was overloaded once never came back."""
    scene = HOSTS[host].make_scene(2.0)

    async def scenario() -> int:
        await scene.begin()
        start = scene.clock.now
        await scene.offer(BURST_SECONDS)
        # Twice the time that the link needs for the starts alone.
        await asyncio.sleep(3.0 * BURST_SECONDS + TASK_SECONDS)
        end = scene.clock.now
        await scene.site.kill_owner()
        return scene.offered - scene.count_done(start, end)

    assert run_virtual(scenario(), scene.clock) == 0


def _find(scene: _Scene, worker: ModelWorker) -> Worker:
    cluster = scene.site.cluster
    assert cluster is not None
    return cluster.workers[worker.id]


async def _wait_until(
    scene: _Scene, is_so: Callable[[], bool], seconds: float
) -> float:
    """Waits until something is so; returns for how many seconds."""
    start = scene.clock.now
    while not is_so() and scene.clock.now < start + seconds:
        await asyncio.sleep(SAMPLE_SECONDS)
    return scene.clock.now - start


@pytest.mark.parametrize(
    ('load', 'limit'), [(0.5, FOUND_SECONDS), (2.0, SLOW_FOUND_SECONDS)]
)
def test_a_silent_worker_is_found_out(load: float, limit: float) -> None:
    """An owner that doubts itself must not keep a lost worker's tasks."""
    scene = HOSTS['small-link'].make_scene(load)

    async def scenario() -> tuple[float, float]:
        await scene.begin()
        offering = asyncio.create_task(scene.offer(3 * RAMP_SECONDS))
        await asyncio.sleep(RAMP_SECONDS)
        worker = scene.find_busiest()
        tasks = {execution.task for execution in worker.running.values()}
        assert tasks
        scene.site.get_link(worker).cut(True, True, scene.clock.now)
        known = _find(scene, worker)
        found = await _wait_until(scene, lambda: not known.reachable, 8.0)
        # Its leases run out, and its tasks run elsewhere.
        moved = await _wait_until(
            scene, lambda: not tasks & _list_tasks(known), 16.0
        )
        offering.cancel()
        await scene.site.kill_owner()
        return found, found + moved

    found, moved = run_virtual(scenario(), scene.clock)
    assert found < limit
    assert moved < limit + LEASE_LIMIT_SECONDS


def _list_tasks(worker: Worker) -> set[str]:
    return {str(task_id) for task_id in worker.tasks}


@pytest.mark.parametrize(
    ('load', 'limit'), [(0.5, DEAF_SECONDS), (2.0, SLOW_DEAF_SECONDS)]
)
def test_a_worker_that_answers_polls_only_is_found_out(
    load: float, limit: float
) -> None:
    """An owner that doubts itself must not go on placing tasks there."""
    scene = HOSTS['small-link'].make_scene(load)

    async def scenario() -> float:
        await scene.begin()
        offering = asyncio.create_task(scene.offer(3 * RAMP_SECONDS))
        await asyncio.sleep(RAMP_SECONDS)
        worker = scene.find_busiest()
        faults = scene.site.get_link(worker).faults
        lost = [CallFault(Fault.LOST)] * MANY
        faults[START_PATH], faults[STOP_PATH] = lost, list(lost)
        await _wait_until(scene, lambda: len(lost) < MANY, 4.0)
        known = _find(scene, worker)
        found = await _wait_until(
            scene, lambda: not known.answers_commands, 8.0
        )
        assert known.reachable
        offering.cancel()
        await scene.site.kill_owner()
        return found

    assert run_virtual(scenario(), scene.clock) < limit
