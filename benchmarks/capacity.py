"""What each role of a daemon costs for each worker, task, job and change.

Real daemons against stand-ins, three sizes or more for each slope. The
figures that `docs/CAPACITY.md` works out at full size come from here.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from benchmarks.probes import Cost, Probe, fit_slope, read_loopback
from benchmarks.report import Report
from lentilmount.resources import Room
from lentilmount.settings import TimeSettings
from lentilmount.upstream.http import HttpClient
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import ADMIN_TOKEN, Deployment

TIMES = TimeSettings(
    heartbeat=1.0,
    silence=4.0,
    poll=1.0,
    sync=10.0,
    usage=30.0,
    task_lease=60.0,
)
"""Times that a deployment of full size would set."""

CAPACITY = Room(64.0, 512 * 1024, 8)
WORKERS_PER_RACK = 16
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 20.0
QUICK_SECONDS = 6.0
WAIT_SECONDS = 120.0
AT_ONCE = 8
MICRO = 1e6


@attrs.frozen
class Sample:
    """One measurement of a deployment.

    Attributes:
      cost: What the daemons cost.
      reads: Rows that the table read a second.
      writes: Rows that the table wrote a second.
      calls: Calls that the table answered a second.
      sent: Bytes a second over loopback, of all processes, with headers.
    """

    cost: Cost
    reads: float
    writes: float
    calls: float
    sent: float


class Bench:
    """A deployment under measurement.

    Args:
      deployment: Its processes; the platform is running.
      seconds: How long each measurement takes.

    Attributes:
      seconds: The same.
    """

    def __init__(self, deployment: Deployment, seconds: float):
        self._deployment = deployment
        self.seconds = seconds
        self._callers: list[HttpClient] = []
        self._platform = HttpClient(deployment.platform.addresses['table'])

    def connect(self) -> None:
        """Opens a client to each daemon's resource API."""
        self._callers = [
            HttpClient(f'http://{d.addresses["operators"]}', 30.0)
            for d in self._deployment.daemons.values()
        ]

    async def call(
        self, method: str, path: str, value: Any = None, daemon: int = 0
    ) -> Any:
        """Calls the resource API of one daemon."""
        body = None if value is None else json.dumps(value).encode()
        answer = await self._callers[daemon % len(self._callers)].call(
            method, path, body, {'Authorization': f'Bearer {ADMIN_TOKEN}'}
        )
        if answer.status >= 400:
            raise RuntimeError(f'{method} {path}: {answer.body.decode()}')
        return json.loads(answer.body)

    async def read_stats(self) -> dict[str, Any]:
        """Returns the table's counts."""
        answer = await self._platform.call('GET', '/_stats')
        stats: dict[str, Any] = json.loads(answer.body)
        return stats

    async def measure(
        self, load: Callable[[], Awaitable[None]] | None = None
    ) -> Sample:
        """Measures the daemons for a while, under a load if given."""
        await asyncio.sleep(SETTLE_SECONDS)
        pids = [d.popen.pid for d in self._deployment.daemons.values()]
        before = await self.read_stats()
        sent = read_loopback()
        probe = Probe(pids)
        began = time.monotonic()
        if load is not None:
            await load()
        left = self.seconds - (time.monotonic() - began)
        await asyncio.sleep(max(0.0, left))
        cost = probe.read()
        sent = read_loopback() - sent
        after = await self.read_stats()
        calls = sum(after['calls'].values()) - sum(before['calls'].values())
        return Sample(
            cost,
            (after['reads'] - before['reads']) / cost.seconds,
            (after['writes'] - before['writes']) / cost.seconds,
            calls / cost.seconds,
            sent / cost.seconds,
        )

    async def apply_service(self, replicas: int) -> None:
        """Applies a service and waits until every replica runs."""
        path = '/v1/services/load/desk'
        await self.call('POST', '/v1/services', make_service(replicas))
        await wait_until(
            lambda: self._has_reason(path, f'{replicas} of'), WAIT_SECONDS
        )

    async def _has_reason(self, path: str, start: str) -> bool:
        resource = await self.call('GET', path)
        return bool(resource['status']['reason'].startswith(start))

    async def submit_jobs(
        self, prefix: str, count: int, seconds: float, rate: float = 0.0
    ) -> None:
        """Submits jobs over all daemons, at a rate if given."""
        limit = asyncio.Semaphore(AT_ONCE)

        async def submit(number: int) -> None:
            async with limit:
                job = make_job(f'{prefix}-{number}', number, seconds)
                await self.call('POST', '/v1/jobs', job, number)

        began = time.monotonic()
        calls = []
        for number in range(count):
            if rate:
                due = began + number / rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            calls.append(asyncio.create_task(submit(number)))
        await asyncio.gather(*calls)

    def close(self) -> None:
        """Closes the clients."""
        for caller in [*self._callers, self._platform]:
            caller.close()


async def wait_until(
    check: Callable[[], Awaitable[bool]], seconds: float, pause: float = 0.5
) -> None:
    """Waits until a check holds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if await check():
            return
        await asyncio.sleep(pause)
    raise RuntimeError('the deployment did not settle')


def make_service(replicas: int) -> dict[str, Any]:
    """Builds a service of small tasks."""
    return {
        'kind': 'Service',
        'metadata': {'team': 'load', 'name': 'desk'},
        'spec': {
            'replicas': replicas,
            'demand': {'cores': 0.5, 'memory_mb': 512},
            'payload': json.dumps({'service_ms': 5}),
        },
    }


def make_job(name: str, number: int, seconds: float) -> dict[str, Any]:
    """Builds a small job."""
    return {
        'kind': 'Job',
        'metadata': {'team': f'team-{number % 180}', 'name': name},
        'spec': {
            'demand': {'cores': 0.5, 'memory_mb': 512},
            'expected_seconds': seconds,
            'job_class': f'class-{number % 20}',
            'payload': json.dumps({'seconds': seconds}),
        },
    }


def make_options(zones: int, workers: int) -> PlatformOptions:
    """Builds a platform."""
    names = [f'zone-{number}' for number in range(zones)]
    return PlatformOptions(
        make_zones(names, workers, WORKERS_PER_RACK, CAPACITY)
    )


async def _run_one(
    deployment: Deployment,
    seconds: float,
    work: Callable[[Bench], Awaitable[Sample]],
) -> Sample:
    bench = Bench(deployment, seconds)
    bench.connect()
    try:
        return await work(bench)
    finally:
        bench.close()


def run_bench(
    workers: int,
    work: Callable[[Bench], Awaitable[Sample]],
    seconds: float,
    daemons: int = 1,
    zones: int = 1,
) -> Sample:
    """Runs one measurement on a deployment of its own."""
    with Deployment(make_options(zones, workers), TIMES) as deployment:
        for number in range(daemons):
            deployment.start_daemon(f'entry-{number}', f'zone-{number % zones}')
        return asyncio.run(_run_one(deployment, seconds, work))


async def measure_idle(bench: Bench) -> Sample:
    """Measures a deployment with one empty team."""
    team = {'kind': 'Team', 'metadata': {'name': 'load'}, 'spec': {}}
    await bench.call('POST', '/v1/teams', team)
    return await bench.measure()


def make_task_work(tasks: int) -> Callable[[Bench], Awaitable[Sample]]:
    """Builds a measurement with a number of running tasks."""

    async def work(bench: Bench) -> Sample:
        await bench.apply_service(tasks)
        return await bench.measure()

    return work


def make_start_work(
    rate: float, seconds: float
) -> Callable[[Bench], Awaitable[Sample]]:
    """Builds a measurement with short jobs at a rate."""

    async def work(bench: Bench) -> Sample:
        await measure_idle(bench)
        count = int(rate * seconds)
        return await bench.measure(
            lambda: bench.submit_jobs('short', count, 1.0, rate)
        )

    return work


def make_change_work(
    rate: float, seconds: float
) -> Callable[[Bench], Awaitable[Sample]]:
    """Builds a measurement with configuration changes at a rate."""

    async def work(bench: Bench) -> Sample:
        await measure_idle(bench)

        async def change() -> None:
            began = time.monotonic()
            for number in range(int(rate * seconds)):
                due = began + number / rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                name = f'team-{number}'
                team = {'kind': 'Team', 'metadata': {'name': name}, 'spec': {}}
                await bench.call('POST', '/v1/teams', team)

        return await bench.measure(change)

    return work


def add_slope(
    report: Report,
    name: str,
    sizes: list[float],
    samples: list[Sample],
    unit: str,
) -> None:
    """Adds the slopes of the first daemon's processor time and memory."""
    cpu = fit_slope(sizes, [s.cost.cores[0] * MICRO for s in samples])
    memory = fit_slope(sizes, [s.cost.memory_mb[0] * 1024 for s in samples])
    for title, slope, what in (
        ('processor', cpu, 'us/s'),
        ('memory', memory, 'KiB'),
    ):
        report.add(f'{name}/{title}', slope.per_unit, f'{what} {unit}')
        report.add(f'{name}/{title}-base', slope.base, what)
        report.add(f'{name}/{title}-fit', slope.correlation)
    for title, values in (
        ('table-reads', [s.reads for s in samples]),
        ('table-writes', [s.writes for s in samples]),
    ):
        report.add(f'{name}/{title}', fit_slope(sizes, values).per_unit, unit)


def measure(quick: bool) -> Report:
    """Measures every slope, then the whole at full size."""
    seconds = QUICK_SECONDS if quick else MEASURE_SECONDS
    report = Report('capacity')
    report.notes.append(
        f'One daemon unless told otherwise, {TIMES.sync:g} s between two '
        f'calls to a worker, {seconds:g} s for each measurement.'
    )
    sizes = [40.0, 80.0, 160.0]
    samples = [run_bench(int(n), measure_idle, seconds) for n in sizes]
    add_slope(report, 'worker', sizes, samples, 'per worker')
    sizes = [200.0, 600.0, 1200.0]
    samples = [run_bench(80, make_task_work(int(n)), seconds) for n in sizes]
    add_slope(report, 'task', sizes, samples, 'per task')
    sizes = [2.0, 5.0, 10.0]
    samples = [
        run_bench(40, make_start_work(n, seconds), seconds) for n in sizes
    ]
    add_slope(report, 'job', sizes, samples, 'per job/s')
    samples = [
        run_bench(10, make_change_work(n, seconds), seconds) for n in sizes
    ]
    add_slope(report, 'change', sizes, samples, 'per change/s')
    sizes = [1.0, 3.0, 6.0]
    samples = [
        run_bench(6, measure_idle, seconds, daemons=int(n)) for n in sizes
    ]
    add_slope(report, 'daemon', sizes, samples, 'per daemon')
    return report
