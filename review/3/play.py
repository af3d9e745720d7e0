"""A job that takes longer than declared: is it ever done?"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.common.site import Site, run_case

TIMES_AS_LONG = 6.5
DECLARED_MS = 1700
SPECIAL_WORKER = 5
SPECIAL_KIND = 'b'
TRAFFIC_SECONDS = 30
JOB_EVERY = 1.0
FINISH_SECONDS = 14
OBSERVED_SECONDS = 20
STALL_SECONDS = 3
LONG_ID = f'{0x1076:016x}'
LONG_PATH = f'/season/{LONG_ID}'


def make_job(times: float, label: str = '') -> dict[str, object]:
    step = {
        'count': 2,
        'cpu': 1800,
        'memMb': 3200,
        'estimatedMs': DECLARED_MS,
    }
    if label:
        step['requirements'] = label
    return {'spec': str(times * DECLARED_MS / 1000), 'steps': [step]}


def work(task: str, run: int, payload: str) -> tuple[float, str]:
    return float(payload), 'done'


async def play(folder: pathlib.Path) -> int:
    site = Site(folder, daemons=4, workers=24)
    routes = [
        {
            'name': 'season',
            'pathPrefix': '/season/',
            'priority': 2,
            'maxAttempts': 4,
            'stretch': 2.0,
            'targetLatencyMs': 1000,
        },
    ]
    accepted: list[str] = []

    async def submit(path: str, job: dict[str, object]) -> None:
        if await site.client.submit(path, job):
            accepted.append(path)

    try:
        await site.open(routes, work)
        site.workers[SPECIAL_WORKER].kind = SPECIAL_KIND
        await asyncio.sleep(2)
        began = time.monotonic()
        times = TIMES_AS_LONG if site.has_trouble else 1.0
        site.spawn(submit(LONG_PATH, make_job(times, SPECIAL_KIND)))
        number = 0
        while time.monotonic() - began < TRAFFIC_SECONDS:
            number += 1
            site.spawn(
                submit(f'/season/{0xABC0000 + number:016x}', make_job(1))
            )
            await asyncio.sleep(JOB_EVERY)
        await asyncio.sleep(FINISH_SECONDS)
        unfinished = await site.ask_all(accepted)
        longest = 0.0
        if unfinished:
            longest = await site.watch_idle(OBSERVED_SECONDS, LONG_ID)
        runs = [
            (e.task, e.run, e.kind, round(e.ended_at - e.started_at, 1))
            for e in site.workers[SPECIAL_WORKER].model.record
            if e.task.startswith(LONG_ID)
        ]
        site.record.note(
            f'{len(accepted)} jobs accepted; {FINISH_SECONDS} s after the '
            f'traffic these are not completed: {unfinished}'
        )
        site.record.note(
            f'the tasks take {times * DECLARED_MS / 1000:.2f} s; runs of the '
            f'job, and their seconds: {runs}'
        )
        site.record.note(
            f'after that, nothing of the job ran for {longest:.1f} s on end, '
            f'while its worker ran nothing else; tasks running on all '
            f'workers: {site.count_running()}'
        )
        if LONG_PATH not in accepted:
            return 2
        return site.judge_lost(bool(unfinished), longest > STALL_SECONDS)
    finally:
        await site.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(run_case(play, pathlib.Path(__file__).parent)))
