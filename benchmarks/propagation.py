"""How fast a configuration is in force, and how fast daemons notice cuts.

Real daemons on a stand-in platform. A revision counts as in force on a daemon
at the time-line event that says so; it counts as accepted when the table
wrote it. Both clocks are of this machine.
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
"""A day's changes in 16 minutes: two a second in place of one in 45 s."""

BURST = 100
OUTAGE_SECONDS = 5.0
IDLE_SECONDS = 10.0
ACCESS = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
HISTOGRAM_RANGE = (1, 600_000, 3)
TIMES = TimeSettings()


@attrs.define
class Bench:
    """A deployment under measurement.

    Attributes:
      deployment: Its processes.
      daemons: Its daemons.
      callers: A client for each daemon's resource API.
    """

    deployment: Deployment
    daemons: list[Process]
    callers: list[HttpClient]

    async def ask(self, index: int, method: str, path: str, body: Any) -> Any:
        """Calls the resource API of a daemon."""
        data = None if body is None else json.dumps(body).encode()
        answer = await self.callers[index].call(method, path, data, ACCESS)
        if answer.status >= 400:
            raise RuntimeError(f'{path}: {answer.body.decode()}')
        return json.loads(answer.body)

    async def apply(self, index: int, team: str) -> None:
        """Has one change accepted by a daemon."""
        resource = {
            'kind': 'Team',
            'metadata': {'name': team},
            'spec': {'weight': 2.0},
        }
        await self.ask(index, 'POST', '/v1/teams', resource)

    async def read_events(self, kind: str, since: float) -> list[Any]:
        """Returns the events of one kind of all daemons."""
        path = f'/v1/timeline?since_ms={int(since * 1000)}&limit=8000'
        line = await self.ask(0, 'GET', path, None)
        return [event for event in line['events'] if event['kind'] == kind]

    async def read_table(self, path: str = '/_stats') -> Any:
        """Returns what the table counted."""
        caller = HttpClient(self.deployment.platform.addresses['table'])
        try:
            return json.loads((await caller.call('GET', path)).body)
        finally:
            caller.close()

    async def set_fault(self, **faults: Any) -> None:
        """Sets the table's faults."""
        caller = HttpClient(self.deployment.platform.addresses['table'])
        try:
            await caller.call('POST', '/_faults', json.dumps(faults).encode())
        finally:
            caller.close()

    async def wait_for(
        self, is_met: Callable[[Any], bool], seconds: float = 60.0
    ) -> None:
        """Waits until each daemon's status is as wanted."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            states = [
                await self.ask(i, 'GET', '/v1/status', None)
                for i in range(len(self.callers))
            ]
            if all(map(is_met, states)):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'the daemons are not as wanted: {states}')


@contextlib.asynccontextmanager
async def open_bench(
    count: int, times: TimeSettings = TIMES
) -> AsyncIterator[Bench]:
    """Starts daemons spread over four zones until all see each other."""
    room = Room(32.0, 64 * 1024, 0)
    options = PlatformOptions(make_zones(ZONES, len(ZONES), 1, room))
    with contextlib.ExitStack() as stack:
        deployment = stack.enter_context(Deployment(options, times))
        daemons = [
            deployment.start_daemon(f'entry-{n}', ZONES[n % len(ZONES)])
            for n in range(count)
        ]
        callers = []
        for daemon in daemons:
            address = daemon.addresses['operators']
            callers.append(HttpClient(f'http://{address}', 30.0))
            stack.callback(callers[-1].close)
        bench = Bench(deployment, daemons, callers)
        await bench.apply(0, 'first')
        await bench.wait_for(
            lambda s: len(s['members']) == count and s['revision'] == 1
        )
        yield bench


async def read_delays(bench: Bench, since: float) -> HdrHistogram:
    """Returns the milliseconds from each acceptance to each daemon."""
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
        raise RuntimeError('a daemon told of no revision')
    delays = HdrHistogram(*HISTOGRAM_RANGE)
    for times in in_force.values():
        for revision, at in accepted.items():
            later = [t for r, t in times.items() if r >= revision]
            if at >= since and later:
                millis = (min(later) - at) * 1000
                delays.record_value(max(1, round(millis)))
    return delays


async def measure_steady(bench: Bench, seconds: float) -> HdrHistogram:
    """Has changes accepted at the users' rate, compressed."""
    since, until = time.time(), time.monotonic() + seconds
    randoms = random.Random(1)
    rate = CHANGES_PER_DAY / 86400 * COMPRESSION
    number = 0
    while time.monotonic() < until:
        await asyncio.sleep(randoms.expovariate(rate))
        index = randoms.randrange(len(bench.daemons))
        await bench.apply(index, f'steady-{number}')
        number += 1
    await asyncio.sleep(BOUND_SECONDS)
    return await read_delays(bench, since)


async def measure_burst(bench: Bench) -> HdrHistogram:
    """Has many changes accepted at once, through every daemon."""
    since = time.time()
    count = len(bench.daemons)
    await asyncio.gather(
        *(bench.apply(n % count, f'burst-{n}') for n in range(BURST))
    )
    await asyncio.sleep(BOUND_SECONDS)
    return await read_delays(bench, since)


async def measure_detection(bench: Bench) -> tuple[list[float], list[float]]:
    """Pauses a daemon; returns when others saw it down, and up again."""
    paused = bench.daemons[-1]
    stopped_at = time.time()
    paused.send(signal.SIGSTOP)
    await asyncio.sleep(3 * TIMES.silence)
    down = await bench.read_events('peer-down', stopped_at)
    woken_at = time.time()
    paused.send(signal.SIGCONT)
    await asyncio.sleep(2 * TIMES.silence)
    up = await bench.read_events('peer-up', woken_at)
    return (
        _read_times(down, paused.name, stopped_at),
        _read_times(up, paused.name, woken_at),
    )


def _read_times(events: list[Any], name: str, since: float) -> list[float]:
    return [
        event['stamp']['millis'] / 1000 - since
        for event in events
        if event['cause'] == name
    ]


async def measure_heal(bench: Bench) -> tuple[float, float]:
    """Takes the table away; returns reads a second before and at the heal."""

    async def count(seconds: float) -> float:
        before = (await bench.read_table())['reads']
        await asyncio.sleep(seconds)
        return float((await bench.read_table())['reads'] - before) / seconds

    steady = await count(OUTAGE_SECONDS)
    await bench.set_fault(down=True)
    await asyncio.sleep(OUTAGE_SECONDS)
    await bench.set_fault(down=False)
    heal = max([await count(0.5) for _ in range(6)])
    return steady, heal


def add_delays(
    report: Report, name: str, delays: HdrHistogram
) -> tuple[float, float]:
    """Adds the percentiles of delays and their share of the bound."""
    p50, p99 = (delays.get_value_at_percentile(p) for p in (50, 99))
    report.add(f'{name}/p50', p50, 'ms')
    report.add(f'{name}/p99', p99, 'ms')
    report.add(f'{name}/max', delays.get_max_value(), 'ms')
    report.add(f'{name}/delays', delays.get_total_count(), 'measured')
    share = p99 / 1000 / BOUND_SECONDS
    report.add(f'{name}/p99 of the 3 s promised', share, 'ratio', most=1.0)
    return p50, p99


async def measure_deployment(report: Report, count: int, quick: bool) -> None:
    """Measures a deployment of a number of daemons."""
    async with open_bench(count) as bench:
        steady = await measure_steady(bench, 10.0 if quick else 45.0)
        add_delays(report, f'{count} daemons/steady', steady)
        add_delays(report, f'{count} daemons/burst', await measure_burst(bench))
        down, up = await measure_detection(bench)
        for name, times in (('down', down), ('up again', up)):
            where = f'{count} daemons/paused daemon seen {name}'
            report.add(f'{where}/median', statistics.median(times), 's')
            report.add(f'{where}/max', max(times), 's')
        report.add(
            f'{count} daemons/others that saw it down',
            len(down) / (count - 1),
            'ratio',
            least=1.0,
        )
        usual, heal = await measure_heal(bench)
        report.add(f'{count} daemons/table reads/steady', usual, 'rows/s')
        report.add(f'{count} daemons/table reads/heal', heal, 'rows/s')
        report.add(
            f'{count} daemons/table reads/heal to steady',
            heal / usual,
            'ratio',
            most=6.0,
        )


async def measure_idle(report: Report, count: int, seconds: float) -> None:
    """Measures what heartbeats add to an idle daemon's processor time."""
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
    """Measures the heartbeats of meshes, up to the users' full size."""
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
        report.add(f'{name}/busiest, both ways', cost.most_bytes / 1000, 'KB/s')
        report.add(f'{name}/up', cost.up, 'daemons', least=zones * per_zone)
    sparse, full = costs[42, False], costs[42, True]
    report.add(
        'mesh of 42/bytes to a full mesh',
        sparse.sent_bytes / full.sent_bytes,
        'ratio',
        most=0.35,
    )


def measure(quick: bool) -> Report:
    """Measures propagation, detection, healing, and heartbeats."""
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
