"""Deployments of processes with several failures at once.

After each scenario the records of the stand-ins are checked against what the
scheduler guarantees to callers and operators.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from lentilmount.settings import TimeSettings
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.play import DeploymentRun, Entry, fetch
from stand_ins.processes import Deployment
from stand_ins.scenes import WSPOLNOTA

TIMES = TimeSettings(
    heartbeat=0.2,
    silence=1.0,
    poll=0.2,
    host_list=0.5,
    slice_lease=1.5,
    task_lease=3.0,
    task_promise=30.0,
    sync=0.5,
    usage=0.5,
    drain=1.5,
    settle=1.0,
    members=0.5,
)


def run_scenario(
    scenario: Callable[[DeploymentRun], Awaitable[None]],
) -> DeploymentRun:
    """Runs a scenario on a new deployment and checks every guarantee."""
    example = WSPOLNOTA
    zones = make_zones(
        example.zones, example.workers, example.per_rack, example.capacity
    )

    async def run_and_check() -> DeploymentRun:
        run = DeploymentRun(example, deployment)
        await run.prepare()
        await scenario(run)
        await run.wait_for_jobs()
        assert (await run.check()).violations == []
        return run

    with Deployment(PlatformOptions(zones), TIMES) as deployment:
        DeploymentRun(example, deployment).start_daemons()
        return asyncio.run(run_and_check())


async def start_daemon(run: DeploymentRun, name: str, zone: str) -> None:
    """Starts a daemon and adds it as an entry once it is ready."""
    process = await asyncio.to_thread(run.deployment.start_daemon, name, zone)
    base = f'http://{process.addresses["operators"]}'
    async with asyncio.timeout(20):
        while 'status' not in (answer := await fetch(base, '/readyz')) or (
            answer['status'] != 'ready'
        ):
            await asyncio.sleep(0.1)
    run.add_entry(process)


async def set_faults(base: str, **faults: object) -> None:
    await fetch(base, '/_faults', faults)


def test_all_daemons_are_replaced_under_load() -> None:
    """Guards against failed requests while daemons are replaced in turn."""

    async def scenario(run: DeploymentRun) -> None:
        load = asyncio.create_task(run.send_load(12.0))
        for number in range(8):
            await run.submit(number, 10.0)
        for number, old in enumerate(list(run.entries)):
            zone = run.example.zones[number % 2]
            await start_daemon(run, f'next-{number}', zone)
            await run.stop_entry(old)
            assert await asyncio.to_thread(old.process.popen.wait, 30) == 0
        await load

    run = run_scenario(scenario)
    assert run.call_counts.answered > 0
    assert run.call_counts.refusals == []


def test_a_rack_is_lost_while_its_owner_is_paused() -> None:
    """Guards against double runs: a paused owner resumes after a rack loss."""

    async def scenario(run: DeploymentRun) -> None:
        for number in range(8):
            await run.submit(number, 6.0)
        await asyncio.sleep(2.0)
        zone = run.example.zones[0]
        owner = await find_owner(run, f'{zone}/0')
        run.entries.remove(owner)
        owner.process.send(signal.SIGSTOP)
        workers = run.deployment.platform.addresses['workers']
        rack = [
            f'http://{address}'
            for name, address in workers.items()
            if name.startswith(zone)
        ][:3]
        for base in rack:
            await fetch(base, '/_record', {'restart': True})
            await set_faults(base, down=True)
        await asyncio.sleep(4.0)
        owner.process.send(signal.SIGCONT)
        await asyncio.sleep(2.0)
        for base in rack:
            await set_faults(base, down=False)

    run_scenario(scenario)


async def find_owner(run: DeploymentRun, slice_name: str) -> Entry:
    """Waits until an entry owns a slice and returns it."""
    async with asyncio.timeout(20):
        while True:
            for entry in run.entries:
                status = await run.call('GET', '/v1/status', entry=entry)
                if slice_name in status['slices']:
                    return entry
            await asyncio.sleep(0.2)


def test_the_table_is_out_and_a_daemon_is_replaced_meanwhile() -> None:
    """Guards against a daemon that serves nothing if it starts in an outage."""

    async def scenario(run: DeploymentRun) -> None:
        for number in range(6):
            await run.submit(number, 12.0)
        await asyncio.sleep(2.0)
        load = asyncio.create_task(run.send_load(10.0))
        table = run.deployment.platform.addresses['table']
        await set_faults(table, down=True)
        await asyncio.sleep(1.0)
        last = run.entries.pop()
        await asyncio.sleep(0.5)
        await asyncio.to_thread(last.process.kill)
        await start_daemon(run, 'next', run.example.zones[0])
        await load
        await set_faults(table, down=False)

    run = run_scenario(scenario)
    assert run.call_counts.answered > 0
    assert run.call_counts.refusals == []


def test_a_worker_fails_everything_during_a_wave_of_cancellations() -> None:
    """Guards against jobs that end because one worker fails every start."""

    async def scenario(run: DeploymentRun) -> None:
        workers = list(run.deployment.platform.addresses['workers'].values())
        broken = f'http://{workers[0]}'
        await set_faults(broken, fail_starts=True)
        for number in range(40):
            await run.submit(number, 2.0)
        cancelled = run.jobs[20:]
        del run.jobs[20:]
        team = run.example.job_team
        await asyncio.gather(
            *(
                run.call('POST', f'/v1/jobs/{team}/{name}/cancel')
                for name in cancelled
            )
        )

    run_scenario(scenario)
