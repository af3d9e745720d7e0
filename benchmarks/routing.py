"""Compares tail latency, goodput and cost of routing with a naive router."""

from __future__ import annotations

import asyncio
import time

import attrs

from benchmarks.cost import add_costs
from benchmarks.fleet import (
    AIRTIME,
    RAPORT,
    WAVE_SERVICE,
    Fleet,
    FleetOptions,
    Site,
    read_cpu_seconds,
)
from benchmarks.load import Client, Load, Stream, Tally, send_control
from benchmarks.report import Report
from stand_ins.processes import ADMIN_TOKEN
from stand_ins.raw import FAULTS_PATH, RECORD_PATH, RawOptions

MEAN_MS = 300.0
"""Mean response time, long enough that the slots of all upstreams are full at
a request rate for which the fakes, the load generator and the daemons need few
cores."""

TARGET_MS = 1000.0
DEADLINE_MS = 4000.0
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 6.0
QUICK_SECONDS = 3.0
SLOW_FACTOR = 10.0
WAVE_SHARE = 0.2
"""Rate limit of the noisy team, as a share of the capacity."""

NAIVE = 'naive'
SHIPPED = ''


@attrs.frozen
class Case:
    """A combination of load and faults.

    Attributes:
      name: Name in the report.
      load: Load as a share of the capacity.
      wave: Load of the noisy team in the middle of the run, as a share of the
        capacity.
      slow: Whether one upstream becomes ten times slower after the warm-up.
      cut: Whether the upstreams of the last zone stop answering after the
        warm-up.
    """

    name: str
    load: float
    wave: float = 0.0
    slow: bool = False
    cut: bool = False


CASES = (
    Case('steady-50', 0.5),
    Case('steady-80', 0.8),
    Case('steady-95', 0.95),
    Case('steady-120', 1.2),
    Case('wave-60', 0.6, wave=0.8),
    Case('slow-80', 0.8, slow=True),
    Case('cut-60', 0.6, cut=True),
)


@attrs.frozen
class CaseResult:
    """Result of one case.

    Attributes:
      tally: Results as seen by the callers of the service.
      seconds: Length of the counted part of the run.
      capacity: Requests per second served when all slots are in use.
      violations: Number of wrong responses, of non-idempotent requests that
        ran more than once and of requests that ran although reported as not
        run.
      connections: Maximum number of connections to one upstream so far.
      cores: Mean CPU usage of all daemons in cores.
    """

    tally: Tally
    seconds: float
    capacity: float
    violations: int
    connections: int
    cores: float

    @property
    def goodput(self) -> float:
        """Responses within the latency target, as a share of the capacity."""
        return self.tally.in_time / self.seconds / self.capacity


async def set_faults(addresses: list[str], **faults: object) -> None:
    """Sets the faults of raw upstreams."""
    await asyncio.gather(
        *(send_control(a, FAULTS_PATH, faults) for a in addresses)
    )


async def read_records(fleet: Fleet) -> tuple[dict[str, int], int]:
    """Returns how often each request ran, and the maximum of connections."""
    served: dict[str, int] = {}
    connections = 0
    for address in fleet.endpoints.values():
        record = await send_control(address, RECORD_PATH, {})
        counts = record['served']
        assert isinstance(counts, dict)
        for request, count in counts.items():
            served[request] = served.get(request, 0) + count
        most = record['most_connections']
        assert isinstance(most, int)
        connections = max(connections, most)
    return served, connections


def count_violations(tallies: list[Tally], served: dict[str, int]) -> int:
    """Counts contradictions between the responses and the requests that ran."""
    violations = 0
    for tally in tallies:
        violations += tally.wrong
        violations += sum(served.get(r, 0) > 1 for r in tally.non_idempotent)
        violations += sum(r in served for r in tally.reported_not_run)
    return violations


class Runner:
    """Runs cases against one fleet."""

    def __init__(self, fleet: Fleet, seconds: float):
        self._fleet = fleet
        self._seconds = seconds
        self._clients = [
            Client(d.addresses['callers'], ADMIN_TOKEN) for d in fleet.daemons
        ]

    async def run(self, case: Case, seed: int) -> CaseResult:
        """Runs one case and clears its faults."""
        fleet = self._fleet
        load = Load(self._clients, TARGET_MS / 1000, seed)
        name = f'{fleet.options.variant or "ours"}-{case.name}'
        before = [read_cpu_seconds(d) for d in fleet.daemons]
        started_at = time.monotonic()
        faults = asyncio.create_task(self._set_faults(case))
        tallies = await load.run(name, self._make_streams(case))
        await faults
        took = time.monotonic() - started_at
        after = [read_cpu_seconds(d) for d in fleet.daemons]
        await set_faults(
            list(fleet.endpoints.values()), factor=1.0, silent=False
        )
        served, connections = await read_records(fleet)
        return CaseResult(
            tallies[0],
            self._seconds,
            fleet.capacity,
            count_violations(tallies, served),
            connections,
            (sum(after) - sum(before)) / took,
        )

    def _make_streams(self, case: Case) -> list[Stream]:
        capacity = self._fleet.capacity
        end = WARM_UP_SECONDS + self._seconds
        service = self._fleet.options.site.service
        rate = capacity * case.load
        streams = [
            Stream(service, rate, 0.0, end, counted_from=WARM_UP_SECONDS)
        ]
        if case.wave:
            begin = WARM_UP_SECONDS + self._seconds / 6
            streams.append(
                Stream(
                    WAVE_SERVICE,
                    capacity * case.wave,
                    begin,
                    begin + self._seconds / 2,
                )
            )
        return streams

    async def _set_faults(self, case: Case) -> None:
        await asyncio.sleep(WARM_UP_SECONDS)
        fleet = self._fleet
        if case.slow:
            first = next(iter(fleet.endpoints.values()))
            await set_faults([first], factor=SLOW_FACTOR)
        if case.cut:
            zone = fleet.options.site.zones[-1]
            await set_faults(fleet.list_zone_addresses(zone), silent=True)

    def close(self) -> None:
        """Closes the connections."""
        for client in self._clients:
            client.close()


async def run_cases(
    site: Site, variant: str, cases: tuple[Case, ...], seconds: float
) -> dict[str, CaseResult]:
    """Runs every case against one variant."""
    raw = RawOptions(mean_ms=MEAN_MS)
    capacity = site.workers * raw.slots / (MEAN_MS / 1000)
    options = FleetOptions(
        site,
        raw,
        variant,
        target_ms=TARGET_MS,
        deadline_ms=DEADLINE_MS,
        wave_rate_limit=capacity * WAVE_SHARE,
    )
    async with Fleet(options) as fleet:
        runner = Runner(fleet, seconds)
        results = {
            case.name: await runner.run(case, seed)
            for seed, case in enumerate(cases)
        }
        runner.close()
    return results


def add_result(report: Report, prefix: str, result: CaseResult) -> None:
    """Adds the figures of one case to the report."""
    tally = result.tally
    for percentile in (50.0, 99.0, 99.9):
        report.add(
            f'{prefix}/p{percentile:g}',
            tally.get_percentile_ms(percentile),
            'ms',
        )
    report.add(f'{prefix}/goodput', result.goodput, 'of capacity')
    sent = max(1, tally.sent)
    report.add(f'{prefix}/refused', tally.refused / sent, 'of requests')
    report.add(f'{prefix}/failed', tally.failed / sent, 'of requests')
    report.add(f'{prefix}/broken promises', result.violations, 'requests')
    report.add(f'{prefix}/daemon cores', result.cores, 'cores')


def add_bounds(
    report: Report,
    site: str,
    shipped: dict[str, CaseResult],
    naive: dict[str, CaseResult],
) -> None:
    """Adds the figures that have regression bounds."""
    violations = sum(result.violations for result in shipped.values())
    report.add(f'{site}/broken promises', violations, 'requests', most=0)
    connections = max(result.connections for result in shipped.values())
    report.add(f'{site}/most connections', connections, '', most=64)
    for name, most in (('slow-80', 0.2), ('cut-60', 0.5)):
        if name in shipped:
            ratio = shipped[name].tally.get_percentile_ms(99.0) / max(
                1.0, naive[name].tally.get_percentile_ms(99.0)
            )
            report.add(f'{site}/{name}/p99 to naive', ratio, '', most=most)
    if 'steady-120' in shipped:
        goodput = shipped['steady-120'].goodput
        report.add(
            f'{site}/steady-120/goodput to capacity', goodput, '', least=0.95
        )


async def measure_all(quick: bool) -> Report:
    """Runs all cases of both services with the shipped and the naive router."""
    report = Report('routing')
    seconds = QUICK_SECONDS if quick else RUN_SECONDS
    sites = (AIRTIME,) if quick else (AIRTIME, RAPORT)
    for site in sites:
        name = site.service.partition('/')[2]
        shipped = await run_cases(site, SHIPPED, CASES, seconds)
        naive = await run_cases(site, NAIVE, CASES, seconds)
        for case in CASES:
            add_result(report, f'{name}/{case.name}/ours', shipped[case.name])
            add_result(report, f'{name}/{case.name}/naive', naive[case.name])
        add_bounds(report, name, shipped, naive)
    await add_costs(report, seconds)
    return report


def measure(quick: bool) -> Report:
    """Runs the benchmark."""
    return asyncio.run(measure_all(quick))
