"""Measures the propagation of configurations and the detection of failures.

Real daemons run on a stand-in platform. A revision is accepted when the table
service writes it, and in force on a daemon at the time of its timeline event.
Both times come from the clocks of this host.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import statistics
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from benchmarks.mesh import measure_mesh, measure_transport
from benchmarks.probes import Probe
from benchmarks.report import Report
from lentilmount.resources import Room
from lentilmount.settings import TimeSettings
from lentilmount.upstream.http import HttpClient
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import ADMIN_TOKEN, Deployment, Process

ZONES = ('zone-0', 'zone-1', 'zone-2', 'zone-3')
SIZES = (7, 20)
BOUND_SECONDS = 3.0
CHANGES_PER_DAY = 1900
COMPRESSION = 90.0
"""Factor on the rate of changes: the changes of a day in 16 minutes, or two
per second instead of one in 45 s."""

BURST = 100
OUTAGE_SECONDS = 5.0
IDLE_SECONDS = 10.0
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
HISTOGRAM_RANGE = (1, 600_000, 3)
TIMES = TimeSettings()


@attrs.define
class Bench:
    """A deployment under measurement.

    Attributes:
      deployment: Its processes.
      daemons: The processes of its daemons.
      clients: Clients of the resource API, one for each daemon.
    """

    deployment: Deployment
    daemons: list[Process]
    clients: list[HttpClient]

    async def call(self, index: int, method: str, path: str, body: Any) -> Any:
        """Calls the resource API of a daemon and returns the JSON response.

        Raises:
          RuntimeError: The daemon returned an error.
        """
        data = None if body is None else json.dumps(body).encode()
        response = await self.clients[index].call(
            method, path, data, AUTHORIZATION
        )
        if response.status >= 400:
            raise RuntimeError(f'{path}: {response.body.decode()}')
        return json.loads(response.body)

    async def apply_change(self, index: int, team: str) -> None:
        """Applies one configuration change through a daemon."""
        resource = {
            'kind': 'Team',
            'metadata': {'name': team},
            'spec': {'weight': 2.0},
        }
        await self.call(index, 'POST', '/v1/teams', resource)

    async def read_events(self, kind: str, since: float) -> list[Any]:
        """Returns the events of one kind from all daemons."""
        path = f'/v1/timeline?since_ms={int(since * 1000)}&limit=8000'
        line = await self.call(0, 'GET', path, None)
        return [event for event in line['events'] if event['kind'] == kind]

    async def read_table(self, path: str = '/_stats') -> Any:
        """Returns the statistics of the table service."""
        client = HttpClient(self.deployment.platform.addresses['table'])
        try:
            return json.loads((await client.call('GET', path)).body)
        finally:
            client.close()

    async def set_faults(self, **faults: Any) -> None:
        """Sets the faults of the table service."""
        client = HttpClient(self.deployment.platform.addresses['table'])
        try:
            await client.call('POST', '/_faults', json.dumps(faults).encode())
        finally:
            client.close()

    async def wait_for(
        self, condition: Callable[[Any], bool], seconds: float = 60.0
    ) -> None:
        """Waits until the status of every daemon meets a condition.

        Raises:
          RuntimeError: The condition is not met in time.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            states = [
                await self.call(i, 'GET', '/v1/status', None)
                for i in range(len(self.clients))
            ]
            if all(map(condition, states)):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'a daemon does not meet the condition: {states}')


@contextlib.asynccontextmanager
async def open_bench(
    count: int, times: TimeSettings = TIMES
) -> AsyncIterator[Bench]:
    """Starts daemons in four zones and waits until all see each other."""
    room = Room(32.0, 64 * 1024, 0)
    options = PlatformOptions(make_zones(ZONES, len(ZONES), 1, room))
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(Deployment(options, times))
        daemons = [
            deployment.start_daemon(f'entry-{n}', ZONES[n % len(ZONES)])
            for n in range(count)
        ]
        clients = []
        for daemon in daemons:
            address = daemon.addresses['operators']
            clients.append(HttpClient(f'http://{address}', 30.0))
            stack.callback(clients[-1].close)
        bench = Bench(deployment, daemons, clients)
        await bench.apply_change(0, 'first')
        await bench.wait_for(
            lambda s: len(s['members']) == count and s['revision'] == 1
        )
        yield bench


async def read_delays(bench: Bench, since: float) -> HdrHistogram:
    """Returns the delays from acceptance to being in force on each daemon.

    The delays are in milliseconds.
    """
    stats = await bench.read_table('/_stats?history=1')
    offset = time.time() - time.monotonic()
    accepted = {
        int(write['sort']): write['at'] + offset
        for write in stats['history']
        if write['partition'] == 'change/configuration' and write['body']
    }
    in_force: dict[str, dict[int, float]] = {}
    for event in await bench.read_events('revision-in-force', since):
        revision = int(event['cause'].split()[-1])
        at = event['stamp']['millis'] / 1000
        in_force.setdefault(event['daemon'], {})[revision] = at
    if len(in_force) != len(bench.daemons):
        raise RuntimeError('a daemon has no event of a revision in force')
    delays = HdrHistogram(*HISTOGRAM_RANGE)
    for times in in_force.values():
        for revision, at in accepted.items():
            later = [t for r, t in times.items() if r >= revision]
            if at >= since and later:
                millis = (min(later) - at) * 1000
                delays.record_value(max(1, round(millis)))
    return delays


async def measure_steady(bench: Bench, seconds: float) -> HdrHistogram:
    """Applies changes at the compressed rate and returns their delays."""
    since, deadline = time.time(), time.monotonic() + seconds
    rng = random.Random(1)
    rate = CHANGES_PER_DAY / 86400 * COMPRESSION
    number = 0
    while time.monotonic() < deadline:
        await asyncio.sleep(rng.expovariate(rate))
        index = rng.randrange(len(bench.daemons))
        await bench.apply_change(index, f'steady-{number}')
        number += 1
    await asyncio.sleep(BOUND_SECONDS)
    return await read_delays(bench, since)


async def measure_burst(bench: Bench) -> HdrHistogram:
    """Applies many changes at once through all daemons."""
    since = time.time()
    count = len(bench.daemons)
    await asyncio.gather(
        *(bench.apply_change(n % count, f'burst-{n}') for n in range(BURST))
    )
    await asyncio.sleep(BOUND_SECONDS)
    return await read_delays(bench, since)


async def measure_detection(bench: Bench) -> tuple[list[float], list[float]]:
    """Pauses and resumes a daemon; returns the detection times in seconds.

    The first list has the times until the others saw it down, the second one
    the times until they saw it up again.
    """
    paused = bench.daemons[-1]
    stopped_at = time.time()
    paused.send(signal.SIGSTOP)
    await asyncio.sleep(3 * TIMES.silence)
    down = await bench.read_events('peer-down', stopped_at)
    resumed_at = time.time()
    paused.send(signal.SIGCONT)
    await asyncio.sleep(2 * TIMES.silence)
    up = await bench.read_events('peer-up', resumed_at)
    return (
        _read_times(down, paused.name, stopped_at),
        _read_times(up, paused.name, resumed_at),
    )


def _read_times(events: list[Any], name: str, since: float) -> list[float]:
    return [
        event['stamp']['millis'] / 1000 - since
        for event in events
        if event['cause'] == name
    ]


async def measure_recovery(bench: Bench) -> tuple[float, float]:
    """Makes the table unavailable for a while.

    Returns:
      Rows read per second before the outage, and the maximum after it.
    """

    async def count(seconds: float) -> float:
        before = (await bench.read_table())['reads']
        await asyncio.sleep(seconds)
        return float((await bench.read_table())['reads'] - before) / seconds

    steady = await count(OUTAGE_SECONDS)
    await bench.set_faults(down=True)
    await asyncio.sleep(OUTAGE_SECONDS)
    await bench.set_faults(down=False)
    recovery = max([await count(0.5) for _ in range(6)])
    return steady, recovery


def add_delays(
    report: Report, name: str, delays: HdrHistogram
) -> tuple[float, float]:
    """Adds the percentiles of delays, and the ratio of p99 to the bound.

    Returns:
      The median and the 99th percentile in milliseconds.
    """
    p50, p99 = (delays.get_value_at_percentile(p) for p in (50, 99))
    report.add(f'{name}/p50', p50, 'ms')
    report.add(f'{name}/p99', p99, 'ms')
    report.add(f'{name}/max', delays.get_max_value(), 'ms')
    report.add(f'{name}/delays', delays.get_total_count(), 'measured')
    share = p99 / 1000 / BOUND_SECONDS
    report.add(f'{name}/p99 of the 3 s promised', share, 'ratio', most=1.0)
    return p50, p99


async def measure_deployment(report: Report, count: int, quick: bool) -> None:
    """Measures a deployment with a number of daemons."""
    async with open_bench(count) as bench:
        steady = await measure_steady(bench, 10.0 if quick else 45.0)
        add_delays(report, f'{count} daemons/steady', steady)
        add_delays(report, f'{count} daemons/burst', await measure_burst(bench))
        down, up = await measure_detection(bench)
        for name, times in (('down', down), ('up again', up)):
            prefix = f'{count} daemons/paused daemon seen {name}'
            report.add(f'{prefix}/median', statistics.median(times), 's')
            report.add(f'{prefix}/max', max(times), 's')
        report.add(
            f'{count} daemons/others that saw it down',
            len(down) / (count - 1),
            'ratio',
            least=1.0,
        )
        usual, recovery = await measure_recovery(bench)
        report.add(f'{count} daemons/table reads/steady', usual, 'rows/s')
        report.add(f'{count} daemons/table reads/heal', recovery, 'rows/s')
        report.add(
            f'{count} daemons/table reads/heal to steady',
            recovery / usual,
            'ratio',
            most=6.0,
        )


async def measure_idle(report: Report, count: int, seconds: float) -> None:
    """Measures the CPU usage of idle daemons with and without heartbeats."""
    quiet = attrs.evolve(TIMES, heartbeat=20.0, silence=50.0)
    cores = {}
    for name, times in (('with', TIMES), ('without', quiet)):
        async with open_bench(count, times) as bench:
            probe = Probe([d.popen.pid for d in bench.daemons])
            await asyncio.sleep(seconds)
            cores[name] = statistics.mean(probe.read().cores)
            report.add(
                f'{count} daemons/idle/{name} heartbeats',
                100 * cores[name],
                '% of a core',
            )


async def measure_heartbeats(report: Report, quick: bool) -> None:
    """Measures the cost of heartbeats in meshes, up to the full size."""
    streamed, unary = await measure_transport(200 if quick else 2000)
    report.add('heartbeat/message and answer/stream', 1000 * streamed, 'ms CPU')
    report.add('heartbeat/message and answer/unary', 1000 * unary, 'ms CPU')
    report.add('heartbeat/stream to unary', streamed / unary, 'ratio', most=0.6)
    seconds = 4.0 if quick else 10.0
    shapes = ((4, 2, False), (4, 5, False), (6, 7, False), (6, 7, True))
    costs = {}
    for zones, per_zone, is_full in shapes:
        cost = await measure_mesh(zones, per_zone, seconds, is_full)
        costs[zones * per_zone, is_full] = cost
        kind = 'full mesh' if is_full else 'mesh'
        name = f'{kind} of {zones * per_zone}'
        carried = cost.messages * streamed / 2
        cores = 100 * (cost.cores + carried)
        report.add(f'{name}/messages sent', cost.messages, 'a second')
        report.add(f'{name}/processor', cores, '% of a core')
        report.add(f'{name}/sent', cost.sent_bytes / 1000, 'KB/s')
        report.add(f'{name}/busiest, both ways', cost.max_bytes / 1000, 'KB/s')
        report.add(
            f'{name}/up', cost.min_active, 'daemons', least=zones * per_zone
        )
    sparse, full = costs[42, False], costs[42, True]
    report.add(
        'mesh of 42/bytes to a full mesh',
        sparse.sent_bytes / full.sent_bytes,
        'ratio',
        most=0.35,
    )


def measure(quick: bool) -> Report:
    """Measures propagation, detection, recovery and heartbeats."""
    report = Report('propagation')
    report.notes.append(
        f'{CHANGES_PER_DAY} changes a day, compressed {COMPRESSION:g} times; '
        f'bursts of {BURST}. Heartbeats every {TIMES.heartbeat:g} s, down '
        f'after {TIMES.silence:g} s in a zone and twice that between zones.'
    )

    async def run() -> None:
        await measure_heartbeats(report, quick)
        for count in SIZES:
            await measure_deployment(report, count, quick)
        await measure_idle(report, SIZES[0], 5.0 if quick else IDLE_SECONDS)

    asyncio.run(run())
    return report
