"""What a service's owners tell each other when they give it up."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from tests.helpers import run
from tests.platform_scene import Daemon, Scene, open_scene

JOB = '0123456789abcdef'
TENURE_SECONDS = 3.5
"""Half of what a new owner waits for a worker that it cannot reach."""

DAEMONS = 4


def find_owner(daemons: list[Daemon]) -> tuple[int, Daemon]:
    """Returns the newest epoch and the daemon that has it."""
    taken = [
        (line['epoch'], index)
        for index, daemon in enumerate(daemons)
        for line in daemon.select(message='Taken: desk.')
    ]
    epoch, index = max(taken, default=(0, 0))
    return epoch, daemons[index]


async def hand_over(scene: Scene, daemons: list[Daemon]) -> None:
    """Stops the owner's daemon as planned and waits for the next owner."""
    epoch, owner = find_owner(daemons)
    owner.process.send_signal(signal.SIGTERM)

    async def is_taken() -> bool:
        return find_owner(daemons)[0] > epoch

    await scene.wait_for(is_taken)


def test_owners_in_turn_do_not_keep_what_a_gone_worker_ran(
    tmp_path: pathlib.Path,
) -> None:
    """A client's lasting task stays away while daemons are restarted in turn.

    Its worker is gone for good, and each daemon that owns the service is
    stopped before it has waited for that worker's leases; the next one began
    to wait anew. The task has to be back one lease after the worker's loss,
    or little later, whoever owns the service then.
    """

    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            for worker in scene.fleet.workers:
                worker.lasts.add('long')
            daemons = [
                await scene.start(f'host-{number}') for number in range(DAEMONS)
            ]
            await scene.submit(daemons[0], JOB, 'long', longRunning=True)
            await scene.wait_for_state(daemons[0], JOB, 'running')
            lost = next(w for w in scene.fleet.workers if w.running)
            lost.silent = True
            for _ in range(DAEMONS - 1):
                await asyncio.sleep(TENURE_SECONDS)
                if len(scene.fleet.list_starts()) > 1:
                    break
                await hand_over(scene, daemons)
            starts = [w.id for w in scene.fleet.workers if w.started]
            assert len(starts) == 2

    run(play())
