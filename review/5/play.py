"""A job that is due many times already, on daemons with bounded memory."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

from review.common_2.site import (
    CannotRunError,
    Daemon,
    Site,
    is_trouble,
    main,
)

FIRST = 'cd' * 8
OFTEN = 'ab' * 8
LATER = [f'{n:016x}' for n in range(101, 109)]
TIMES = 300_000
INTERVAL_MS = 60_000
MEMORY_MB = 300
CHECK_SECONDS = 0.1
RESTART_SECONDS = 1.0
WAIT_SECONDS = 50.0


def choose_work(task: str, run: int, payload: str) -> tuple[float, str]:
    return float(payload), 'done'


def make_job(count: int, **fields: object) -> dict[str, object]:
    step = {'count': count, 'cpu': 1000, 'memMb': 1000, 'estimatedMs': 300}
    return {'spec': '0.3', 'steps': [step], **fields}


def read_memory_mb(daemon: Daemon) -> float:
    """Returns the resident memory of a daemon; 0 if it doesn't run."""
    process = daemon.process
    if process is None or process.returncode is not None:
        return 0.0
    with contextlib.suppress(OSError):
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text('utf-8')
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    return 0.0


async def bound_memory(site: Site, daemon: Daemon, kills: list[float]) -> None:
    """Kills a daemon over its limit, as the platform does, and restarts it."""
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        used = read_memory_mb(daemon)
        if used <= MEMORY_MB:
            continue
        kills.append(used)
        site.record.write('over its memory', daemon=daemon.name, mb=used)
        daemon.frontend = ''
        daemon.signal(signal.SIGKILL)
        assert daemon.process is not None
        await daemon.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        await daemon.start()


async def play(site: Site) -> bool:
    site.configure()
    for number in range(6):
        site.add_worker(f'worker-{number}', labels=('a', f'r{number // 3}'))
    for number in range(3):
        await site.add_daemon(f'host-{number}')
    kills: list[float] = []
    async with contextlib.AsyncExitStack() as stack:
        for daemon in site.daemons:
            watch = asyncio.create_task(bound_memory(site, daemon, kills))
            stack.callback(watch.cancel)
        await asyncio.sleep(3)
        if not await site.submit(FIRST, make_job(4)):
            raise CannotRunError('the first job is not accepted')
        if (await site.wait_for([FIRST], 10))[FIRST] != 'completed':
            raise CannotRunError('the first job does not run')
        now_ms = int(1000 * time.time())
        begin_ms = now_ms - TIMES * INTERVAL_MS if is_trouble() else now_ms
        often = make_job(
            1, runCount=TIMES, startTimeMs=begin_ms, intervalMs=INTERVAL_MS
        )
        if not await site.submit(OFTEN, often):
            raise CannotRunError('the job that is due often is not accepted')
        await asyncio.sleep(3)
        accepted = [job for job in LATER if await site.submit(job, make_job(4))]
        states = await site.wait_for(accepted, WAIT_SECONDS)
    begun = {execution.task.split('.')[0] for execution in site.runs}
    waiting = [job for job in accepted if job not in begun]
    site.record.write(
        'at the end',
        accepted=len(accepted),
        states=states,
        never_begun=waiting,
        killed=[round(used) for used in kills],
    )
    return bool(waiting)


if __name__ == '__main__':
    sys.exit(main(pathlib.Path(__file__).parent, choose_work, play))
