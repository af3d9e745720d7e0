"""All daemons and stand-ins as processes, with several faults at once.

After each scenario, the guarantees to callers and operators are checked
against what the stand-ins recorded.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from lentilmount.settings import TimeSettings
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.play import Entry, Play, fetch
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


def play(scenario: Callable[[Play], Awaitable[None]]) -> Play:
    """Runs a scenario and checks every guarantee."""
    scene = WSPOLNOTA
    zones = make_zones(
        scene.zones, scene.workers, scene.per_rack, scene.capacity
    )

    async def perform() -> Play:
        whole = Play(scene, deployment)
        await whole.begin()
        await scenario(whole)
        await whole.wait_for_jobs()
        assert (await whole.check()).violations == []
        return whole

    with Deployment(PlatformOptions(zones), TIMES) as deployment:
        Play(scene, deployment).start()
        return asyncio.run(perform())


async def start_daemon(whole: Play, name: str, zone: str) -> None:
    """Starts a daemon and lets callers use it once it is ready."""
    process = await asyncio.to_thread(whole.deployment.start_daemon, name, zone)
    base = f'http://{process.addresses["operators"]}'
    async with asyncio.timeout(20):
        while 'status' not in (answer := await fetch(base, '/readyz')) or (
            answer['status'] != 'ready'
        ):
            await asyncio.sleep(0.1)
    whole.add_entry(process)


async def set_faults(base: str, **faults: object) -> None:
    await fetch(base, '/_faults', faults)


def test_all_daemons_are_replaced_under_load() -> None:
    """Requests failed while daemons were replaced in turn."""

    async def scenario(whole: Play) -> None:
        load = asyncio.create_task(whole.send_load(12.0))
        for number in range(8):
            await whole.submit(number, 10.0)
        for number, old in enumerate(list(whole.entries)):
            zone = whole.scene.zones[number % 2]
            await start_daemon(whole, f'next-{number}', zone)
            await whole.stop_entry(old)
            assert await asyncio.to_thread(old.process.popen.wait, 30) == 0
        await load

    whole = play(scenario)
    assert whole.tally.answered > 0
    assert whole.tally.refusals == []


def test_a_rack_is_lost_while_its_owner_is_paused() -> None:
    """A paused owner that wakes doubled what a lost rack had run."""

    async def scenario(whole: Play) -> None:
        for number in range(8):
            await whole.submit(number, 6.0)
        await asyncio.sleep(2.0)
        zone = whole.scene.zones[0]
        owner = await find_owner(whole, f'{zone}/0')
        whole.entries.remove(owner)
        owner.process.send(signal.SIGSTOP)
        workers = whole.deployment.platform.addresses['workers']
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

    play(scenario)


async def find_owner(whole: Play, slice_name: str) -> Entry:
    """Returns the entry that owns a slice."""
    async with asyncio.timeout(20):
        while True:
            for entry in whole.entries:
                status = await whole.call('GET', '/v1/status', entry=entry)
                if slice_name in status['slices']:
                    return entry
            await asyncio.sleep(0.2)


def test_the_table_is_out_and_a_daemon_is_replaced_meanwhile() -> None:
    """Without the table a new daemon served nobody."""

    async def scenario(whole: Play) -> None:
        for number in range(6):
            await whole.submit(number, 12.0)
        await asyncio.sleep(2.0)
        load = asyncio.create_task(whole.send_load(10.0))
        table = whole.deployment.platform.addresses['table']
        await set_faults(table, down=True)
        await asyncio.sleep(1.0)
        last = whole.entries.pop()
        await asyncio.sleep(0.5)
        await asyncio.to_thread(last.process.kill)
        await start_daemon(whole, 'next', whole.scene.zones[0])
        await load
        await set_faults(table, down=False)

    whole = play(scenario)
    assert whole.tally.answered > 0
    assert whole.tally.refusals == []


def test_a_worker_fails_everything_during_a_wave_of_cancellations() -> None:
    """Failures of one worker ended jobs."""

    async def scenario(whole: Play) -> None:
        workers = list(whole.deployment.platform.addresses['workers'].values())
        broken = f'http://{workers[0]}'
        await set_faults(broken, fail_starts=True)
        for number in range(40):
            await whole.submit(number, 2.0)
        cancelled = whole.jobs[20:]
        del whole.jobs[20:]
        team = whole.scene.job_team
        await asyncio.gather(
            *(
                whole.call('POST', f'/v1/jobs/{team}/{name}/cancel')
                for name in cancelled
            )
        )

    play(scenario)
