"""Time from a loss to resumed work, and rows of the table per task's life.

The losses are of real processes: a daemon is killed, workers are cut off.
The rows are counted in one process on virtual time, at the rate of starts
that the letter asks for, all of it on one slice.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import attrs

from benchmarks.report import Report
from lentilmount.batch.worker_commands import SessionOptions
from lentilmount.clock import ManualClock
from lentilmount.resources import Room
from lentilmount.settings import TimeSettings
from lentilmount.upstream.http import HttpClient
from stand_ins.cell import Cell, CellOptions
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import ADMIN_TOKEN, Deployment
from stand_ins.virtual_time import run_virtual

STARTS_PER_SECOND = 37.0
LIFE_SECONDS = 20.0
JOBS = 4
WAIT_SECONDS = 60.0
TIMES = TimeSettings(
    heartbeat=0.5,
    silence=1.5,
    slice_lease=2.0,
    task_lease=4.0,
    task_promise=6.0,
    sync=0.5,
)
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}


@attrs.frozen
class Rows:
    """What the table did while tasks were started at a rate."""

    writes: float
    reads: float
    calls: float
    starts: float


async def count_rows(clock: ManualClock, seconds: float) -> Rows:
    """Counts rows and calls a second, at the rate of starts."""
    options = CellOptions(
        workers=60,
        daemons=1,
        capacity=Room(16.0, 64_000, 0),
        sessions=SessionOptions(),
        tick_seconds=0.5,
    )
    async with Cell(clock, options) as cell:
        await cell.wait_for_owner()
        await asyncio.sleep(5.0)
        table = cell.table
        before = (table.writes, table.reads, sum(table.calls.values()))
        began = clock.now
        for number in range(int(STARTS_PER_SECOND * seconds)):
            due = began + number / STARTS_PER_SECOND
            await asyncio.sleep(max(0.0, due - clock.now))
            await cell.submit(f'job-{number}', LIFE_SECONDS)
        await cell.finish()
        assert cell.find_violations() == []
        return Rows(
            (table.writes - before[0]) / seconds,
            (table.reads - before[1]) / seconds,
            (sum(table.calls.values()) - before[2]) / seconds,
            len(cell.list_runs()) / seconds,
        )


class Losses:
    """A deployment in which things are lost.

    Args:
      deployment: Its processes.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment

    async def call(
        self, base: str, method: str, path: str, value: Any = None
    ) -> Any:
        """Calls a process and reads its JSON."""
        caller = HttpClient(f'http://{base}', 10.0)
        body = None if value is None else json.dumps(value).encode()
        try:
            answer = await caller.call(method, path, body, AUTHORIZATION)
        finally:
            caller.close()
        if answer.status >= 400:
            raise RuntimeError(f'{method} {path}: {answer.body.decode()}')
        return json.loads(answer.body)

    @property
    def _operators(self) -> str:
        daemons = self._deployment.daemons.values()
        up = [d for d in daemons if d.popen.poll() is None]
        return str(up[-1].addresses['operators'])

    async def submit(self, prefix: str, seconds: float) -> list[str]:
        """Submits jobs and waits until all run."""
        names = [f'{prefix}-{number}' for number in range(JOBS)]
        for name in names:
            job = {
                'kind': 'Job',
                'metadata': {'name': name, 'team': 'load'},
                'spec': {
                    'demand': {'cores': 1, 'memory_mb': 64},
                    'payload': json.dumps({'seconds': seconds}),
                },
            }
            await self.call(self._operators, 'POST', '/v1/jobs', job)
        await self.wait_for(names, 1)
        return names

    async def wait_for(self, names: list[str], attempt: int) -> float:
        """Waits until jobs run in an attempt; returns the time it took."""
        began = time.monotonic()
        while time.monotonic() - began < WAIT_SECONDS:
            if all([await self._has_begun(n, attempt) for n in names]):
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{names} did not begin attempt {attempt}')

    async def _has_begun(self, name: str, attempt: int) -> bool:
        path = f'/v1/jobs/load/{name}'
        try:
            job = (await self.call(self._operators, 'GET', path))['status']
        except RuntimeError:
            # A daemon that has just started may not be ready.
            return False
        return bool(job['phase'] == 'running' and job['attempt'] >= attempt)

    async def find_workers(self, names: list[str]) -> set[str]:
        """Returns the addresses of the workers that jobs run on."""
        addresses = self._deployment.platform.addresses['workers']
        found = set()
        for name in names:
            path = f'/v1/jobs/load/{name}'
            job = await self.call(self._operators, 'GET', path)
            found.add(str(addresses[job['status']['worker']]))
        return found

    async def kill_owner(self) -> None:
        """Kills the daemon that holds the slice."""
        while True:
            for daemon in self._deployment.daemons.values():
                if daemon.popen.poll() is not None:
                    continue
                base = daemon.addresses['operators']
                status = await self.call(base, 'GET', '/v1/status')
                if status['slices']:
                    daemon.kill()
                    return
            await asyncio.sleep(0.1)

    async def cut(self, workers: set[str], down: bool) -> None:
        """Cuts workers off, or connects them again."""
        for address in workers:
            await self.call(address, 'POST', '/_faults', {'down': down})


async def measure_losses(deployment: Deployment, report: Report) -> None:
    """Kills a daemon, then cuts workers off, then both at once."""
    losses = Losses(deployment)
    team = {'kind': 'Team', 'metadata': {'name': 'load'}, 'spec': {}}
    await losses.call(losses._operators, 'POST', '/v1/teams', team)
    names = await losses.submit('worker', 120.0)
    workers = await losses.find_workers(names)
    await losses.cut(workers, True)
    report.add(
        'loss/workers/resumed',
        await losses.wait_for(names, 2) / TIMES.task_lease,
        'task leases',
        most=3.0,
    )
    await losses.cut(workers, False)
    await losses.kill_owner()
    began = time.monotonic()
    await losses.submit('daemon', 120.0)
    report.add(
        'loss/daemon/new-work-runs',
        (time.monotonic() - began) / TIMES.slice_lease,
        'slice leases',
        most=5.0,
    )
    names = await losses.submit('both', 120.0)
    workers = await losses.find_workers(names)
    await losses.cut(workers, True)
    deployment.start_daemon('entry-2', 'zone-0')
    await losses.kill_owner()
    whole = TIMES.slice_lease + TIMES.task_lease + TIMES.task_promise
    report.add(
        'loss/daemon-and-workers/resumed',
        await losses.wait_for(names, 2) / whole,
        'slice lease, task lease and promise',
        most=2.0,
    )


def measure(quick: bool) -> Report:
    """Measures rows, then losses."""
    report = Report('recovery')
    clock = ManualClock()
    rows = run_virtual(count_rows(clock, 20.0 if quick else 60.0), clock)
    report.add('rows/starts', rows.starts, '/s')
    report.add('rows/writes', rows.writes, 'rows/s')
    report.add('rows/reads', rows.reads, 'rows/s')
    report.add('rows/calls', rows.calls, 'calls/s')
    report.add(
        'rows/writes-per-task', rows.writes / rows.starts, 'rows', most=11.0
    )
    report.add('rows/reads-per-task', rows.reads / rows.starts, 'rows')
    options = PlatformOptions(
        make_zones(['zone-0'], 12, 4, Room(8.0, 16_384, 0))
    )
    with Deployment(options, TIMES) as deployment:
        deployment.start_daemon('entry-0', 'zone-0')
        deployment.start_daemon('entry-1', 'zone-0')
        asyncio.run(measure_losses(deployment, report))
    report.notes.append(
        f'Task lease {TIMES.task_lease:g} s, slice lease '
        f'{TIMES.slice_lease:g} s, promise {TIMES.task_promise:g} s, '
        f'{JOBS} jobs for each loss. Rows: 60 workers, one slice, virtual '
        f'time, a task runs {LIFE_SECONDS:g} s.'
    )
    return report
