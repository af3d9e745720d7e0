"""A gang that wants one rack, after a worker was lost: is it still done?"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.common.gangs import Gangs
from review.common.site import Site, run_case

WORKERS = 32
CORES = 32
RACK_SIZE = 8
LOST = (3, 12, 21, 30)  # one of each rack, 12.5% of the workers
MEMBERS = 8
MEMBER_CPU = 20000
TRAFFIC_SECONDS = 30
SMALL_EVERY = 0.5
FINISH_SECONDS = 14
STALL_SECONDS = 3
GANG_PATH = f'/season/{0xabc:016x}'


def make_gang() -> dict[str, object]:
    step = {
        'count': MEMBERS,
        'cpu': MEMBER_CPU,
        'memMb': 6400,
        'estimatedMs': 2000,
        'gang': True,
        'sameRack': True,
    }
    return {'spec': f'gang {MEMBERS} 2000', 'steps': [step]}


def make_small() -> dict[str, object]:
    step = {'count': 2, 'cpu': 500, 'memMb': 64, 'estimatedMs': 300}
    return {'spec': '300', 'steps': [step]}


async def play(folder: pathlib.Path) -> int:
    site = Site(folder, 4, WORKERS, CORES, RACK_SIZE)
    gangs = Gangs()
    routes = [
        {'name': 'draft', 'pathPrefix': '/draft/', 'priority': 0,
         'maxAttempts': 2, 'stretch': 1.5, 'targetLatencyMs': 250},
        {'name': 'season', 'pathPrefix': '/season/', 'priority': 2,
         'maxAttempts': 4, 'stretch': 2.0, 'targetLatencyMs': 1000},
    ]
    accepted: list[str] = []

    async def submit(path: str, job: dict[str, object]) -> None:
        if await site.client.submit(path, job):
            accepted.append(path)

    try:
        await site.open(routes, gangs.choose_work)
        for worker in site.workers:
            gangs.watch(worker)
        began = time.monotonic()
        if site.has_trouble:
            for number in LOST:
                site.workers[number].lose()
        number = 0
        is_sent = False
        while time.monotonic() - began < TRAFFIC_SECONDS:
            number += 1
            site.spawn(submit(f'/draft/{number:016x}', make_small()))
            if not is_sent and time.monotonic() - began > 10:
                is_sent = True
                site.spawn(submit(GANG_PATH, make_gang()))
            await asyncio.sleep(SMALL_EVERY)
        await asyncio.sleep(FINISH_SECONDS)
        used = site.running
        await asyncio.sleep(STALL_SECONDS)
        unfinished = []
        for path in accepted:
            status, document = await site.client.call('GET', path)
            state = document.get('state', status)
            if state != 'completed':
                unfinished.append((path, state))
        up = [w for w in site.workers if w.model.is_up]
        racks: dict[str, int] = {}
        for worker in up:
            racks[worker.rack] = racks.get(worker.rack, 0) + 1
        site.record.note(
            f'{len(accepted)} jobs accepted, not completed '
            f'{FINISH_SECONDS} s after the traffic: {unfinished}'
        )
        site.record.note(
            f'tasks running then: {used}, and {STALL_SECONDS} s later: '
            f'{site.running}; workers of {CORES} cores by rack: {racks}; a member '
            f'of the gang of {MEMBERS} takes {MEMBER_CPU // 1000} cores'
        )
        if unfinished and not used and not site.running:
            site.record.note('LOST is broken')
            return 1
        if unfinished or GANG_PATH not in accepted:
            site.record.note('jobs are not finished, but some work went on')
            return 2
        site.record.note('LOST holds')
        return 0
    finally:
        await site.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(run_case(play, pathlib.Path(__file__).parent)))
