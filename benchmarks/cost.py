"""What routing costs a request, against a bare tornado-to-curl pass-through."""

from __future__ import annotations

import asyncio
import statistics
import time

from benchmarks.fleet import AIRTIME, Fleet, FleetOptions, read_cpu_seconds
from benchmarks.load import Client, Load, Stream
from benchmarks.report import Report
from stand_ins.processes import ADMIN_TOKEN, Process
from stand_ins.raw import RawOptions

MEAN_MS = 10.0
RATE = 250.0
ROUNDS = 3


async def measure_idle(process: Process, seconds: float) -> float:
    """Returns the cores that a process uses without requests."""
    before = read_cpu_seconds(process)
    await asyncio.sleep(seconds)
    return (read_cpu_seconds(process) - before) / seconds


async def measure_cpu(
    process: Process, idempotent: float, seconds: float, idle: float = 0.0
) -> float:
    """Returns the microseconds of processor time for a request.

    Args:
      process: What is called.
      idempotent: Share of idempotent requests.
      seconds: How long to measure.
      idle: Cores that the process uses without requests; not counted.
    """
    client = Client(process.addresses['callers'], ADMIN_TOKEN)
    load = Load([client], 1.0, seed=1)
    began, before = time.monotonic(), read_cpu_seconds(process)
    stream = Stream(AIRTIME.service, RATE, 0.0, seconds, idempotent)
    (tally,) = await load.run('cost', [stream])
    used = read_cpu_seconds(process) - before
    used -= idle * (time.monotonic() - began)
    client.close()
    return used / max(1, tally.answered) * 1e6


async def add_costs(report: Report, seconds: float) -> None:
    """Adds the cost of a request, three ways, and what a core serves."""
    options = FleetOptions(AIRTIME, RawOptions(mean_ms=MEAN_MS), daemons=1)
    rounds: list[tuple[float, float, float]] = []
    async with Fleet(options) as fleet:
        addresses = list(fleet.endpoints.values())
        bare = fleet.deployment.start(
            'bare', 'benchmarks.passthrough', addresses
        )
        (daemon,) = fleet.daemons
        idle = await measure_idle(daemon, seconds)
        for _ in range(ROUNDS):
            rounds.append(
                (
                    await measure_cpu(bare, 1.0, seconds),
                    await measure_cpu(daemon, 1.0, seconds, idle),
                    await measure_cpu(daemon, 0.0, seconds, idle),
                )
            )
    base, ours, once = (statistics.median(x) for x in zip(*rounds, strict=True))
    report.add('cost/idle daemon', idle, 'cores')
    report.add('cost/bare pass-through', base, 'us CPU')
    report.add('cost/idempotent request', ours, 'us CPU')
    report.add('cost/non-idempotent request', once, 'us CPU')
    report.add('cost/ratio to bare', ours / base, '', most=1.5)
    report.add('cost/requests a second per core', 1e6 / ours, '')
