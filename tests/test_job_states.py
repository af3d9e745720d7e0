"""Job states as clients see them, compared with the workers' runs."""

from __future__ import annotations

import asyncio
import pathlib

from stand_ins.fleet import START_PATH, STOP_PATH
from tests.helpers import run
from tests.platform_fixtures import open_platform, wait_for_line

JOB = '0123456789abcdef'

SETTLED_SECONDS = 1.5
"""Longer than recording a placement and reading it."""


def test_a_job_is_not_shown_as_running_before_a_worker_has_begun_it(
    tmp_path: pathlib.Path,
) -> None:
    """A job was shown as running as soon as its start was decided."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            daemon = await platform.start()
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
                worker.unanswered |= {START_PATH, STOP_PATH}
            await platform.submit(daemon, JOB, 'long', longRunning=True)
            await wait_for_line(platform, daemon, 'Starting.')
            await asyncio.sleep(SETTLED_SECONDS)
            assert await platform.get_state(daemon, JOB) == 'queued'
            for worker in platform.fleet.workers:
                worker.unanswered.clear()
            await platform.wait_for_state(daemon, JOB, 'running')
            assert any(worker.running for worker in platform.fleet.workers)

    run(scenario())
