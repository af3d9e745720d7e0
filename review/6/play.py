"""Jobs that wait for a worker that is lost for good keep others waiting."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.common_2.site import CannotRunError, Site, is_trouble, main
from stand_ins.entry_hosts import PREFIX

OTHER_PREFIX = '/others/'
FIRST = 'cd' * 8
PINNED = [f'{n:016x}' for n in range(1, 46)]
OTHERS = [f'{n:016x}' for n in range(101, 109)]
WAIT_SECONDS = 45.0


def choose_work(task: str, run: int, payload: str) -> tuple[float, str]:
    return float(payload), 'done'


def make_job(count: int, **fields: object) -> dict[str, object]:
    step = {'count': count, 'cpu': 1000, 'memMb': 1000, 'estimatedMs': 500}
    return {'spec': '0.5', 'steps': [{**step, **fields}]}


def make_pinned_job() -> dict[str, object]:
    return make_job(1, requirements='b', antiAffinity=1)


async def play(site: Site) -> bool:
    site.configure(
        {'priority': 0},
        {'name': 'others', 'pathPrefix': OTHER_PREFIX, 'priority': 2},
    )
    for number in range(9):
        site.add_worker(f'worker-{number}', labels=('a', f'r{number // 3}'))
    special = site.add_worker('worker-9', labels=('b', 'r3'))
    for number in range(3):
        await site.add_daemon(f'host-{number}')
    await asyncio.sleep(3)
    if not await site.submit(FIRST, make_pinned_job()):
        raise CannotRunError('the first job is not accepted')
    if (await site.wait_for([FIRST], 10))[FIRST] != 'completed':
        raise CannotRunError('the first job does not run')
    if is_trouble():
        special.crash()
    for job in PINNED:
        if not await site.submit(job, make_pinned_job(), PREFIX):
            raise CannotRunError('a job is not accepted')
    await asyncio.sleep(5)
    for job in OTHERS:
        if not await site.submit(job, make_job(4), OTHER_PREFIX):
            raise CannotRunError('a job is not accepted')
    states = await site.wait_for(OTHERS, WAIT_SECONDS)
    begun = {e.task.split('.')[0] for e in site.runs}
    waiting = [job for job in OTHERS if job not in begun]
    site.record.write('at the end', states=states, never_begun=waiting)
    return bool(waiting)


if __name__ == '__main__':
    sys.exit(main(pathlib.Path(__file__).parent, choose_work, play))
