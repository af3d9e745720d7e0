"""A job is cancelled while its own write is still to be carried out."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.common_2.site import CannotRunError, Site, is_trouble, main

FIRST = 'cd' * 8
JOB = 'ab' * 8
LATE_SECONDS = 6.0
CANCEL_SECONDS = 3.0
CONTACT_SECONDS = 3.0
WATCH_SECONDS = 20.0
STEPS = 4


def choose_work(task: str, run: int, payload: str) -> tuple[float, str]:
    return float(payload), 'done'


def make_job(seconds: float) -> dict[str, object]:
    step = {'count': 4, 'cpu': 1000, 'memMb': 1000, 'estimatedMs': 800}
    steps = [step, *({**step, 'after': [n]} for n in range(STEPS - 1))]
    return {'spec': str(seconds), 'steps': steps}


async def play(site: Site) -> bool:
    site.configure()
    for number in range(6):
        site.add_worker(f'worker-{number}', labels=('a', f'r{number // 3}'))
    for number in range(3):
        await site.add_daemon(f'host-{number}')
    await asyncio.sleep(3)
    if not await site.submit(FIRST, make_job(0.3)):
        raise CannotRunError('the first job is not accepted')
    if (await site.wait_for([FIRST], 10))[FIRST] != 'completed':
        raise CannotRunError('the first job does not run')
    if is_trouble():
        site.store.late_seconds[JOB] = LATE_SECONDS
    answer = await site.call(site.daemons[0], 'POST', JOB, make_job(2.0))
    if is_trouble() and answer.status != 504:
        raise CannotRunError(f'the submission got {answer.status}')
    cancelled = await site.call(site.daemons[1], 'DELETE', JOB)
    if cancelled.status not in (200, 410):
        raise CannotRunError(f'the cancellation got {cancelled.status}')
    loop = asyncio.get_running_loop()
    acknowledged_at = loop.time()
    await asyncio.sleep(WATCH_SECONDS)
    # Starts count once the store has been stable for long enough.
    since = max(
        acknowledged_at + CANCEL_SECONDS,
        site.store.carried_out_at + CONTACT_SECONDS,
    )
    late = [
        execution
        for execution in site.runs
        if execution.task.startswith(JOB) and execution.started_at > since
    ]
    site.record.write(
        'at the end',
        cancelled=cancelled.status,
        started_late={
            e.task: round(e.started_at - acknowledged_at, 2) for e in late
        },
        state=await site.show(JOB),
    )
    return bool(late)


if __name__ == '__main__':
    sys.exit(main(pathlib.Path(__file__).parent, choose_work, play))
