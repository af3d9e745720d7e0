"""Measures recovery times after losses, and table rows per task.

The losses hit real processes: a daemon is killed and workers are disconnected.
The rows are counted in one process in virtual time, at the required rate of
starts, with all tasks on one slice.
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
JOB_SECONDS = 20.0
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
class TableRates:
    """Rates of table rows and calls, and of task starts, per second."""

    writes: float
    reads: float
    calls: float
    starts: float


async def count_rows(clock: ManualClock, seconds: float) -> TableRates:
    """Measures rows and calls per second at `STARTS_PER_SECOND`."""
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
        started_at = clock.now
        for number in range(int(STARTS_PER_SECOND * seconds)):
            due = started_at + number / STARTS_PER_SECOND
            await asyncio.sleep(max(0.0, due - clock.now))
            await cell.submit(f'job-{number}', JOB_SECONDS)
        await cell.finish()
        assert cell.find_violations() == []
        return TableRates(
            (table.writes - before[0]) / seconds,
            (table.reads - before[1]) / seconds,
            (sum(table.calls.values()) - before[2]) / seconds,
            len(cell.list_runs()) / seconds,
        )


class LossScenarios:
    """Causes losses in a deployment and measures the recovery.

    Args:
      deployment: Its processes.
    """

    def __init__(self, deployment: Deployment):
        self._deployment = deployment

    async def call(
        self, address: str, method: str, path: str, value: Any = None
    ) -> Any:
        """Calls a process and returns its JSON response.

        Raises:
          RuntimeError: The process returned an error.
        """
        client = HttpClient(f'http://{address}', 10.0)
        body = None if value is None else json.dumps(value).encode()
        try:
            response = await client.call(method, path, body, AUTHORIZATION)
        finally:
            client.close()
        if response.status >= 400:
            raise RuntimeError(f'{method} {path}: {response.body.decode()}')
        return json.loads(response.body)

    @property
    def _operators(self) -> str:
        daemons = self._deployment.daemons.values()
        up = [d for d in daemons if d.popen.poll() is None]
        return str(up[-1].addresses['operators'])

    async def submit(self, prefix: str, seconds: float) -> list[str]:
        """Submits jobs, waits until all run and returns their names."""
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
        """Waits until jobs run in at least the given attempt.

        Returns:
          The time that it took, in seconds.

        Raises:
          RuntimeError: They did not within `WAIT_SECONDS`.
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < WAIT_SECONDS:
            if all([await self._has_started(n, attempt) for n in names]):
                return time.monotonic() - started_at
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{names} did not start attempt {attempt} in time')

    async def _has_started(self, name: str, attempt: int) -> bool:
        path = f'/v1/jobs/load/{name}'
        try:
            job = (await self.call(self._operators, 'GET', path))['status']
        except RuntimeError:
            # A daemon that has just started may not be ready yet.
            return False
        return bool(job['phase'] == 'running' and job['attempt'] >= attempt)

    async def find_workers(self, names: list[str]) -> set[str]:
        """Returns the addresses of the workers on which jobs run."""
        addresses = self._deployment.platform.addresses['workers']
        found = set()
        for name in names:
            path = f'/v1/jobs/load/{name}'
            job = await self.call(self._operators, 'GET', path)
            found.add(str(addresses[job['status']['worker']]))
        return found

    async def kill_owner_daemon(self) -> None:
        """Kills the daemon that owns the slice."""
        while True:
            for daemon in self._deployment.daemons.values():
                if daemon.popen.poll() is not None:
                    continue
                address = daemon.addresses['operators']
                status = await self.call(address, 'GET', '/v1/status')
                if status['slices']:
                    daemon.kill()
                    return
            await asyncio.sleep(0.1)

    async def set_disconnected(self, workers: set[str], down: bool) -> None:
        """Disconnects workers, or connects them again."""
        for address in workers:
            await self.call(address, 'POST', '/_faults', {'down': down})


async def measure_losses(deployment: Deployment, report: Report) -> None:
    """Measures the loss of workers, of the owner daemon, and of both."""
    scenarios = LossScenarios(deployment)
    team = {'kind': 'Team', 'metadata': {'name': 'load'}, 'spec': {}}
    await scenarios.call(scenarios._operators, 'POST', '/v1/teams', team)
    names = await scenarios.submit('worker', 120.0)
    workers = await scenarios.find_workers(names)
    await scenarios.set_disconnected(workers, True)
    report.add(
        'loss/workers/resumed',
        await scenarios.wait_for(names, 2) / TIMES.task_lease,
        'task leases',
        most=3.0,
    )
    await scenarios.set_disconnected(workers, False)
    await scenarios.kill_owner_daemon()
    started_at = time.monotonic()
    await scenarios.submit('daemon', 120.0)
    report.add(
        'loss/daemon/new-work-runs',
        (time.monotonic() - started_at) / TIMES.slice_lease,
        'slice leases',
        most=5.0,
    )
    names = await scenarios.submit('both', 120.0)
    workers = await scenarios.find_workers(names)
    await scenarios.set_disconnected(workers, True)
    deployment.start_daemon('entry-2', 'zone-0')
    await scenarios.kill_owner_daemon()
    total_seconds = TIMES.slice_lease + TIMES.task_lease + TIMES.task_promise
    report.add(
        'loss/daemon-and-workers/resumed',
        await scenarios.wait_for(names, 2) / total_seconds,
        'slice lease, task lease and promise',
        most=2.0,
    )


def measure(quick: bool) -> Report:
    """Measures table rows, then recovery times."""
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
        f'time, a task runs {JOB_SECONDS:g} s.'
    )
    return report
