"""A large job: its state row outgrows the limit of the table service."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.common_2.site import CannotRunError, Site, is_trouble, main

LARGE_TASKS = 3000
SMALL = [f'{n:016x}' for n in range(1, 5)]
LARGE = 'ab' * 8
LATER = [f'{n:016x}' for n in range(101, 105)]


def choose_work(task: str, run: int, payload: str) -> tuple[float, str]:
    return float(payload), 'done'


def make_job(count: int, seconds: float) -> dict[str, object]:
    step = {
        'count': count,
        'cpu': 100,
        'memMb': 100,
        'estimatedMs': int(1000 * seconds),
    }
    return {'spec': str(seconds), 'steps': [step]}


async def play(site: Site) -> bool:
    site.configure()
    for number in range(24):
        site.add_worker(f'worker-{number:04d}', labels=('a', f'r{number // 6}'))
    for number in range(3):
        await site.add_daemon(f'host-{number}')
    await asyncio.sleep(3)
    for job in SMALL:
        if not await site.submit(job, make_job(6, 0.8)):
            raise CannotRunError('the first jobs are not accepted')
    if (await site.wait_for(SMALL, 10))[SMALL[-1]] != 'completed':
        raise CannotRunError('the first jobs do not run')
    if is_trouble():
        accepted = await site.submit(LARGE, make_job(LARGE_TASKS, 2.0))
        site.record.write('large job', accepted=accepted)
        if not accepted:
            return False
    await asyncio.sleep(2)
    jobs = [LARGE] if is_trouble() else []
    for job in LATER:
        if await site.submit(job, make_job(6, 0.8)):
            jobs.append(job)
    states = await site.wait_for(jobs, 60)
    site.record.write('at the end', states=states)
    return any(state != 'completed' for state in states.values())


if __name__ == '__main__':
    sys.exit(main(pathlib.Path(__file__).parent, choose_work, play))
