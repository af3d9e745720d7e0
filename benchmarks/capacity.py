"""Measures the cost of daemons per worker, task, job and change.

Real daemons run against stand-ins, with at least three sizes for each slope.
`docs/CAPACITY.md` extrapolates these figures to the full size.
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
"""Time settings for a deployment of full size."""

CAPACITY = Room(64.0, 512 * 1024, 8)
WORKERS_PER_RACK = 16
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 20.0
QUICK_SECONDS = 6.0
WAIT_SECONDS = 120.0
MAX_CONCURRENT_SUBMISSIONS = 8
MICROSECONDS_PER_SECOND = 1e6


@attrs.frozen
class Sample:
    """One measurement of a deployment.

    Attributes:
      cost: Resource usage of the daemons.
      reads: Rows per second read by the table service.
      writes: Rows per second written by the table service.
      calls: Calls per second answered by the table service.
      sent: Bytes per second sent over loopback by all processes, with headers.
    """

    cost: Cost
    reads: float
    writes: float
    calls: float
    sent: float


class Bench:
    """A deployment under measurement.

    Args:
      deployment: Its processes; the platform must be running.
      seconds: Length of each measurement.

    Attributes:
      seconds: Length of each measurement.
    """

    def __init__(self, deployment: Deployment, seconds: float):
        self._deployment = deployment
        self.seconds = seconds
        self._clients: list[HttpClient] = []
        self._platform = HttpClient(deployment.platform.addresses['table'])

    def connect(self) -> None:
        """Creates a client for the resource API of each daemon."""
        self._clients = [
            HttpClient(f'http://{d.addresses["operators"]}', 30.0)
            for d in self._deployment.daemons.values()
        ]

    async def call(
        self, method: str, path: str, value: Any = None, daemon: int = 0
    ) -> Any:
        """Calls the resource API of one daemon and returns the JSON response.

        Raises:
          RuntimeError: The daemon returned an error.
        """
        body = None if value is None else json.dumps(value).encode()
        response = await self._clients[daemon % len(self._clients)].call(
            method, path, body, {'Authorization': f'Bearer {ADMIN_TOKEN}'}
        )
        if response.status >= 400:
            raise RuntimeError(f'{method} {path}: {response.body.decode()}')
        return json.loads(response.body)

    async def read_stats(self) -> dict[str, Any]:
        """Returns the counters of the table service."""
        response = await self._platform.call('GET', '/_stats')
        stats: dict[str, Any] = json.loads(response.body)
        return stats

    async def measure(
        self, load: Callable[[], Awaitable[None]] | None = None
    ) -> Sample:
        """Measures the daemons, under a load if one is given."""
        await asyncio.sleep(SETTLE_SECONDS)
        pids = [d.popen.pid for d in self._deployment.daemons.values()]
        before = await self.read_stats()
        sent = read_loopback()
        probe = Probe(pids)
        started_at = time.monotonic()
        if load is not None:
            await load()
        remaining = self.seconds - (time.monotonic() - started_at)
        await asyncio.sleep(max(0.0, remaining))
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
        """Applies a service and waits until all replicas run."""
        path = '/v1/services/load/desk'
        await self.call('POST', '/v1/services', make_service(replicas))
        await wait_until(
            lambda: self._reason_starts_with(path, f'{replicas} of'),
            WAIT_SECONDS,
        )

    async def _reason_starts_with(self, path: str, start: str) -> bool:
        resource = await self.call('GET', path)
        return bool(resource['status']['reason'].startswith(start))

    async def submit_jobs(
        self, prefix: str, count: int, seconds: float, rate: float = 0.0
    ) -> None:
        """Submits jobs through all daemons.

        Args:
          prefix: Prefix of the job names.
          count: Number of jobs.
          seconds: Run time of each job.
          rate: Jobs per second; if 0, as fast as possible.
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_SUBMISSIONS)

        async def submit(number: int) -> None:
            async with limit:
                job = make_job(f'{prefix}-{number}', number, seconds)
                await self.call('POST', '/v1/jobs', job, number)

        started_at = time.monotonic()
        calls = []
        for number in range(count):
            if rate:
                due = started_at + number / rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            calls.append(asyncio.create_task(submit(number)))
        await asyncio.gather(*calls)

    def close(self) -> None:
        """Closes the clients."""
        for client in [*self._clients, self._platform]:
            client.close()


async def wait_until(
    check: Callable[[], Awaitable[bool]], seconds: float, interval: float = 0.5
) -> None:
    """Waits until a check returns true.

    Raises:
      RuntimeError: It did not within the given seconds.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await check():
            return
        await asyncio.sleep(interval)
    raise RuntimeError(
        f'the awaited state was not reached within {seconds:g} s'
    )


def make_service(replicas: int) -> dict[str, Any]:
    """Returns a service resource with small tasks."""
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
    """Returns a job resource with a small demand."""
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
    """Returns the options of a platform."""
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
    """Runs one measurement on a new deployment."""
    with Deployment(make_options(zones, workers), TIMES) as deployment:
        for number in range(daemons):
            deployment.start_daemon(f'entry-{number}', f'zone-{number % zones}')
        return asyncio.run(_run_one(deployment, seconds, work))


async def measure_idle(bench: Bench) -> Sample:
    """Measures an idle deployment that has one team."""
    team = {'kind': 'Team', 'metadata': {'name': 'load'}, 'spec': {}}
    await bench.call('POST', '/v1/teams', team)
    return await bench.measure()


def make_task_work(tasks: int) -> Callable[[Bench], Awaitable[Sample]]:
    """Returns a measurement with a number of running tasks."""

    async def work(bench: Bench) -> Sample:
        await bench.apply_service(tasks)
        return await bench.measure()

    return work


def make_start_work(
    rate: float, seconds: float
) -> Callable[[Bench], Awaitable[Sample]]:
    """Returns a measurement with short jobs, at a rate per second."""

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
    """Returns a measurement with configuration changes at a rate per second."""

    async def work(bench: Bench) -> Sample:
        await measure_idle(bench)

        async def change() -> None:
            started_at = time.monotonic()
            for number in range(int(rate * seconds)):
                due = started_at + number / rate
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
    """Adds the slopes of CPU time and memory of the first daemon.

    The slopes of table reads and writes are added as well.
    """
    cpu = fit_slope(
        sizes, [s.cost.cores[0] * MICROSECONDS_PER_SECOND for s in samples]
    )
    memory = fit_slope(sizes, [s.cost.memory_mb[0] * 1024 for s in samples])
    for title, slope, unit_name in (
        ('processor', cpu, 'us/s'),
        ('memory', memory, 'KiB'),
    ):
        report.add(f'{name}/{title}', slope.per_unit, f'{unit_name} {unit}')
        report.add(f'{name}/{title}-base', slope.base, unit_name)
        report.add(f'{name}/{title}-fit', slope.correlation)
    for title, values in (
        ('table-reads', [s.reads for s in samples]),
        ('table-writes', [s.writes for s in samples]),
    ):
        report.add(f'{name}/{title}', fit_slope(sizes, values).per_unit, unit)


def measure(quick: bool) -> Report:
    """Measures all slopes."""
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
