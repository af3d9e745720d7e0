"""Measures the CPU cost of routing against a minimal forwarding proxy."""

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
    """Returns the CPU usage of a process without requests, in cores."""
    before = read_cpu_seconds(process)
    await asyncio.sleep(seconds)
    return (read_cpu_seconds(process) - before) / seconds


async def measure_cpu(
    process: Process, idempotent: float, seconds: float, idle_cores: float = 0.0
) -> float:
    """Returns the CPU time of a process per answered request, in microseconds.

    Args:
      process: The proxy or daemon that is called.
      idempotent: Share of idempotent requests.
      seconds: Length of the measurement.
      idle_cores: CPU usage without requests in cores, which is subtracted.
    """
    client = Client(process.addresses['callers'], ADMIN_TOKEN)
    load = Load([client], 1.0, seed=1)
    started_at, before = time.monotonic(), read_cpu_seconds(process)
    stream = Stream(AIRTIME.service, RATE, 0.0, seconds, idempotent)
    (tally,) = await load.run('cost', [stream])
    used = read_cpu_seconds(process) - before
    used -= idle_cores * (time.monotonic() - started_at)
    client.close()
    return used / max(1, tally.answered) * 1e6


async def add_costs(report: Report, seconds: float) -> None:
    """Adds the CPU cost per request and the requests per core.

    The cost is measured for the minimal proxy, for idempotent and for
    non-idempotent requests.
    """
    options = FleetOptions(AIRTIME, RawOptions(mean_ms=MEAN_MS), daemons=1)
    rounds: list[tuple[float, float, float]] = []
    async with Fleet(options) as fleet:
        addresses = list(fleet.endpoints.values())
        bare = fleet.deployment.start(
            'bare', 'benchmarks.passthrough', addresses
        )
        (daemon,) = fleet.daemons
        idle_cores = await measure_idle(daemon, seconds)
        for _ in range(ROUNDS):
            rounds.append(
                (
                    await measure_cpu(bare, 1.0, seconds),
                    await measure_cpu(daemon, 1.0, seconds, idle_cores),
                    await measure_cpu(daemon, 0.0, seconds, idle_cores),
                )
            )
    bare_us, idempotent_us, non_idempotent_us = (
        statistics.median(x) for x in zip(*rounds, strict=True)
    )
    report.add('cost/idle daemon', idle_cores, 'cores')
    report.add('cost/bare pass-through', bare_us, 'us CPU')
    report.add('cost/idempotent request', idempotent_us, 'us CPU')
    report.add('cost/non-idempotent request', non_idempotent_us, 'us CPU')
    report.add('cost/ratio to bare', idempotent_us / bare_us, '', most=1.5)
    report.add('cost/requests a second per core', 1e6 / idempotent_us, '')
