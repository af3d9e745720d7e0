"""Tasks that crash each worker that starts them."""

from __future__ import annotations

import pathlib

from tests.helpers import run
from tests.platform_fixtures import PlatformFixture, open_platform

CRASHING_JOB = 'c' * 16
JOBS = [f'{number:016x}' for number in range(1, 5)]
MAX_STARTS = 5
"""Starts allowed in all: two after the third crash."""


def count_crashes(platform: PlatformFixture) -> int:
    """Counts the crashes of all workers."""
    return sum(worker.crashes for worker in platform.fleet.workers)


def test_a_task_that_crashes_its_workers_is_given_up(
    tmp_path: pathlib.Path,
) -> None:
    """A task that crashed each worker was started again without an end."""

    async def scenario() -> None:
        async with open_platform(tmp_path, workers=3) as platform:
            for worker in platform.fleet.workers:
                worker.crashing_payloads.add('crash')
            daemon = await platform.start()
            await platform.submit(daemon, CRASHING_JOB, 'crash')
            for job_id in JOBS:
                await platform.submit(daemon, job_id)
            await platform.wait_for_state(daemon, CRASHING_JOB, 'failed')
            for job_id in JOBS:
                await platform.wait_for_state(daemon, job_id, 'completed')
            assert count_crashes(platform) <= MAX_STARTS

    run(scenario())
