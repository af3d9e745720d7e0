"""Workers that restart under the same id."""

from __future__ import annotations

import asyncio
import pathlib

from stand_ins.fleet import FleetWorker
from tests.helpers import run
from tests.platform_fixtures import open_platform

JOB = '0123456789abcdef'

SETTLED_SECONDS = 2.5
"""Longer than a read of the registrations and a poll of a worker."""


def count_starts(worker: FleetWorker) -> int:
    """Counts the starts that a worker has executed."""
    return len(worker.started)


def test_tasks_of_a_new_incarnation_are_not_started_again(
    tmp_path: pathlib.Path,
) -> None:
    """One restart of a worker was handled as two, and a task ran twice."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
            daemon = await platform.start()
            # Small enough for its tasks to be spread over the workers.
            await platform.submit(
                daemon, JOB, 'long', count=2, cpu=100, longRunning=True
            )

            async def runs_everywhere() -> bool:
                return all(w.running for w in platform.fleet.workers)

            await platform.wait_for(runs_everywhere)
            first, other = platform.fleet.workers
            first.restart()
            # Its reports show the restart before its registration does.
            await asyncio.sleep(SETTLED_SECONDS)
            assert (count_starts(first), count_starts(other)) == (1, 1)
            platform.fleet.register(first)
            await platform.wait_for(runs_everywhere)
            assert (count_starts(first), count_starts(other)) == (2, 1)
            platform.fleet.register(first)
            await asyncio.sleep(SETTLED_SECONDS)
            assert (count_starts(first), count_starts(other)) == (2, 1)
            assert await runs_everywhere()

    run(scenario())
