"""Measures a deployment of the size that the users expect in two years.

It has 690 workers in 6 availability zones, simulated by a few stand-in
processes, 2,900 latency-critical and 5,800 batch tasks, and two daemons per
zone. The cost of control per daemon and the start delay of urgent jobs are
measured.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs

from benchmarks.capacity import (
    CAPACITY,
    TIMES,
    WORKERS_PER_RACK,
    Bench,
    Sample,
    make_job,
    wait_until,
)
from benchmarks.report import Report
from lentilmount.settings import TimeSettings
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import Deployment

ZONES = 6
DAEMONS_PER_ZONE = 2
WORKERS = 690
REPLICAS = 2900
JOBS = 5800
JOB_SECONDS = 1e6
CHECKPOINT_SECONDS = 300.0
STARTS_PER_SECOND = 37
URGENT_JOBS = 40
CORES_BOUND = 0.013
MEMORY_BOUND_MB = 64.0
URGENT_BOUND_SECONDS = 2.1
PLACEMENT_TIMEOUT_SECONDS = 240.0


def make_options(scale: float) -> PlatformOptions:
    """Returns platform options with the workers of a share of the full size."""
    names = [f'zone-{number}' for number in range(ZONES)]
    workers = round(WORKERS * scale)
    return PlatformOptions(
        make_zones(names, workers, WORKERS_PER_RACK, CAPACITY),
        tick_seconds=1.0,
        checkpoint_seconds=CHECKPOINT_SECONDS,
    )


def start_processes(deployment: Deployment, scale: float) -> None:
    """Starts the daemons, and one process per zone for the workers."""
    for zone in make_options(scale).zones:
        options = attrs.evolve(make_options(scale), zones=(zone,))
        deployment.add_workers(zone.name, options)
    for number in range(ZONES * DAEMONS_PER_ZONE):
        deployment.start_daemon(
            f'entry-{number}',
            f'zone-{number % ZONES}',
            slices_per_zone=DAEMONS_PER_ZONE,
        )


async def fill(bench: Bench, scale: float) -> None:
    """Starts the service and the long jobs.

    Waits until all replicas and a sample of the jobs run.
    """
    await bench.apply_service(round(REPLICAS * scale))
    count = round(JOBS * scale)
    await bench.submit_jobs('long', count, JOB_SECONDS)
    for number in range(0, count, max(1, count // 50)):
        await wait_for_phase(bench, f'long-{number}', number, 'running')


async def wait_for_phase(
    bench: Bench, name: str, number: int, phase: str
) -> None:
    """Waits until a job reaches a phase."""
    path = f'/v1/jobs/team-{number % 180}/{name}'

    async def check() -> bool:
        job = await bench.call('GET', path)
        return bool(job['status']['phase'] == phase)

    await wait_until(check, PLACEMENT_TIMEOUT_SECONDS, interval=0.05)


async def measure_urgent(bench: Bench) -> list[float]:
    """Returns the sorted times from submission to running of urgent jobs.

    The times are in seconds.
    """
    durations = []
    for number in range(URGENT_JOBS):
        job = make_job(f'urgent-{number}', number, JOB_SECONDS)
        job['spec']['urgency'] = 'urgent'
        started_at = time.monotonic()
        await bench.call('POST', '/v1/jobs', job, number)
        await wait_for_phase(bench, f'urgent-{number}', number, 'running')
        durations.append(time.monotonic() - started_at)
    return sorted(durations)


def add_sample(report: Report, name: str, sample: Sample) -> None:
    """Adds the resource usage of the daemons and their use of the table."""
    cores = sorted(sample.cost.cores)
    report.add(f'{name}/cores-mean', sum(cores) / len(cores), 'cores')
    report.add(f'{name}/cores-most', cores[-1], 'cores')
    report.add(f'{name}/memory-most', max(sample.cost.memory_mb), 'MiB')
    report.add(f'{name}/table-reads', sample.reads, 'rows/s')
    report.add(f'{name}/table-writes', sample.writes, 'rows/s')
    report.add(f'{name}/table-calls', sample.calls, 'calls/s')
    per_daemon = sample.sent / len(cores) / 1000
    report.add(f'{name}/bytes-mean', per_daemon, 'KB/s a daemon')


async def run_deployment(bench: Bench, report: Report, scale: float) -> None:
    """Measures a full deployment at rest and at the peak rate of starts."""
    started_at = time.monotonic()
    await fill(bench, scale)
    report.add('full/fill', time.monotonic() - started_at, 's')
    add_sample(report, 'full/rest', await bench.measure())
    durations = await measure_urgent(bench)
    report.add('full/urgent-p50', durations[len(durations) // 2], 's')
    report.add('full/urgent-most', durations[-1], 's')
    rate = STARTS_PER_SECOND * scale
    count = int(rate * bench.seconds)
    add_sample(
        report,
        'full/peak',
        await bench.measure(
            lambda: bench.submit_jobs('peak', count, 1.0, rate)
        ),
    )


def measure_deployment(
    report: Report,
    seconds: float,
    scale: float = 1.0,
    times: TimeSettings = TIMES,
    on_start: Callable[[Deployment], None] | None = None,
) -> None:
    """Measures a deployment of a share of the full size.

    Args:
      report: Report that the figures are added to.
      seconds: Length of each measurement.
      scale: Share of the full size.
      times: Time settings of the daemons.
      on_start: Called when the processes have been started.
    """
    with Deployment(make_options(0.0), times) as deployment:
        start_processes(deployment, scale)
        if on_start is not None:
            on_start(deployment)

        async def work() -> None:
            bench = Bench(deployment, seconds)
            bench.connect()
            try:
                await run_deployment(bench, report, scale)
            finally:
                bench.close()

        asyncio.run(work())


def measure(quick: bool) -> Report:
    """Measures the full size, or a tenth of it in quick runs."""
    report = Report('fullsize')
    seconds, scale = (10.0, 0.1) if quick else (30.0, 1.0)
    report.notes.append(
        f'{ZONES * DAEMONS_PER_ZONE} daemons, {scale:g} of the full size, '
        f'{TIMES.sync:g} s between two calls to a worker.'
    )
    measure_deployment(report, seconds, scale)
    return report
